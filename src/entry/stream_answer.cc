#include "entry/stream_answer.h"

#include "entry/stop_check.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Longest wait between two looks at the key, the caller and the instance.
constexpr auto kCheckTime = std::chrono::milliseconds(250);
// Silence after which the caller gets a comment, so that nothing between the
// two ends forgets the connection.
constexpr Micros kHeartbeatTime = 2s;
constexpr std::string_view kHeartbeat = ": heartbeat\n\n";
// Time to find a target that continues.
constexpr Micros kResumeTime = 10s;

HttpResponse HeadFor(const HttpResponse& from, std::string_view request_id) {
  HttpResponse head;
  head.status = from.status;
  head.headers.push_back(
      {"Content-Type", std::string(FindHeader(from.headers, "Content-Type"))});
  head.headers.push_back({"X-Request-Id", std::string(request_id)});
  return head;
}

}  // namespace

StreamAnswer::StreamAnswer(InstanceContext& context,
                           Refuser& refuser,
                           TargetOpener& opener,
                           HttpExchange& exchange,
                           const CallerRequest& request,
                           const OpenOrder& order,
                           Attempts& attempts)
    : context_(context),
      refuser_(refuser),
      opener_(opener),
      exchange_(exchange),
      request_(request),
      order_(order),
      assembler_(request.id),
      attempts_(attempts) {}

std::optional<Refusal> StreamAnswer::MustStop() const {
  return StopReason(context_, request_);
}

asio::awaitable<bool> StreamAnswer::Pass(OpenedAnswer opened) {
  HttpResponse head = HeadFor(opened.head, request_.id);
  if (!co_await exchange_.BeginStream(std::move(head))) {
    opened.pipe->Close();
    context_.decisions.Finish(opened.target, false);
    co_await attempts_.Ended(false);
    co_return false;
  }
  for (;;) {
    const std::int64_t before = assembler_.tokens();
    const End end = co_await PassPart(opened);
    opened.pipe->Close();
    if (end != End::kBroken) {
      context_.decisions.Finish(opened.target, false);
      bool whole = false;
      if (end == End::kDone) {
        whole = co_await exchange_.EndStream();
      } else if (end == End::kStopped) {
        Refusal refusal = MustStop().value_or(Refusal{});
        co_await refuser_.RefuseStream(exchange_, request_, std::move(refusal));
      }
      co_await attempts_.Ended(whole);
      co_return whole;
    }
    std::optional<OpenedAnswer> next =
        co_await Resume(assembler_.tokens() > before);
    if (!next) {
      Refusal refusal = attempts_.refusal();
      refusal.ran = Ran::kUnknown;
      co_await refuser_.RefuseStream(exchange_, request_, std::move(refusal));
      co_return false;
    }
    opened = std::move(*next);
  }
}

asio::awaitable<StreamAnswer::End> StreamAnswer::PassPart(
    OpenedAnswer& opened) {
  Instant heartbeat = context_.clock.Now() + kHeartbeatTime;
  for (;;) {
    std::optional<ResponsePart> item = co_await opened.pipe->Pop(
        std::chrono::steady_clock::now() + kCheckTime);
    if (MustStop()) {
      co_return End::kStopped;
    }
    if (!item) {
      if (exchange_.CallerGone()) {
        co_return End::kCallerGone;
      }
      if (context_.clock.Now() >= heartbeat) {
        if (!co_await exchange_.WriteChunk(kHeartbeat)) {
          co_return End::kCallerGone;
        }
        heartbeat = context_.clock.Now() + kHeartbeatTime;
      }
      continue;
    }
    if (item->kind == ResponsePart::Kind::kChunk) {
      if (!co_await PassItem(*item)) {
        co_return End::kCallerGone;
      }
      heartbeat = context_.clock.Now() + kHeartbeatTime;
      if (assembler_.crossed() || assembler_.overflowed()) {
        context_.metrics.CountDroppedAnswer();
        // The target lives: kTimeout stands for what is no crash.
        broken_by_.kind = ErrorKind::kTimeout;
        broken_by_.message = "the target sent another request's answer";
        co_return End::kBroken;
      }
    } else if (assembler_.done()) {
      co_return End::kDone;
    } else {
      broken_by_ = item->error;
      if (item->kind == ResponsePart::Kind::kEnd) {
        broken_by_.kind = ErrorKind::kTimeout;
        broken_by_.message = "the target ended the stream before its end";
      }
      co_return End::kBroken;
    }
  }
}

asio::awaitable<bool> StreamAnswer::PassItem(const ResponsePart& item) {
  const std::int64_t before = assembler_.tokens();
  const std::string events = assembler_.Feed(item.bytes);
  const bool wanted = co_await exchange_.WriteChunk(events);
  context_.metrics.CountTokens(
      static_cast<std::uint64_t>(assembler_.tokens() - before));
  co_return wanted;
}

// Finds a target that continues at the offset: another one if there is one,
// else the same. The attempts bound the tries that add no token.
asio::awaitable<std::optional<OpenedAnswer>> StreamAnswer::Resume(
    bool progress) {
  const Instant deadline = context_.clock.Now() + kResumeTime;
  order_.offset = assembler_.tokens();
  assembler_.Restart();
  if (progress) {
    order_.deadline = deadline;
    attempts_.Progressed(deadline);
  }
  Error broken = broken_by_;
  co_await attempts_.Failed(std::move(broken), true);
  std::optional<OpenedAnswer> opened =
      co_await opener_.Open(exchange_, request_, order_, attempts_);
  if (opened && opened->head.status != 200) {
    opened->pipe->Close();
    context_.decisions.Finish(opened->target, false);
    co_await attempts_.Ended(false);
    opened.reset();
  }
  co_return opened;
}

}  // namespace jackdaw
