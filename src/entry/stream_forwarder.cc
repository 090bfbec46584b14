#include "entry/stream_forwarder.h"

#include "entry/stop_check.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Maximum interval between two checks of the key, the caller's connection and
// the state of the instance.
constexpr auto kStopPollInterval = std::chrono::milliseconds(250);
// Idle time after which an SSE comment is sent to the caller, so that proxies
// and NATs on the path don't drop the connection.
constexpr Micros kHeartbeatInterval = 2s;
constexpr std::string_view kHeartbeat = ": heartbeat\n\n";
// Maximum time to find a target that continues a broken stream.
constexpr Micros kResumeTimeout = 10s;

HttpResponse CallerHead(const HttpResponse& from, std::string_view request_id) {
  HttpResponse head;
  head.status = from.status;
  head.headers.push_back(
      {"Content-Type", std::string(FindHeader(from.headers, "Content-Type"))});
  head.headers.push_back({"X-Request-Id", std::string(request_id)});
  return head;
}

}  // namespace

StreamForwarder::StreamForwarder(InstanceContext& context,
                                 RefusalSender& refusal_sender,
                                 TargetOpener& opener,
                                 HttpExchange& exchange,
                                 const CallerRequest& request,
                                 const OpenOptions& options,
                                 AttemptTracker& attempts)
    : context_(context),
      refusal_sender_(refusal_sender),
      opener_(opener),
      exchange_(exchange),
      request_(request),
      options_(options),
      assembler_(request.id),
      attempts_(attempts) {}

std::optional<Refusal> StreamForwarder::CheckStop() const {
  return FindStopReason(context_, request_);
}

asio::awaitable<bool> StreamForwarder::Forward(OpenedAnswer opened) {
  HttpResponse head = CallerHead(opened.head, request_.id);
  if (!co_await exchange_.BeginStream(std::move(head))) {
    opened.pipe->Close();
    context_.decisions.Finish(opened.target, false);
    co_await attempts_.RecordEnd(false);
    co_return false;
  }
  for (;;) {
    const std::int64_t before = assembler_.tokens();
    const ForwardEnd end = co_await ForwardFromTarget(opened);
    opened.pipe->Close();
    if (end != ForwardEnd::kBroken) {
      context_.decisions.Finish(opened.target, false);
      bool whole = false;
      if (end == ForwardEnd::kDone) {
        whole = co_await exchange_.EndStream();
      } else if (end == ForwardEnd::kStopped) {
        Refusal refusal = CheckStop().value_or(Refusal{});
        co_await refusal_sender_.RefuseStream(exchange_, request_,
                                              std::move(refusal));
      }
      co_await attempts_.RecordEnd(whole);
      co_return whole;
    }
    std::optional<OpenedAnswer> next =
        co_await Resume(assembler_.tokens() > before);
    if (!next) {
      Refusal refusal = attempts_.refusal();
      refusal.ran = Ran::kUnknown;
      co_await refusal_sender_.RefuseStream(exchange_, request_,
                                            std::move(refusal));
      co_return false;
    }
    opened = std::move(*next);
  }
}

asio::awaitable<StreamForwarder::ForwardEnd> StreamForwarder::ForwardFromTarget(
    OpenedAnswer& opened) {
  Instant heartbeat = context_.clock.Now() + kHeartbeatInterval;
  for (;;) {
    std::optional<ResponsePart> item = co_await opened.pipe->Pop(
        std::chrono::steady_clock::now() + kStopPollInterval);
    if (CheckStop()) {
      co_return ForwardEnd::kStopped;
    }
    if (!item) {
      if (exchange_.CallerGone()) {
        co_return ForwardEnd::kCallerGone;
      }
      if (context_.clock.Now() >= heartbeat) {
        if (!co_await exchange_.WriteChunk(kHeartbeat)) {
          co_return ForwardEnd::kCallerGone;
        }
        heartbeat = context_.clock.Now() + kHeartbeatInterval;
      }
      continue;
    }
    if (item->kind == ResponsePart::Kind::kChunk) {
      if (!co_await ForwardChunk(*item)) {
        co_return ForwardEnd::kCallerGone;
      }
      heartbeat = context_.clock.Now() + kHeartbeatInterval;
      if (assembler_.crossed() || assembler_.overflowed()) {
        context_.metrics.CountDroppedAnswer();
        // The target is alive; kTimeout marks an error that is no crash.
        last_error_.kind = ErrorKind::kTimeout;
        last_error_.message = "the target sent another request's answer";
        co_return ForwardEnd::kBroken;
      }
    } else if (assembler_.done()) {
      co_return ForwardEnd::kDone;
    } else {
      last_error_ = item->error;
      if (item->kind == ResponsePart::Kind::kEnd) {
        last_error_.kind = ErrorKind::kTimeout;
        last_error_.message = "the target ended the stream before its end";
      }
      co_return ForwardEnd::kBroken;
    }
  }
}

asio::awaitable<bool> StreamForwarder::ForwardChunk(const ResponsePart& item) {
  const std::int64_t before = assembler_.tokens();
  const std::string events = assembler_.Feed(item.bytes);
  const bool written = co_await exchange_.WriteChunk(events);
  context_.metrics.CountTokens(
      static_cast<std::uint64_t>(assembler_.tokens() - before));
  co_return written;
}

// Finds a target that continues the stream at its offset: another target if
// there is one, else the same. The attempt tracker limits the number of
// attempts that yield no token.
asio::awaitable<std::optional<OpenedAnswer>> StreamForwarder::Resume(
    bool progress) {
  const Instant deadline = context_.clock.Now() + kResumeTimeout;
  options_.offset = assembler_.tokens();
  assembler_.Restart();
  if (progress) {
    options_.deadline = deadline;
    attempts_.ResetAfterProgress(deadline);
  }
  Error failure = last_error_;
  co_await attempts_.RecordFailure(std::move(failure), true);
  std::optional<OpenedAnswer> opened =
      co_await opener_.Open(exchange_, request_, options_, attempts_);
  if (opened && opened->head.status != 200) {
    opened->pipe->Close();
    context_.decisions.Finish(opened->target, false);
    co_await attempts_.RecordEnd(false);
    opened.reset();
  }
  co_return opened;
}

}  // namespace jackdaw
