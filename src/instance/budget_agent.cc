#include "instance/budget_agent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "budget/codec.h"
#include "proto/peer.pb.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time between two rounds with the table service, so that the rounds of a
// large fleet stay within what the service takes; shorter until the first.
constexpr auto kRoundTime = std::chrono::milliseconds(2000);
constexpr auto kFirstRoundTime = std::chrono::milliseconds(250);
// Time between two looks at how old the configuration is.
constexpr auto kConfirmLookTime = std::chrono::milliseconds(500);
// Time for one answer of the platform.
constexpr Micros kAnswerTime = 2s;
// Peers asked at each look.
constexpr std::size_t kPeersProbed = 2;
// Rounds tried for the hand-over of shares at the end, and the time between.
constexpr int kHandOverLooks = 20;
constexpr auto kHandOverLookTime = std::chrono::milliseconds(250);

}  // namespace

BudgetAgent::BudgetAgent(Duty& duty,
                         const MonotonicClock& clock,
                         const InstanceSettings& settings,
                         FleetViewHolder& view,
                         RunState& run_state,
                         PeerService& peers,
                         DecisionThread& decisions)
    : duty_(duty),
      clock_(clock),
      view_(view),
      run_state_(run_state),
      peers_(peers),
      decisions_(decisions),
      platform_(duty.context(), clock, settings.platform),
      confirmation_(settings.name) {}

void BudgetAgent::Start() {
  using Envelope = peer::Envelope;
  decisions_.SetBudgetMessageSender(
      [this](const std::vector<BudgetMessage>& messages) {
        SendBudget(messages);
      });
  peers_.Handle(Envelope::kBudgetAsk, [this](const Envelope& envelope) {
    asio::co_spawn(duty_.context(),
                   OnAsk(envelope.sender(), *ToBudgetAsk(envelope)),
                   asio::detached);
  });
  peers_.Handle(Envelope::kBudgetGrant, [this](const Envelope& envelope) {
    asio::co_spawn(duty_.context(),
                   OnGrant(envelope.sender(), *ToBudgetGrant(envelope)),
                   asio::detached);
  });
  peers_.Handle(Envelope::kBudgetProbe,
                [this](const Envelope& envelope) { OnProbe(envelope); });
  peers_.Handle(Envelope::kBudgetProbeReply,
                [this](const Envelope& envelope) { OnProbeReply(envelope); });
  asio::co_spawn(duty_.context(), Run(), asio::detached);
  asio::co_spawn(duty_.context(), Watch(), asio::detached);
}

asio::awaitable<void> BudgetAgent::Run() {
  asio::steady_timer timer(duty_.context());
  bool held = false;
  for (;;) {
    if (!in_round_) {
      const bool done = co_await Round();
      held = held || done;
    }
    timer.expires_after(held ? kRoundTime : kFirstRoundTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Keeps the deadline of the configuration, apart from the rounds, whose calls
// may take long.
asio::awaitable<void> BudgetAgent::Watch() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    co_await Confirm();
    timer.expires_after(kConfirmLookTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> BudgetAgent::Confirm() {
  confirmation_.OnConfirmed(Instant(Micros(run_state_.config_confirmed_us)));
  const Instant now = clock_.Now();
  if (confirmation_.NeedsPeers(now)) {
    SendProbes();
  }
  const Instant until = confirmation_.Until(now);
  auto confirm = [until](EscrowBudget& budget, Instant at) {
    budget.OnConfirmed(at, until);
    return true;
  };
  static_cast<void>(co_await decisions_.UseBudgets<bool>(std::move(confirm)));
}

// Passes on a list that was read anew.
asio::awaitable<void> BudgetAgent::TakeView() {
  FleetViewPtr view = view_.Get();
  const bool leaving = run_state_.leaving;
  if ((view == seen_view_ || !run_state_.store_reachable) &&
      leaving == seen_leaving_) {
    co_return;
  }
  seen_view_ = view;
  seen_leaving_ = leaving;
  confirmation_.OnInstances(view->instances);
  auto take = [view, leaving](EscrowBudget& budget, Instant now) {
    budget.OnInstances(now, view->instances, leaving);
    return true;
  };
  static_cast<void>(co_await decisions_.UseBudgets<bool>(std::move(take)));
}

// One round: read, decide, write. @returns whether the write took effect
asio::awaitable<bool> BudgetAgent::Round() {
  in_round_ = true;
  const bool done = co_await RoundOnce();
  in_round_ = false;
  co_return done;
}

asio::awaitable<bool> BudgetAgent::RoundOnce() {
  co_await TakeView();
  if (view_.Get()->config == nullptr) {
    co_return false;
  }
  auto begin = [](EscrowBudget& budget, Instant now) {
    return budget.BeginRound(now);
  };
  Result<ReadQuery> query =
      co_await decisions_.UseBudgets<ReadQuery>(std::move(begin));
  if (!query) {
    co_return false;
  }
  Result<std::vector<Row>> rows = co_await platform_.Read(
      std::move(query.value()), clock_.Now() + kAnswerTime);
  if (!rows) {
    co_return false;
  }
  auto decide = [found = std::move(rows.value())](EscrowBudget& budget,
                                                  Instant now) {
    return budget.OnRows(now, found);
  };
  Result<Transaction> transaction =
      co_await decisions_.UseBudgets<Transaction>(std::move(decide));
  if (!transaction || transaction.value().writes.empty()) {
    co_return false;
  }
  Result<Commit> commit = co_await platform_.Transact(
      std::move(transaction.value()), clock_.Now() + kAnswerTime);
  auto finish = [commit](EscrowBudget& budget, Instant now) {
    return budget.OnCommit(
        now, commit ? std::optional<Commit>(commit.value()) : std::nullopt);
  };
  Result<bool> done = co_await decisions_.UseBudgets<bool>(std::move(finish));
  co_return done&& done.value();
}

asio::awaitable<void> BudgetAgent::HandOver() {
  asio::steady_timer timer(duty_.context());
  for (int i = 0; i < kHandOverLooks; ++i) {
    if (!in_round_) {
      static_cast<void>(co_await Round());
    }
    auto look = [](EscrowBudget& budget, Instant /*now*/) {
      return budget.IsHandedOver();
    };
    Result<bool> done = co_await decisions_.UseBudgets<bool>(std::move(look));
    if (!done || done.value()) {
      co_return;
    }
    timer.expires_after(kHandOverLookTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> BudgetAgent::OnAsk(std::string peer, BudgetAsk ask) {
  auto answer = [peer = std::move(peer), ask = std::move(ask)](
                    EscrowBudget& budget, Instant now) {
    budget.OnMessage(now, peer, ask);
    return true;
  };
  static_cast<void>(co_await decisions_.UseBudgets<bool>(std::move(answer)));
}

asio::awaitable<void> BudgetAgent::OnGrant(std::string peer,
                                           BudgetGrant grant) {
  auto take = [peer = std::move(peer), grant = std::move(grant)](
                  EscrowBudget& budget, Instant now) {
    return budget.OnMessage(now, peer, grant);
  };
  static_cast<void>(co_await decisions_.UseBudgets<bool>(std::move(take)));
}

void BudgetAgent::OnProbe(const peer::Envelope& envelope) {
  if (confirmation_.confirmed_at() == Instant{}) {
    return;
  }
  confirmation_.OnConfirmed(Instant(Micros(run_state_.config_confirmed_us)));
  peer::Envelope answer;
  auto& reply = *answer.mutable_budget_probe_reply();
  reply.set_asked_us(envelope.budget_probe().asked_us());
  reply.set_config_version(ConfigVersion());
  reply.set_confirmed_age_us(static_cast<std::uint64_t>(
      (clock_.Now() - confirmation_.confirmed_at()).count()));
  peers_.Send(envelope.sender(), std::move(answer));
}

// The age counts from the moment the peer was asked, so that the time that
// the messages took makes it older, never younger.
void BudgetAgent::OnProbeReply(const peer::Envelope& envelope) {
  const auto& reply = envelope.budget_probe_reply();
  if (reply.config_version() != ConfigVersion()) {
    return;
  }
  const Instant asked(Micros(reply.asked_us()));
  confirmation_.OnReply(
      envelope.sender(), asked,
      asked - Micros(static_cast<std::int64_t>(reply.confirmed_age_us())));
}

void BudgetAgent::SendProbes() {
  const FleetViewPtr view = view_.Get();
  const std::size_t count = view->instances.size();
  peer::Envelope envelope;
  envelope.mutable_budget_probe()->set_asked_us(
      clock_.Now().time_since_epoch().count());
  for (std::size_t i = 0; i < std::min(count, kPeersProbed); ++i) {
    peers_.Send(view->instances[next_probe_++ % count].name, envelope);
  }
}

// Called on the thread that decides.
void BudgetAgent::SendBudget(const std::vector<BudgetMessage>& messages) {
  for (const auto& message : messages) {
    peer::Envelope envelope;
    ToEnvelope(message, envelope);
    peers_.Send(message.peer, std::move(envelope));
  }
}

std::uint64_t BudgetAgent::ConfigVersion() const {
  const FleetViewPtr view = view_.Get();
  return view->config ? view->config->version : 0;
}

}  // namespace jackdaw
