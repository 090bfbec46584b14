#include "entry/stream_answer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

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
// Time to find a target that continues, and targets asked in a row that added
// no token.
constexpr Micros kResumeTime = 10s;
constexpr int kMaxTriesWithoutProgress = 3;
// Wait where no target can be picked.
constexpr auto kNoTargetTime = std::chrono::milliseconds(200);

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
                           OpenOrder order)
    : context_(context),
      refuser_(refuser),
      opener_(opener),
      exchange_(exchange),
      request_(request),
      order_(std::move(order)),
      assembler_(request.id) {}

std::optional<Refusal> StreamAnswer::MustStop() const {
  return StopReason(context_, request_);
}

asio::awaitable<bool> StreamAnswer::Pass(OpenedAnswer opened) {
  HttpResponse head = HeadFor(opened.head, request_.id);
  if (!co_await exchange_.BeginStream(std::move(head))) {
    opened.pipe->Close();
    context_.decisions.Finish(opened.target, false);
    co_return false;
  }
  for (;;) {
    const std::int64_t before = assembler_.tokens();
    const End end = co_await PassPart(opened);
    opened.pipe->Close();
    context_.decisions.Finish(opened.target, end == End::kBroken);
    if (end == End::kDone) {
      co_return co_await exchange_.EndStream();
    }
    if (end == End::kCallerGone) {
      co_return false;
    }
    if (end == End::kStopped) {
      Refusal refusal = MustStop().value_or(Refusal{});
      co_await refuser_.RefuseStream(exchange_, request_, std::move(refusal));
      co_return false;
    }
    const bool progress = assembler_.tokens() > before;
    tries_without_progress_ = progress ? 0 : tries_without_progress_ + 1;
    std::optional<OpenedAnswer> next = co_await Resume(opened.target);
    if (!next) {
      Refusal refusal{RefusalKind::kTargetFailed, Ran::kUnknown,
                      "the stream broke off: " + broken_by_,
                      context_.clock.Now() + 1s};
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
    std::optional<RelayItem> item = co_await opened.pipe->Pop(
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
    if (item->kind == RelayItem::Kind::kChunk) {
      if (!co_await PassItem(*item)) {
        co_return End::kCallerGone;
      }
      heartbeat = context_.clock.Now() + kHeartbeatTime;
      if (assembler_.crossed() || assembler_.overflowed()) {
        context_.metrics.CountDroppedAnswer();
        broken_by_ = "the target sent what is not this request's answer";
        co_return End::kBroken;
      }
    } else if (assembler_.done()) {
      co_return End::kDone;
    } else {
      broken_by_ = item->kind == RelayItem::Kind::kEnd
                       ? "the target ended it before its end"
                       : item->error.Line();
      co_return End::kBroken;
    }
  }
}

asio::awaitable<bool> StreamAnswer::PassItem(const RelayItem& item) {
  const std::int64_t before = assembler_.tokens();
  const std::string events = assembler_.Feed(item.bytes);
  const bool wanted = co_await exchange_.WriteChunk(events);
  context_.metrics.CountTokens(
      static_cast<std::uint64_t>(assembler_.tokens() - before));
  co_return wanted;
}

// Finds a target that continues at the offset: another one if there is one,
// else the same.
asio::awaitable<std::optional<OpenedAnswer>> StreamAnswer::Resume(
    const std::string& target) {
  const Instant deadline = context_.clock.Now() + kResumeTime;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  order_.offset = assembler_.tokens();
  order_.deadline = deadline;
  order_.tried.assign(1, target);
  assembler_.Restart();
  while (tries_without_progress_ < kMaxTriesWithoutProgress &&
         context_.clock.Now() < deadline && !MustStop() &&
         !exchange_.CallerGone()) {
    OpenResult result = co_await opener_.Open(exchange_, request_, order_);
    if (result.opened && result.opened->head.status == 200) {
      co_return std::move(result.opened);
    }
    if (result.opened) {
      result.opened->pipe->Close();
      context_.decisions.Finish(result.opened->target, false);
      broken_by_ = "a target would not continue it: status " +
                   std::to_string(result.opened->head.status);
      co_return std::nullopt;
    }
    tries_without_progress_ += result.asked;
    order_.tried.clear();
    timer.expires_after(kNoTargetTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return std::nullopt;
}

}  // namespace jackdaw
