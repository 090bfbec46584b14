#include "instance/budget_agent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "budget/message_codec.h"
#include "proto/peer.pb.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Interval between two rounds with the table service. It limits the load that
// the rounds of a large fleet put on the service. ValidUntil the first round
// succeeds, the shorter interval is used.
constexpr auto kRoundInterval = std::chrono::milliseconds(2000);
constexpr auto kFirstRoundInterval = std::chrono::milliseconds(250);
// Interval between two checks of the age of the configuration.
constexpr auto kConfirmInterval = std::chrono::milliseconds(500);
// Timeout of one request to the platform.
constexpr Micros kPlatformTimeout = 2s;
// Number of peers that are probed at each check.
constexpr std::size_t kPeersPerProbe = 2;
// Maximum number of rounds to hand over shares in a drain, and the interval
// between them.
constexpr int kHandOverRounds = 20;
constexpr auto kHandOverInterval = std::chrono::milliseconds(250);

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
  peers_.RegisterHandler(
      Envelope::kBudgetAsk, [this](const Envelope& envelope) {
        asio::co_spawn(duty_.context(),
                       AnswerAsk(envelope.sender(), *ToBudgetAsk(envelope)),
                       asio::detached);
      });
  peers_.RegisterHandler(
      Envelope::kBudgetGrant, [this](const Envelope& envelope) {
        asio::co_spawn(duty_.context(),
                       ApplyGrant(envelope.sender(), *ToBudgetGrant(envelope)),
                       asio::detached);
      });
  peers_.RegisterHandler(
      Envelope::kBudgetProbe,
      [this](const Envelope& envelope) { OnProbe(envelope); });
  peers_.RegisterHandler(
      Envelope::kBudgetProbeReply,
      [this](const Envelope& envelope) { OnProbeReply(envelope); });
  asio::co_spawn(duty_.context(), RunRounds(), asio::detached);
  asio::co_spawn(duty_.context(), RunConfirmation(), asio::detached);
}

asio::awaitable<void> BudgetAgent::RunRounds() {
  asio::steady_timer timer(duty_.context());
  bool first_round_done = false;
  for (;;) {
    if (!in_round_) {
      const bool done = co_await RunRound();
      first_round_done = first_round_done || done;
    }
    timer.expires_after(first_round_done ? kRoundInterval
                                         : kFirstRoundInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Updates the deadline of the configuration. This runs apart from the rounds,
// whose requests to the store may take long.
asio::awaitable<void> BudgetAgent::RunConfirmation() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    co_await UpdateConfirmation();
    timer.expires_after(kConfirmInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> BudgetAgent::UpdateConfirmation() {
  confirmation_.OnConfirmed(Instant(Micros(run_state_.config_confirmed_us)));
  const Instant now = clock_.Now();
  if (confirmation_.NeedsPeerProbes(now)) {
    SendProbes();
  }
  const Instant until = confirmation_.ValidUntil(now);
  auto confirm = [until](EscrowBudget& budget, Instant at) {
    budget.OnConfirmed(at, until);
    return true;
  };
  static_cast<void>(co_await decisions_.UseBudgets<bool>(std::move(confirm)));
}

// Passes the list of instances and the drain state to the budgets if either
// has changed.
asio::awaitable<void> BudgetAgent::ApplyView() {
  FleetViewPtr view = view_.Get();
  const bool leaving = run_state_.leaving;
  if ((view == applied_view_ || !run_state_.store_reachable) &&
      leaving == applied_leaving_) {
    co_return;
  }
  applied_view_ = view;
  applied_leaving_ = leaving;
  confirmation_.OnInstances(view->instances);
  auto take = [view, leaving](EscrowBudget& budget, Instant now) {
    budget.OnInstances(now, view->instances, leaving);
    return true;
  };
  static_cast<void>(co_await decisions_.UseBudgets<bool>(std::move(take)));
}

// Runs one round: reads rows, decides, writes. Returns whether the write took
// effect.
asio::awaitable<bool> BudgetAgent::RunRound() {
  in_round_ = true;
  const bool done = co_await ExchangeRows();
  in_round_ = false;
  co_return done;
}

asio::awaitable<bool> BudgetAgent::ExchangeRows() {
  co_await ApplyView();
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
      std::move(query.value()), clock_.Now() + kPlatformTimeout);
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
      std::move(transaction.value()), clock_.Now() + kPlatformTimeout);
  auto finish = [commit](EscrowBudget& budget, Instant now) {
    return budget.OnCommit(
        now, commit ? std::optional<Commit>(commit.value()) : std::nullopt);
  };
  Result<bool> done = co_await decisions_.UseBudgets<bool>(std::move(finish));
  co_return done&& done.value();
}

asio::awaitable<void> BudgetAgent::HandOver() {
  asio::steady_timer timer(duty_.context());
  for (int i = 0; i < kHandOverRounds; ++i) {
    if (!in_round_) {
      static_cast<void>(co_await RunRound());
    }
    auto look = [](EscrowBudget& budget, Instant /*now*/) {
      return budget.IsHandOverDone();
    };
    Result<bool> done = co_await decisions_.UseBudgets<bool>(std::move(look));
    if (!done || done.value()) {
      co_return;
    }
    timer.expires_after(kHandOverInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> BudgetAgent::AnswerAsk(std::string peer, BudgetAsk ask) {
  auto answer = [peer = std::move(peer), ask = std::move(ask)](
                    EscrowBudget& budget, Instant now) {
    budget.OnMessage(now, peer, ask);
    return true;
  };
  static_cast<void>(co_await decisions_.UseBudgets<bool>(std::move(answer)));
}

asio::awaitable<void> BudgetAgent::ApplyGrant(std::string peer,
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

// The peer's age is subtracted from the time when the probe was sent. The
// transit time of the messages therefore makes the result older than it is,
// never newer.
void BudgetAgent::OnProbeReply(const peer::Envelope& envelope) {
  const auto& reply = envelope.budget_probe_reply();
  if (reply.config_version() != ConfigVersion()) {
    return;
  }
  const Instant asked(Micros(reply.asked_us()));
  confirmation_.OnPeerReply(
      envelope.sender(), asked,
      asked - Micros(static_cast<std::int64_t>(reply.confirmed_age_us())));
}

void BudgetAgent::SendProbes() {
  const FleetViewPtr view = view_.Get();
  const std::size_t count = view->instances.size();
  peer::Envelope envelope;
  envelope.mutable_budget_probe()->set_asked_us(
      clock_.Now().time_since_epoch().count());
  for (std::size_t i = 0; i < std::min(count, kPeersPerProbe); ++i) {
    peers_.Send(view->instances[next_probe_++ % count].name, envelope);
  }
}

// Runs on the decision thread.
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
