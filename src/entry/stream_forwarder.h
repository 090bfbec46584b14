#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "entry/caller_request.h"
#include "entry/refusal_sender.h"
#include "entry/stream_assembler.h"
#include "entry/target_opener.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Forwards one stream from targets to its caller. A stream that breaks is
/// continued at its offset by the same or another target, without lost or
/// duplicate tokens, or ended by an explicit error event.
class StreamForwarder {
 public:
  /// All arguments passed by reference except `options` must outlive the
  /// forwarder. @param options how the stream was opened
  StreamForwarder(InstanceContext& context,
                  RefusalSender& refusal_sender,
                  TargetOpener& opener,
                  HttpExchange& exchange,
                  const CallerRequest& request,
                  const OpenOptions& options,
                  AttemptTracker& attempts);

  /// Forwards the stream up to its end, and records the end or failure of each
  /// target's attempt. @returns whether the caller received the whole stream
  boost::asio::awaitable<bool> Forward(OpenedAnswer opened);

  /// Number of tokens forwarded.
  std::int64_t tokens() const { return assembler_.tokens(); }

 private:
  // Why forwarding from one target ended.
  enum class ForwardEnd : std::uint8_t {
    kDone,
    kBroken,
    kCallerGone,
    kStopped
  };

  boost::asio::awaitable<ForwardEnd> ForwardFromTarget(OpenedAnswer& opened);
  boost::asio::awaitable<bool> ForwardChunk(const ResponsePart& item);
  boost::asio::awaitable<std::optional<OpenedAnswer>> Resume(bool progress);
  std::optional<Refusal> CheckStop() const;

  InstanceContext& context_;
  RefusalSender& refusal_sender_;
  TargetOpener& opener_;
  HttpExchange& exchange_;
  const CallerRequest& request_;
  OpenOptions options_;
  StreamAssembler assembler_;
  AttemptTracker& attempts_;
  Error last_error_;
};

}  // namespace jackdaw
