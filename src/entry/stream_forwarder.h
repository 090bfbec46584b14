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

/// Passes one stream from targets to its caller. A stream that breaks is
/// continued at its offset by the same or another target, without lost or
/// doubled tokens, or ended by an explicit error event.
class StreamForwarder {
 public:
  /// All must outlive the answer. @param order how the stream was opened
  StreamForwarder(InstanceContext& context,
                  RefusalSender& refusal_sender,
                  TargetOpener& opener,
                  HttpExchange& exchange,
                  const CallerRequest& request,
                  const OpenOptions& options,
                  AttemptTracker& attempts);

  /// Passes the stream up to its end and reports each target's part in it.
  /// @returns whether the caller got the whole of it
  boost::asio::awaitable<bool> Forward(OpenedAnswer opened);

  /// Tokens passed on.
  std::int64_t tokens() const { return assembler_.tokens(); }

 private:
  // How the part of one target ended.
  enum class ForwardEnd : std::uint8_t {
    kDone,
    kBroken,
    kCallerGone,
    kStopped
  };

  boost::asio::awaitable<ForwardEnd> ForwardFromTarget(OpenedAnswer& opened);
  boost::asio::awaitable<bool> ForwardChunk(const RelayItem& item);
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
