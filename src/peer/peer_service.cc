#include "peer/peer_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "proto/peer.pb.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time between two heartbeat rounds.
constexpr auto kHeartbeatInterval = std::chrono::milliseconds(500);
// Bytes of received messages that may wait for the thread of the service.
constexpr std::size_t kMaxWaitingBytes = 4UL * 1024 * 1024;

}  // namespace

PeerService::PeerService(Duty& duty,
                         const MonotonicClock& clock,
                         std::string name,
                         std::uint64_t incarnation,
                         FleetViewHolder& view,
                         RunState& run_state,
                         EventLog& events,
                         ApplyConfig apply)
    : duty_(duty),
      clock_(clock),
      name_(std::move(name)),
      incarnation_(incarnation),
      view_(view),
      run_state_(run_state),
      events_(events),
      apply_(std::move(apply)),
      link_([this](std::string bytes) { Enqueue(std::move(bytes)); }),
      membership_(name_, incarnation) {}

Result<std::string> PeerService::Start(std::string_view address) {
  auto bound = link_.Start(address);
  if (bound) {
    asio::co_spawn(duty_.context(), Run(), asio::detached);
  }
  return bound;
}

// Hands a message to the thread of the service. Messages may be lost, so one
// for which there is no room is dropped.
void PeerService::Enqueue(std::string bytes) {
  const std::size_t size = bytes.size();
  if (waiting_bytes_ + size > kMaxWaitingBytes) {
    return;
  }
  waiting_bytes_ += size;
  const bool posted = duty_.TryPost([this, bytes = std::move(bytes)] {
    waiting_bytes_ -= bytes.size();
    Receive(bytes);
  });
  waiting_bytes_ -= posted ? 0 : size;
}

asio::awaitable<void> PeerService::Run() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    SendHeartbeats();
    timer.expires_after(kHeartbeatInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void PeerService::SendHeartbeats() {
  const FleetViewPtr view = view_.Get();
  membership_.OnList(clock_.Now(), view->instances);
  const std::vector<std::string> peers = membership_.NextRound(clock_.Now());
  peer::Envelope envelope;
  auto& heartbeat = *envelope.mutable_heartbeat();
  heartbeat.set_config_version(view->config ? view->config->version : 0);
  heartbeat.set_leaving(run_state_.leaving);
  heartbeat.set_store_reachable(run_state_.store_reachable);
  heartbeat.set_requests_in_flight(run_state_.in_flight);
  heartbeat.set_beat(membership_.beat());
  for (const auto& update : membership_.UpdatesToSend()) {
    auto& news = *heartbeat.add_news();
    news.set_name(update.name);
    news.set_incarnation(update.incarnation);
    news.set_suspect(update.suspect);
    news.set_beat(update.beat);
  }
  for (const auto& peer : peers) {
    Send(peer, envelope);
  }
  PublishMembership();
}

// Adds changes of state to the timeline, and puts the instances to which
// callers may be directed into the view. All writers of the view run on this
// thread, so that no update between Get and Set is lost.
void PeerService::PublishMembership() {
  const FleetViewPtr view = view_.Get();
  std::set<std::string, std::less<>> offered;
  for (const auto& instance : view->instances) {
    if (membership_.IsOffered(instance.name)) {
      offered.insert(instance.name);
    }
    const MemberState state = membership_.StateOf(instance.name);
    const auto known = reported_states_.find(instance.name);
    if (known == reported_states_.end() || known->second != state) {
      reported_states_[instance.name] = state;
      events_.Add(state == MemberState::kLive ? EventKind::kPeerSeen
                                              : EventKind::kPeerLost,
                  {}, {}, {}, instance.name + " " + std::string(Name(state)));
    }
  }
  if (offered != view->offered) {
    auto next = std::make_shared<FleetView>(*view);
    next->offered = std::move(offered);
    view_.Set(std::move(next));
  }
}

void PeerService::HandleHeartbeat(const peer::Envelope& envelope) {
  const auto& heartbeat = envelope.heartbeat();
  membership_.OnHeartbeat(clock_.Now(), envelope.sender(),
                          envelope.incarnation(), heartbeat.leaving(),
                          heartbeat.beat());
  for (const auto& news : heartbeat.news()) {
    membership_.OnUpdate(clock_.Now(), {news.name(), news.incarnation(),
                                        news.suspect(), news.beat()});
  }
}

void PeerService::RegisterHandler(int body_case, Handler handler) {
  handlers_[body_case] = std::move(handler);
}

bool PeerService::Send(std::string_view peer, peer::Envelope envelope) {
  envelope.set_sender(name_);
  envelope.set_incarnation(incarnation_);
  envelope.set_hlc(events_.NextTimestamp());
  std::string address = AddressOf(peer);
  return !address.empty() &&
         link_.TrySend({std::move(address), envelope.SerializeAsString()});
}

void PeerService::RequestConfig(std::string_view peer) {
  const FleetViewPtr view = view_.Get();
  peer::Envelope envelope;
  envelope.mutable_config_request()->set_have_version(
      view->config ? view->config->version : 0);
  Send(peer, std::move(envelope));
}

std::string PeerService::AddressOf(std::string_view peer) const {
  const FleetViewPtr view = view_.Get();
  for (const auto& instance : view->instances) {
    if (instance.name == peer) {
      return instance.peer_address;
    }
  }
  return {};
}

void PeerService::Receive(const std::string& bytes) {
  peer::Envelope envelope;
  if (!envelope.ParseFromString(bytes)) {
    return;
  }
  events_.Observe(envelope.hlc());
  if (envelope.has_heartbeat()) {
    HandleHeartbeat(envelope);
  }
  const auto handler = handlers_.find(envelope.body_case());
  if (handler != handlers_.end()) {
    handler->second(envelope);
  } else {
    HandleConfigMessage(envelope);
  }
}

void PeerService::HandleConfigMessage(const peer::Envelope& envelope) {
  const FleetViewPtr view = view_.Get();
  const std::uint64_t have = view->config ? view->config->version : 0;
  peer::Envelope outgoing;
  if (envelope.has_heartbeat() &&
      envelope.heartbeat().config_version() > have) {
    outgoing.mutable_config_request()->set_have_version(have);
  } else if (envelope.has_config_request() &&
             envelope.config_request().have_version() < have) {
    outgoing.mutable_config_reply()->set_version(have);
    outgoing.mutable_config_reply()->set_document(view->document);
  } else {
    if (envelope.has_config_reply()) {
      apply_(envelope.config_reply().version(),
             envelope.config_reply().document());
    }
    return;
  }
  Send(envelope.sender(), std::move(outgoing));
}

}  // namespace jackdaw
