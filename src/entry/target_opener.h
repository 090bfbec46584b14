#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "entry/attempt_tracker.h"
#include "entry/caller_request.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// How to request one completion from targets.
struct OpenOptions {
  /// Whether the answer is a stream. The head of a stream arrives before the
  /// tokens are generated.
  bool stream = false;
  /// Time after which no target is tried.
  Instant deadline{};
  /// Maximum wait for the head of a stream from one target.
  Micros first_byte{};
  Micros between_bytes{};
  /// Number of tokens that the caller has already received.
  std::int64_t offset = 0;
};

/// An answer whose head was received, and the target that sends it.
struct OpenedAnswer {
  std::string target;
  std::shared_ptr<ResponsePipe> pipe;
  HttpResponse head;
};

/// Sends a completion to one target after another until one answers. A
/// completion is idempotent, so it may be retried after any failure.
class TargetOpener {
 public:
  explicit TargetOpener(InstanceContext& context) : context_(context) {}

  /// Tries targets until one answers. For an opened answer, the user of this
  /// class must record the end of the attempt.
  /// @param caller the caller's exchange; a disconnect ends the wait
  /// @param attempts picks the targets; holds the refusal if there is none
  /// @returns nothing if no target answered or the caller disconnected
  boost::asio::awaitable<std::optional<OpenedAnswer>> Open(
      const HttpExchange& caller,
      const CallerRequest& request,
      const OpenOptions& options,
      AttemptTracker& attempts);

 private:
  // Tries one target. @returns the opened answer; nothing if the target failed
  // or the caller disconnected, which sets `caller_left`
  boost::asio::awaitable<std::optional<OpenedAnswer>> TryTarget(
      const HttpExchange& caller,
      const CallerRequest& request,
      const OpenOptions& options,
      const PickedTarget& target,
      AttemptTracker& attempts,
      bool& caller_left);
  boost::asio::awaitable<std::optional<ResponsePart>>
  AwaitHead(const HttpExchange& caller, ResponsePipe& pipe, Instant deadline);
  TargetRequest RelayOrderFor(const HttpRequest& from,
                              const CallerRequest& request,
                              const OpenOptions& options,
                              const Endpoint& endpoint) const;

  InstanceContext& context_;
};

}  // namespace jackdaw
