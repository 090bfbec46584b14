#include "fleet/dispatch_notifier.h"

#include "fleet/dispatch_codec.h"

namespace jackdaw::serving {
namespace {

// Time for which notices are collected into one datagram.
constexpr Micros kBatchDelay = 1ms;
// Limit of peers that a notice of a dispatch is sent to, in the order of the
// fleet view.
constexpr std::size_t kMaxPeers = 100;

}  // namespace

DispatchNotifier::DispatchNotifier(boost::asio::io_context& context,
                                   const MonotonicClock& clock,
                                   const FleetAgent& agent,
                                   TargetRegistry& registry,
                                   PeerDatagrams& datagrams)
    : clock_(clock),
      agent_(agent),
      registry_(registry),
      datagrams_(datagrams),
      timer_(context) {}

void DispatchNotifier::Announce(const Target& target,
                                const RequestMetadata& call,
                                const SentRequest& sent) {
  EncodeDispatch(target, call, sent, *pending_.add_dispatches());
  ScheduleFlush();
}

void DispatchNotifier::AnnounceSend(const Target& target, bool granted) {
  auto& send = *pending_.add_sends();
  send.set_target(TargetDigest(target.entry.id));
  send.set_granted(granted);
  ScheduleFlush();
}

void DispatchNotifier::ScheduleFlush() {
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
  for (const LoadReport& load : registry_.TakeLoadReports(clock_.Now())) {
    EncodeLoadReport(load, *pending_.add_load_reports());
  }
  std::size_t sent = 0;
  for (const FleetMember& peer : agent_.Peers()) {
    if (++sent > kMaxPeers) {
      pending_.clear_dispatches();
    }
    if (pending_.dispatches_size() + pending_.sends_size() == 0) {
      break;
    }
    datagrams_.Send(pending_, peer.peer);
  }
  pending_.Clear();
}

void DispatchNotifier::OnMessage(const dispatch::PeerDatagram& message) {
  const Instant now = clock_.Now();
  for (const auto& dispatch : message.dispatches()) {
    ApplyDispatch(dispatch, registry_, now);
  }
  registry_.AddLoadReports(DecodeLoadReports(message), now);
  for (const auto& send : message.sends()) {
    registry_.OnPeerSend(send.target(), send.granted(), now);
  }
}

}  // namespace jackdaw::serving
