#include "entry/target_opener.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Targets tried for one request.
constexpr int kMaxAttempts = 3;
// Rests while no target can be picked, and their length.
constexpr int kMaxRests = 8;
constexpr auto kRestTime = std::chrono::milliseconds(200);
// Longest wait between two looks at whether the caller is still there.
constexpr auto kCallerCheckTime = std::chrono::milliseconds(250);

// Only these headers reach a target; a key never does.
HttpRequest ForTarget(const HttpRequest& from,
                      const CallerRequest& request,
                      std::int64_t offset) {
  HttpRequest to;
  to.method = from.method;
  to.target = std::string(from.Path());
  to.headers.push_back({"Content-Type", "application/json"});
  to.headers.push_back({"X-Request-Id", request.id});
  if (offset > 0) {
    to.headers.push_back({"X-Resume-Offset", std::to_string(offset)});
  }
  to.body = from.body;
  return to;
}

Error CallerLeft() {
  return {ErrorKind::kTruncated, "the caller closed the connection", ""};
}

// What a head that is no answer, a failure or silence says.
Error ErrorOf(const std::optional<RelayItem>& item) {
  if (!item) {
    return {ErrorKind::kTimeout, "no answer before the deadline", "send again"};
  }
  if (item->kind == RelayItem::Kind::kFailure) {
    return item->error;
  }
  return {ErrorKind::kUnavailable,
          "target answered " + std::to_string(item->head.status),
          "check the target"};
}

}  // namespace

asio::awaitable<OpenResult> TargetOpener::Open(const HttpExchange& caller,
                                               const CallerRequest& request,
                                               OpenOrder& order) {
  OpenResult result;
  result.error = Error{ErrorKind::kNotFound,
                       "no target can serve model '" + order.model + "'",
                       "check the targets"};
  asio::steady_timer rest(co_await asio::this_coro::executor);
  int rests = 0;
  bool failed_before = !order.tried.empty();
  while (result.asked < kMaxAttempts && context_.clock.Now() < order.deadline) {
    Result<std::optional<PickedTarget>> picked =
        co_await context_.decisions.Pick(order.model, {}, order.tried);
    if (!picked) {
      result.error = picked.error();
      break;
    }
    if (!picked.value()) {
      // Each target has failed once: after a rest, any may be asked again.
      if (!failed_before || ++rests > kMaxRests) {
        break;
      }
      order.tried.clear();
      rest.expires_after(kRestTime);
      co_await rest.async_wait(asio::use_awaitable);
      continue;
    }
    PickedTarget target = *picked.value();
    const std::string name = target.name;
    context_.events.Add(result.asked == 0 && order.offset == 0
                            ? EventKind::kRequestDispatched
                            : EventKind::kRequestRetried,
                        request.id, request.workspace, name, {});
    if (result.asked > 0) {
      context_.metrics.CountRetry();
    }
    ++result.asked;
    failed_before = true;
    Attempt asked = co_await Ask(caller, request, order, std::move(target));
    result.bytes_sent = result.bytes_sent || asked.bytes_sent;
    if (asked.opened) {
      result.opened = std::move(asked.opened);
      break;
    }
    result.error = asked.error;
    order.tried.push_back(name);
    if (!asked.go_on) {
      break;
    }
  }
  co_return result;
}

RelayOrder TargetOpener::OrderFor(const HttpRequest& from,
                                  const CallerRequest& request,
                                  const OpenOrder& order,
                                  const Endpoint& endpoint) const {
  // A whole answer comes only when all of it is made: half the time that is
  // left, so that another target may still be asked.
  const Instant now = context_.clock.Now();
  const Micros wait =
      order.stream ? order.first_byte
                   : std::max(order.first_byte, (order.deadline - now) / 2);
  RelayOrder relay;
  relay.endpoint = endpoint;
  relay.request = ForTarget(from, request, order.offset);
  relay.first_byte_deadline = std::min(order.deadline, now + wait);
  relay.between_bytes = order.between_bytes;
  return relay;
}

asio::awaitable<TargetOpener::Attempt> TargetOpener::Ask(
    const HttpExchange& caller,
    const CallerRequest& request,
    const OpenOrder& order,
    PickedTarget target) {
  Attempt attempt;
  const auto endpoint = ParseEndpoint(target.address);
  if (!endpoint) {
    context_.decisions.Finish(target.name, true);
    attempt.error = endpoint.error();
    co_return attempt;
  }
  const auto executor = co_await asio::this_coro::executor;
  RelayOrder relay =
      OrderFor(caller.request(), request, order, endpoint.value());
  const Instant deadline = relay.first_byte_deadline;
  auto pipe = context_.relay.Start(std::move(relay), executor);
  if (!pipe) {
    context_.decisions.Finish(target.name, false);
    attempt.error = pipe.error();
    attempt.go_on = false;
    co_return attempt;
  }
  std::optional<RelayItem> item =
      co_await AwaitHead(caller, *pipe.value(), deadline);
  if (item && item->kind == RelayItem::Kind::kHead && item->head.status < 500) {
    attempt.bytes_sent = true;
    attempt.opened = OpenedAnswer();
    attempt.opened->target = target.name;
    attempt.opened->pipe = pipe.value();
    attempt.opened->head = std::move(item->head);
    co_return attempt;
  }
  pipe.value()->Close();
  attempt.go_on = !caller.CallerGone();
  context_.decisions.Finish(target.name, attempt.go_on);
  attempt.error = attempt.go_on ? ErrorOf(item) : CallerLeft();
  attempt.bytes_sent =
      !item || item->kind != RelayItem::Kind::kFailure || item->bytes_sent;
  co_return attempt;
}

// The relay ends the wait at the deadline by a failure; a second is added so
// that this failure, which says whether bytes left, is what is seen.
asio::awaitable<std::optional<RelayItem>> TargetOpener::AwaitHead(
    const HttpExchange& caller,
    RelayPipe& pipe,
    Instant deadline) {
  std::optional<RelayItem> item;
  while (!item && context_.clock.Now() < deadline + 1s) {
    item =
        co_await pipe.Pop(std::chrono::steady_clock::now() + kCallerCheckTime);
    if (!item && caller.CallerGone()) {
      break;
    }
  }
  co_return item;
}

}  // namespace jackdaw
