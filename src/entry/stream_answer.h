#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "entry/caller_request.h"
#include "entry/refuser.h"
#include "entry/stream_assembler.h"
#include "entry/target_opener.h"
#include "http/server.h"
#include "instance/context.h"

namespace jackdaw {

/// Passes one stream from targets to its caller. A stream that breaks is
/// continued at its offset by the same or another target, without lost or
/// doubled tokens, or ended by an explicit error event.
class StreamAnswer {
 public:
  /// All must outlive the answer. @param order how the stream was opened
  StreamAnswer(InstanceContext& context,
               Refuser& refuser,
               TargetOpener& opener,
               HttpExchange& exchange,
               const CallerRequest& request,
               const OpenOrder& order,
               Attempts& attempts);

  /// Passes the stream up to its end and reports each target's part in it.
  /// @returns whether the caller got the whole of it
  boost::asio::awaitable<bool> Pass(OpenedAnswer opened);

  /// Tokens passed on.
  std::int64_t tokens() const { return assembler_.tokens(); }

 private:
  // How the part of one target ended.
  enum class End : std::uint8_t { kDone, kBroken, kCallerGone, kStopped };

  boost::asio::awaitable<End> PassPart(OpenedAnswer& opened);
  boost::asio::awaitable<bool> PassItem(const ResponsePart& item);
  boost::asio::awaitable<std::optional<OpenedAnswer>> Resume(bool progress);
  std::optional<Refusal> MustStop() const;

  InstanceContext& context_;
  Refuser& refuser_;
  TargetOpener& opener_;
  HttpExchange& exchange_;
  const CallerRequest& request_;
  OpenOrder order_;
  StreamAssembler assembler_;
  Attempts& attempts_;
  Error broken_by_;
};

}  // namespace jackdaw
