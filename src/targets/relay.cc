#include "targets/relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Idle connections kept to each target.
constexpr std::size_t kKeptPerTarget = 64;
// Chunks that may wait for a slow caller.
constexpr std::size_t kPipeItems = 16;

}  // namespace

Relay::Relay(Duty& duty, const MonotonicClock& clock)
    : duty_(duty),
      clock_(clock),
      client_(duty.context(), clock, kKeptPerTarget) {}

Result<std::shared_ptr<RelayPipe>> Relay::Start(
    RelayOrder order,
    const asio::any_io_executor& consumer) {
  auto pipe = std::make_shared<RelayPipe>(duty_.context().get_executor(),
                                          consumer, kPipeItems);
  auto shared = std::make_shared<RelayOrder>(std::move(order));
  const bool posted = duty_.TryPost([this, shared, pipe] {
    asio::co_spawn(duty_.context(), Run(std::move(*shared), pipe),
                   asio::detached);
  });
  if (!posted) {
    return Error{ErrorKind::kOverloaded, "target thread is full",
                 "retry later or add instances"};
  }
  return pipe;
}

// Closing the pipe interrupts also a wait for the target: the connection is
// then closed, which tells the target to stop.
asio::awaitable<void> Relay::Run(RelayOrder order,
                                 std::shared_ptr<RelayPipe> pipe) {
  const std::shared_ptr<HttpCall> call =
      client_.Prepare(order.endpoint, std::move(order.request),
                      order.first_byte_deadline, order.choice);
  pipe->OnClose([call] { call->Cancel(); });
  if (!pipe->closed()) {
    co_await Pass(*call, order.between_bytes, *pipe);
  }
  pipe->OnClose(nullptr);
}

asio::awaitable<void> Relay::Pass(HttpCall& call,
                                  Micros between_bytes,
                                  RelayPipe& pipe) {
  Result<HttpResponse> head = co_await call.Start();
  RelayItem item;
  if (!head) {
    item.kind = RelayItem::Kind::kFailure;
    item.error = head.error();
    item.bytes_sent = call.bytes_sent();
    co_await pipe.Push(std::move(item));
    co_return;
  }
  item.kind = RelayItem::Kind::kHead;
  item.head = std::move(head.value());
  bool wanted = co_await pipe.Push(std::move(item));
  while (wanted) {
    call.SetDeadline(clock_.Now() + between_bytes);
    RelayItem next;
    next.kind = RelayItem::Kind::kChunk;
    Result<bool> more = co_await call.ReadSome(next.bytes);
    const bool last = !more || !more.value();
    if (!more) {
      next.kind = RelayItem::Kind::kFailure;
      next.error = more.error();
      next.bytes_sent = true;
    } else if (last) {
      next.kind = RelayItem::Kind::kEnd;
    }
    wanted = co_await pipe.Push(std::move(next)) && !last;
  }
}

}  // namespace jackdaw
