#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/caller_request.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// What to ask of targets for one completion.
struct OpenOrder {
  std::string model;
  /// Whether the answer is a stream, whose first byte comes early.
  bool stream = false;
  /// Moment after which no target is asked.
  Instant deadline{};
  /// Longest wait for the head of a stream at one target.
  Micros first_byte{};
  Micros between_bytes{};
  /// Tokens that the caller has already.
  std::int64_t offset = 0;
  /// Targets that have failed this request.
  std::vector<std::string> tried;
};

/// An answer whose head has come, and the target it comes from.
struct OpenedAnswer {
  std::string target;
  std::shared_ptr<RelayPipe> pipe;
  HttpResponse head;
};

/// What asking targets came to.
struct OpenResult {
  std::optional<OpenedAnswer> opened;
  /// Why there is no answer.
  Error error;
  /// Whether any byte of the request may have reached any target.
  bool bytes_sent = false;
  /// Targets asked.
  int asked = 0;
};

/// Sends a completion to one target after another until one answers. A
/// completion is idempotent, so that each failure allows another try.
class TargetOpener {
 public:
  explicit TargetOpener(InstanceContext& context) : context_(context) {}

  /// Asks targets. The caller of this reports the end of an opened answer to
  /// `decisions.Finish`. @param order targets that fail are added to `tried`
  /// @param caller the caller's exchange, whose leaving ends the wait
  boost::asio::awaitable<OpenResult> Open(const HttpExchange& caller,
                                          const CallerRequest& request,
                                          OpenOrder& order);

 private:
  // What one target came to.
  struct Attempt {
    std::optional<OpenedAnswer> opened;
    Error error;
    bool bytes_sent = false;
    // Whether another target may be asked.
    bool go_on = true;
  };

  boost::asio::awaitable<Attempt> Ask(const HttpExchange& caller,
                                      const CallerRequest& request,
                                      const OpenOrder& order,
                                      PickedTarget target);
  boost::asio::awaitable<std::optional<RelayItem>>
  AwaitHead(const HttpExchange& caller, RelayPipe& pipe, Instant deadline);
  RelayOrder OrderFor(const HttpRequest& from,
                      const CallerRequest& request,
                      const OpenOrder& order,
                      const Endpoint& endpoint) const;

  InstanceContext& context_;
};

}  // namespace jackdaw
