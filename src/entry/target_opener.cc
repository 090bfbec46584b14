#include "entry/target_opener.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

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

// What a head that is no answer, a failure or silence says. A whole answer
// with a server error is no crash: kTimeout stands for it.
Error ErrorOf(const std::optional<ResponsePart>& item) {
  if (!item) {
    return {ErrorKind::kTimeout, "no answer before the deadline", "send again"};
  }
  if (item->kind == ResponsePart::Kind::kFailure) {
    return item->error;
  }
  return {ErrorKind::kTimeout,
          "target answered " + std::to_string(item->head.status),
          "check the target"};
}

}  // namespace

asio::awaitable<std::optional<OpenedAnswer>> TargetOpener::Open(
    const HttpExchange& caller,
    const CallerRequest& request,
    const OpenOrder& order,
    Attempts& attempts) {
  bool left = false;
  while (!left) {
    const std::optional<PickedTarget> target = co_await attempts.Next();
    if (!target) {
      break;
    }
    std::optional<OpenedAnswer> opened =
        co_await Ask(caller, request, order, *target, attempts, left);
    if (opened) {
      co_return opened;
    }
  }
  co_return std::nullopt;
}

TargetRequest TargetOpener::OrderFor(const HttpRequest& from,
                                     const CallerRequest& request,
                                     const OpenOrder& order,
                                     const Endpoint& endpoint) const {
  // A whole answer comes only when all of it is made: half the time that is
  // left, so that another target may still be asked.
  const Instant now = context_.clock.Now();
  const Micros wait =
      order.stream ? order.first_byte
                   : std::max(order.first_byte, (order.deadline - now) / 2);
  TargetRequest relay;
  relay.endpoint = endpoint;
  relay.request = ForTarget(from, request, order.offset);
  relay.first_byte_deadline = std::min(order.deadline, now + wait);
  relay.between_bytes = order.between_bytes;
  return relay;
}

asio::awaitable<std::optional<OpenedAnswer>> TargetOpener::Ask(
    const HttpExchange& caller,
    const CallerRequest& request,
    const OpenOrder& order,
    const PickedTarget& target,
    Attempts& attempts,
    bool& left) {
  const auto endpoint = ParseEndpoint(target.address);
  if (!endpoint) {
    co_await attempts.Failed(endpoint.error(), false);
    co_return std::nullopt;
  }
  const auto executor = co_await asio::this_coro::executor;
  TargetRequest relay =
      OrderFor(caller.request(), request, order, endpoint.value());
  relay.request.headers.push_back(
      {"X-Priority", std::to_string(target.priority)});
  const Instant deadline = relay.first_byte_deadline;
  auto pipe = context_.relay.Start(std::move(relay), executor);
  if (!pipe) {
    co_await attempts.Failed(pipe.error(), false);
    co_return std::nullopt;
  }
  std::optional<ResponsePart> item =
      co_await AwaitHead(caller, *pipe.value(), deadline);
  if (item && item->kind == ResponsePart::Kind::kHead &&
      item->head.status < 500) {
    std::optional<OpenedAnswer> opened(std::in_place);
    opened->target = target.name;
    opened->pipe = pipe.value();
    opened->head = std::move(item->head);
    co_return opened;
  }
  pipe.value()->Close();
  left = caller.CallerGone();
  if (left) {
    context_.decisions.Finish(target.name, false);
    co_await attempts.Ended(false);
    co_return std::nullopt;
  }
  const bool sent =
      !item || item->kind != ResponsePart::Kind::kFailure || item->bytes_sent;
  Error error = ErrorOf(item);
  co_await attempts.Failed(std::move(error), sent);
  co_return std::nullopt;
}

// The relay ends the wait at the deadline by a failure; a second is added so
// that this failure, which says whether bytes left, is what is seen.
asio::awaitable<std::optional<ResponsePart>> TargetOpener::AwaitHead(
    const HttpExchange& caller,
    ResponsePipe& pipe,
    Instant deadline) {
  std::optional<ResponsePart> item;
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
