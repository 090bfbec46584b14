#include "membership/freshness_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "proto/peer.pb.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time between two rounds of questions.
constexpr auto kRoundTime = std::chrono::milliseconds(500);

}  // namespace

void PublishFreshness(const ViewFreshness& freshness, RunState& run_state) {
  run_state.keys_valid_until_us =
      freshness.ValidUntil().time_since_epoch().count();
}

FreshnessExchange::FreshnessExchange(Duty& duty,
                                     const MonotonicClock& clock,
                                     PeerService& peers,
                                     RunState& run_state,
                                     ViewFreshness& freshness)
    : duty_(duty),
      clock_(clock),
      peers_(peers),
      run_state_(run_state),
      freshness_(freshness) {
  peers.Handle(peer::Envelope::kFreshnessRequest,
               [this](const peer::Envelope& envelope) { OnRequest(envelope); });
  peers.Handle(peer::Envelope::kFreshnessReply,
               [this](const peer::Envelope& envelope) { OnReply(envelope); });
}

void FreshnessExchange::Start() {
  asio::co_spawn(duty_.context(), Run(), asio::detached);
}

void FreshnessExchange::OnRequest(const peer::Envelope& envelope) {
  freshness_.OnOwnWrites(run_state_.config_written);
  const PeerEvidence evidence = freshness_.Evidence(clock_.Now());
  peer::Envelope answer;
  auto& reply = *answer.mutable_freshness_reply();
  reply.set_asked_us(envelope.freshness_request().asked_us());
  reply.set_version(evidence.version);
  reply.set_confirmed(evidence.confirmed);
  reply.set_confirmed_age_us(
      static_cast<std::uint64_t>(evidence.confirmed_age.count()));
  reply.set_writes_settled(evidence.writes_settled);
  peers_.Send(envelope.sender(), std::move(answer));
}

void FreshnessExchange::OnReply(const peer::Envelope& envelope) {
  const auto& reply = envelope.freshness_reply();
  const Instant asked_at{Micros(reply.asked_us())};
  if (asked_at > clock_.Now()) {
    return;
  }
  PeerEvidence evidence;
  evidence.version = reply.version();
  evidence.confirmed = reply.confirmed();
  evidence.confirmed_age =
      Micros(static_cast<std::int64_t>(reply.confirmed_age_us()));
  evidence.writes_settled = reply.writes_settled();
  freshness_.OnPeerAnswer(envelope.sender(), asked_at, evidence);
  PublishFreshness(freshness_, run_state_);
  if (evidence.version > freshness_.version()) {
    peers_.AskForConfig(envelope.sender());
  }
}

asio::awaitable<void> FreshnessExchange::Run() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    const Instant now = clock_.Now();
    freshness_.OnOwnWrites(run_state_.config_written);
    for (const auto& name : freshness_.PeersToAsk(now)) {
      peer::Envelope envelope;
      envelope.mutable_freshness_request()->set_asked_us(
          now.time_since_epoch().count());
      peers_.Send(name, std::move(envelope));
    }
    timer.expires_after(kRoundTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace jackdaw
