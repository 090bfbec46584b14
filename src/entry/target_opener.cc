#include "entry/target_opener.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Maximum interval between two checks of the caller's connection.
constexpr auto kCallerCheckInterval = std::chrono::milliseconds(250);

// Copies only the headers listed here, so that no key reaches a target.
HttpRequest CreateTargetRequest(const HttpRequest& from,
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

// Returns the error for a failure of the relay, for a 5xx status, or for no
// answer at all. A target that answers with 5xx has not crashed, so the kind is
// kTimeout, which is not checked for a crash.
Error ErrorFromHead(const std::optional<ResponsePart>& item) {
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
    const OpenOptions& options,
    AttemptTracker& attempts) {
  bool caller_left = false;
  while (!caller_left) {
    const std::optional<PickedTarget> target = co_await attempts.NextTarget();
    if (!target) {
      break;
    }
    std::optional<OpenedAnswer> opened = co_await TryTarget(
        caller, request, options, *target, attempts, caller_left);
    if (opened) {
      co_return opened;
    }
  }
  co_return std::nullopt;
}

TargetRequest TargetOpener::RelayOrderFor(const HttpRequest& from,
                                          const CallerRequest& request,
                                          const OpenOptions& options,
                                          const Endpoint& endpoint) const {
  // A target sends the head of a non-streamed answer only after it has
  // generated all of it. The wait is half of the remaining time, so that
  // another target can still be tried.
  const Instant now = context_.clock.Now();
  const Micros wait = options.stream ? options.first_byte
                                     : std::max(options.first_byte,
                                                (options.deadline - now) / 2);
  TargetRequest relay;
  relay.endpoint = endpoint;
  relay.request = CreateTargetRequest(from, request, options.offset);
  relay.first_byte_deadline = std::min(options.deadline, now + wait);
  relay.between_bytes = options.between_bytes;
  return relay;
}

asio::awaitable<std::optional<OpenedAnswer>> TargetOpener::TryTarget(
    const HttpExchange& caller,
    const CallerRequest& request,
    const OpenOptions& options,
    const PickedTarget& target,
    AttemptTracker& attempts,
    bool& caller_left) {
  const auto endpoint = ParseEndpoint(target.address);
  if (!endpoint) {
    co_await attempts.RecordFailure(endpoint.error(), false);
    co_return std::nullopt;
  }
  const auto executor = co_await asio::this_coro::executor;
  TargetRequest relay =
      RelayOrderFor(caller.request(), request, options, endpoint.value());
  relay.request.headers.push_back(
      {"X-Priority", std::to_string(target.priority)});
  const Instant deadline = relay.first_byte_deadline;
  auto pipe = context_.relay.Start(std::move(relay), executor);
  if (!pipe) {
    co_await attempts.RecordFailure(pipe.error(), false);
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
  caller_left = caller.CallerGone();
  if (caller_left) {
    context_.decisions.Finish(target.name, false);
    co_await attempts.RecordEnd(false);
    co_return std::nullopt;
  }
  const bool any_bytes_sent =
      !item || item->kind != ResponsePart::Kind::kFailure || item->bytes_sent;
  Error error = ErrorFromHead(item);
  co_await attempts.RecordFailure(std::move(error), any_bytes_sent);
  co_return std::nullopt;
}

// The relay itself reports a failure at the deadline. Waits one second longer,
// so that this failure is received: it says whether any bytes were sent.
asio::awaitable<std::optional<ResponsePart>> TargetOpener::AwaitHead(
    const HttpExchange& caller,
    ResponsePipe& pipe,
    Instant deadline) {
  std::optional<ResponsePart> item;
  while (!item && context_.clock.Now() < deadline + 1s) {
    item = co_await pipe.Pop(std::chrono::steady_clock::now() +
                             kCallerCheckInterval);
    if (!item && caller.CallerGone()) {
      break;
    }
  }
  co_return item;
}

}  // namespace jackdaw
