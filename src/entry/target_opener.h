#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "entry/attempts.h"
#include "entry/caller_request.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// What to ask of targets for one completion.
struct OpenOrder {
  /// Whether the answer is a stream, whose first byte comes early.
  bool stream = false;
  /// Moment after which no target is asked.
  Instant deadline{};
  /// Longest wait for the head of a stream at one target.
  Micros first_byte{};
  Micros between_bytes{};
  /// Tokens that the caller has already.
  std::int64_t offset = 0;
};

/// An answer whose head has come, and the target it comes from.
struct OpenedAnswer {
  std::string target;
  std::shared_ptr<ResponsePipe> pipe;
  HttpResponse head;
};

/// Sends a completion to one target after another until one answers. A
/// completion is idempotent, so that each failure allows another try.
class TargetOpener {
 public:
  explicit TargetOpener(InstanceContext& context) : context_(context) {}

  /// Asks targets. The caller of this reports the end of an opened answer.
  /// @param caller the caller's exchange, whose leaving ends the wait
  /// @param attempts say which target is next, and why there is none
  /// @returns nothing where no target answered or the caller left
  boost::asio::awaitable<std::optional<OpenedAnswer>> Open(
      const HttpExchange& caller,
      const CallerRequest& request,
      const OpenOrder& order,
      Attempts& attempts);

 private:
  // Asks one target. @returns its answer's head; nothing where it failed, or
  // where the caller left, which `left` then says
  boost::asio::awaitable<std::optional<OpenedAnswer>> Ask(
      const HttpExchange& caller,
      const CallerRequest& request,
      const OpenOrder& order,
      const PickedTarget& target,
      Attempts& attempts,
      bool& left);
  boost::asio::awaitable<std::optional<ResponsePart>>
  AwaitHead(const HttpExchange& caller, ResponsePipe& pipe, Instant deadline);
  TargetRequest OrderFor(const HttpRequest& from,
                         const CallerRequest& request,
                         const OpenOrder& order,
                         const Endpoint& endpoint) const;

  InstanceContext& context_;
};

}  // namespace jackdaw
