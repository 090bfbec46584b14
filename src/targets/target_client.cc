#include "targets/target_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Maximum number of idle connections kept to each target.
constexpr std::size_t kIdleConnectionsPerTarget = 64;
// Parts of a response that may wait for a slow caller.
constexpr std::size_t kPipeCapacity = 16;

}  // namespace

TargetClient::TargetClient(Duty& thread, const MonotonicClock& clock)
    : thread_(thread),
      clock_(clock),
      client_(thread.context(), clock, kIdleConnectionsPerTarget) {}

Result<std::shared_ptr<ResponsePipe>> TargetClient::Start(
    TargetRequest order,
    const asio::any_io_executor& consumer) {
  auto pipe = std::make_shared<ResponsePipe>(thread_.context().get_executor(),
                                             consumer, kPipeCapacity);
  auto shared = std::make_shared<TargetRequest>(std::move(order));
  const bool posted = thread_.TryPost([this, shared, pipe] {
    asio::co_spawn(thread_.context(), SendRequest(std::move(*shared), pipe),
                   asio::detached);
  });
  if (!posted) {
    return Error{ErrorKind::kOverloaded, "target thread is full",
                 "retry later or add instances"};
  }
  return pipe;
}

// Closing the pipe also interrupts a wait for the target: the connection is
// then closed, which signals the target to stop.
asio::awaitable<void> TargetClient::SendRequest(
    TargetRequest order,
    std::shared_ptr<ResponsePipe> pipe) {
  const std::shared_ptr<HttpCall> call =
      client_.Prepare(order.endpoint, std::move(order.request),
                      order.first_byte_deadline, order.choice);
  pipe->OnClose([call] { call->Cancel(); });
  if (!pipe->closed()) {
    co_await ForwardResponse(*call, order.between_bytes, *pipe);
  }
  pipe->OnClose(nullptr);
}

asio::awaitable<void> TargetClient::ForwardResponse(HttpCall& call,
                                                    Micros between_bytes,
                                                    ResponsePipe& pipe) {
  Result<HttpResponse> head = co_await call.Start();
  ResponsePart item;
  if (!head) {
    item.kind = ResponsePart::Kind::kFailure;
    item.error = head.error();
    item.bytes_sent = call.bytes_sent();
    co_await pipe.Push(std::move(item));
    co_return;
  }
  item.kind = ResponsePart::Kind::kHead;
  item.head = std::move(head.value());
  bool wanted = co_await pipe.Push(std::move(item));
  while (wanted) {
    call.SetDeadline(clock_.Now() + between_bytes);
    ResponsePart next;
    next.kind = ResponsePart::Kind::kChunk;
    Result<bool> more = co_await call.ReadSome(next.bytes);
    const bool last = !more || !more.value();
    if (!more) {
      next.kind = ResponsePart::Kind::kFailure;
      next.error = more.error();
      next.bytes_sent = true;
    } else if (last) {
      next.kind = ResponsePart::Kind::kEnd;
    }
    wanted = co_await pipe.Push(std::move(next)) && !last;
  }
}

}  // namespace jackdaw
