#include "fleet/dispatch_notifier.h"

#include <algorithm>

#include "core/log.h"

namespace jackdaw::serving {
namespace {

using boost::asio::ip::udp;

// Time for which notices are collected into one datagram.
constexpr Micros kBatchDelay = 1ms;
// Limit of peers that a notice is sent to, in the order of the fleet view.
constexpr std::size_t kMaxPeers = 100;

udp::endpoint UdpOf(const Endpoint& endpoint) {
  return {endpoint.address(), endpoint.port()};
}

}  // namespace

DispatchNotifier::DispatchNotifier(boost::asio::io_context& context,
                                   const MonotonicClock& clock,
                                   const FleetAgent& agent,
                                   TargetRegistry& registry,
                                   const Endpoint& own)
    : clock_(clock),
      agent_(agent),
      registry_(registry),
      own_(own),
      socket_(context),
      timer_(context) {}

Result<void> DispatchNotifier::Listen() {
  boost::system::error_code failure;
  socket_.open(UdpOf(own_).protocol(), failure);
  if (!failure) {
    socket_.bind(UdpOf(own_), failure);
  }
  if (failure) {
    return Error{
        ErrorKind::kAddressInUse,
        "cannot receive datagrams on " + ToText(own_) + ": " +
            failure.message(),
        "stop the process that listens there or change the setting 'peer'"};
  }
  socket_.non_blocking(true, failure);
  Receive();
  return success();
}

void DispatchNotifier::Announce(const Target& target,
                                const RequestMetadata& call,
                                std::int64_t tokens) {
  auto& dispatch = *pending_.add_dispatches();
  dispatch.set_target(TargetDigest(target.entry.id));
  dispatch.set_tokens(static_cast<std::uint32_t>(tokens));
  for (const PromptPart& part : call.prompt_parts) {
    dispatch.add_parts(PartDigest(call, part.id));
  }
  if (flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  timer_.expires_after(kBatchDelay);
  timer_.async_wait([this](const auto& failure) {
    if (!failure) {
      Flush();
    }
  });
}

void DispatchNotifier::Flush() {
  flush_scheduled_ = false;
  const std::string bytes = pending_.SerializeAsString();
  pending_.Clear();
  std::size_t sent = 0;
  for (const FleetMember& peer : agent_.Peers()) {
    if (++sent > kMaxPeers) {
      break;
    }
    // A failed send, such as one to a full buffer, drops the notice; the
    // network may drop it as well.
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(bytes), UdpOf(peer.peer), 0, ignored);
  }
}

void DispatchNotifier::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(input_), sender_,
      [this](const auto& failure, std::size_t size) {
        if (failure == boost::asio::error::operation_aborted) {
          return;
        }
        if (!failure) {
          OnNotice(size);
        }
        Receive();
      });
}

void DispatchNotifier::OnNotice(std::size_t size) {
  dispatch::DispatchNotice notice;
  if (!notice.ParseFromArray(input_.data(), static_cast<int>(size))) {
    Log(LogLevel::kWarn, "notice_unreadable",
        {{"sender", sender_.address().to_string()}});
    return;
  }
  const Instant now = clock_.Now();
  for (const auto& dispatch : notice.dispatches()) {
    const std::vector<std::uint64_t> parts(dispatch.parts().begin(),
                                           dispatch.parts().end());
    registry_.OnPeerDispatch(dispatch.target(), dispatch.tokens(), parts, now);
  }
}

}  // namespace jackdaw::serving
