#include "record/copy_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/digest.h"
#include "core/log.h"
#include "proto/peer.pb.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time between two looks at what is to be copied.
constexpr auto kTickTime = std::chrono::milliseconds(20);
// Bytes of copies held for peers.
constexpr std::size_t kMaxKeptBytes = 8 * 1024 * 1024;

// True when this incarnation is not the one that the platform lists.
bool IsGone(const FleetView& view, const RecordOwner& owner) {
  for (const auto& instance : view.instances) {
    if (instance.name == owner.instance) {
      return instance.incarnation != owner.incarnation;
    }
  }
  return !view.instances.empty();
}

}  // namespace

std::string ChooseKeeper(const FleetView& view,
                         std::string_view self,
                         std::string_view failure_domain) {
  std::string best;
  std::string best_score;
  for (const auto& instance : view.instances) {
    if (instance.name == self || instance.state == InstanceState::kLeaving) {
      continue;
    }
    const bool other = instance.failure_domain != failure_domain;
    const std::string score =
        (other ? "1" : "0") + Sha256Hex(std::string(self) + instance.name);
    if (score > best_score) {
      best_score = score;
      best = instance.name;
    }
  }
  return best;
}

CopyExchange::CopyExchange(Duty& duty,
                           const MonotonicClock& clock,
                           const InstanceSettings& settings,
                           const FleetViewHolder& view,
                           RunState& run_state,
                           PeerService& peers,
                           RefusalLog& log)
    : duty_(duty),
      clock_(clock),
      settings_(settings),
      view_(view),
      run_state_(run_state),
      peers_(peers),
      log_(log),
      writer_(duty.context(), clock, settings.platform),
      keeper_(kMaxKeptBytes) {
  // A message that finds the ring full is lost; the sender repeats it.
  const auto handler = [this](const peer::Envelope& envelope) {
    duty_.TryPost([this, envelope] { OnEnvelope(envelope); });
  };
  peers.Handle(peer::Envelope::kRefusalCopy, handler);
  peers.Handle(peer::Envelope::kRefusalStored, handler);
  peers.Handle(peer::Envelope::kRefusalHeld, handler);
}

void CopyExchange::Start() {
  asio::co_spawn(duty_.context(), RunCopies(), asio::detached);
  asio::co_spawn(duty_.context(), RunRecovery(), asio::detached);
}

void CopyExchange::OnEnvelope(const peer::Envelope& envelope) {
  if (envelope.has_refusal_copy()) {
    OnCopy(envelope);
  } else if (envelope.has_refusal_stored()) {
    keeper_.OnStored(clock_.Now(), {envelope.sender(), envelope.incarnation()},
                     envelope.refusal_stored().sequence());
  } else if (envelope.refusal_held().owner_incarnation() ==
             log_.owner().incarnation) {
    log_.buffer().OnHeld(envelope.sender(),
                         envelope.refusal_held().held_through(),
                         envelope.refusal_held().stored_through());
  }
}

void CopyExchange::OnCopy(const peer::Envelope& envelope) {
  const auto& copy = envelope.refusal_copy();
  const HeldState held =
      keeper_.OnCopy(clock_.Now(), {envelope.sender(), envelope.incarnation()},
                     copy.sequence(), copy.records(), copy.stored_through(),
                     copy.store_reachable());
  peer::Envelope answer;
  auto& body = *answer.mutable_refusal_held();
  body.set_owner_incarnation(envelope.incarnation());
  body.set_held_through(held.held_through);
  body.set_stored_through(held.stored_through);
  peers_.Send(envelope.sender(), std::move(answer));
}

void CopyExchange::SendCopies() {
  const FleetViewPtr view = view_.Get();
  const std::string peer =
      ChooseKeeper(*view, settings_.name, settings_.failure_domain);
  RefusalBuffer& buffer = log_.buffer();
  if (const auto piece = buffer.NextCopy(clock_.Now(), peer); piece) {
    peer::Envelope envelope;
    auto& copy = *envelope.mutable_refusal_copy();
    copy.set_sequence(piece->first);
    copy.set_records(piece->records);
    copy.set_stored_through(piece->stored_through);
    copy.set_store_reachable(run_state_.store_reachable);
    peers_.Send(peer, std::move(envelope));
  }
  if (buffer.stored_through() > told_stored_ && !peer.empty()) {
    peer::Envelope envelope;
    envelope.mutable_refusal_stored()->set_sequence(buffer.stored_through());
    if (peers_.Send(peer, std::move(envelope))) {
      told_stored_ = buffer.stored_through();
    }
  }
}

asio::awaitable<void> CopyExchange::RunCopies() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    SendCopies();
    const RefusalBuffer& buffer = log_.buffer();
    run_state_.copies_held = keeper_.bytes();
    run_state_.records_made = buffer.last();
    run_state_.records_safe =
        std::max(buffer.stored_through(), buffer.held_through());
    timer.expires_after(kTickTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> CopyExchange::RunRecovery() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    timer.expires_after(PutInterval(view_.Get()->instances.size()));
    co_await timer.async_wait(asio::use_awaitable);
    if (!run_state_.store_reachable) {
      reachable_since_ = Instant::max();
      continue;
    }
    reachable_since_ = std::min(reachable_since_, clock_.Now());
    co_await Recover();
  }
}

// Stores one batch of a peer that cannot, or marks the end of one that is
// gone.
asio::awaitable<void> CopyExchange::Recover() {
  const FleetViewPtr view = view_.Get();
  const std::optional<Recovery> recovery =
      keeper_.NextRecovery(clock_.Now(), reachable_since_);
  if (recovery) {
    const RecordOwner owner = recovery->owner;
    Result<std::uint64_t> last = co_await writer_.Store(recovery->batch);
    if (last) {
      keeper_.OnStored(Instant{}, owner, last.value());
      Log(LogLevel::kInfo, "stored refusal records of a peer",
          {{"peer", owner.instance},
           {"through", std::to_string(last.value())}});
    }
    co_return;
  }
  const std::optional<EndedOwner> ended = keeper_.TakeEnded(
      [&](const RecordOwner& owner) { return IsGone(*view, owner); });
  if (ended) {
    const RecordOwner owner = ended->owner;
    static_cast<void>(co_await writer_.StoreEnd(owner, ended->last, false));
  }
}

}  // namespace jackdaw
