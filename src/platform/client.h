#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "http/client.h"
#include "platform/table.h"

namespace jackdaw {

/// The platform's table service, object store and instance list over HTTP.
/// Runs on the event loop it was given. A kTimeout or kTruncated error leaves
/// open whether a write took effect; the caller reads back to find out.
class PlatformClient {
 public:
  PlatformClient(boost::asio::io_context& context,
                 const MonotonicClock& clock,
                 const Endpoint& endpoint);

  boost::asio::awaitable<Result<Commit>> Transact(Transaction transaction,
                                                  Instant deadline);
  boost::asio::awaitable<Result<std::vector<Row>>> Read(ReadQuery query,
                                                        Instant deadline);
  /// Stores an object; success also when it was there already.
  boost::asio::awaitable<Result<void>> PutObject(std::string name,
                                                 std::string bytes,
                                                 Instant deadline);
  /// Stores an object unless one has that name. @returns true when it was
  /// created, false when the name was taken
  boost::asio::awaitable<Result<bool>> CreateObject(std::string name,
                                                    std::string bytes,
                                                    Instant deadline);
  boost::asio::awaitable<Result<std::string>> GetObject(std::string name,
                                                        Instant deadline);
  /// Names of objects under a prefix, in order.
  boost::asio::awaitable<Result<std::vector<std::string>>> ListObjects(
      std::string prefix,
      Instant deadline);
  boost::asio::awaitable<Result<std::vector<InstanceEntry>>> Instances(
      Instant deadline);
  /// Announces this instance to the platform's list.
  boost::asio::awaitable<Result<void>> Announce(InstanceEntry entry,
                                                Instant deadline);

 private:
  boost::asio::awaitable<Result<HttpResponse>> Exchange(std::string method,
                                                        std::string target,
                                                        std::string body,
                                                        Instant deadline);
  boost::asio::awaitable<Result<std::string>> Call(std::string method,
                                                   std::string target,
                                                   std::string body,
                                                   Instant deadline);

  HttpClient client_;
  Endpoint endpoint_;
};

}  // namespace jackdaw
