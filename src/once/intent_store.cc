#include "once/intent_store.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "core/invariant.h"
#include "core/log.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time for one attempt at the table service.
constexpr Micros kAttemptTime = 1s;
// Transactions a second that all instances together send with intents.
constexpr std::int64_t kFleetTransactions = 250;
// Bounds of the time between two transactions of one instance.
constexpr Micros kLeastInterval = 3ms;
constexpr Micros kMostInterval = 50ms;
// Time between two slices of the expiry sweep.
constexpr auto kSweepTime = std::chrono::seconds(1);

}  // namespace

struct IntentStore::Waiter {
  explicit Waiter(asio::io_context& context) : timer(context) {
    timer.expires_at(std::chrono::steady_clock::time_point::max());
  }
  asio::steady_timer timer;
  std::optional<ClaimAnswer> answer;
  bool settled = false;
};

IntentStore::IntentStore(Duty& duty,
                         const MonotonicClock& clock,
                         const Endpoint& platform,
                         const FleetViewHolder& view)
    : duty_(duty),
      clock_(clock),
      platform_(duty.context(), clock, platform),
      view_(view),
      sweep_(
          static_cast<std::uint64_t>(clock.Now().time_since_epoch().count())),
      wake_(duty.context()) {}

asio::awaitable<Result<ClaimAnswer>> IntentStore::Claim(ClaimOrder order) {
  auto claim = [this, order = std::move(order)]() mutable {
    return ClaimHere(std::move(order));
  };
  co_return co_await AskAsync<ClaimAnswer>(duty_, std::move(claim));
}

asio::awaitable<Result<ClaimAnswer>> IntentStore::ClaimHere(ClaimOrder order) {
  const auto call = book_.Claim(clock_.Now(), std::move(order.key),
                                std::move(order.fingerprint),
                                std::move(order.request_id), order.deadline);
  if (!call) {
    co_return Error{ErrorKind::kOverloaded, "too many calls are open",
                    "retry later or add instances"};
  }
  auto waiter = std::make_shared<Waiter>(duty_.context());
  waiters_[*call] = waiter;
  Pump();
  while (!waiter->answer) {
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  waiters_.erase(*call);
  co_return *waiter->answer;
}

asio::awaitable<void> IntentStore::Release(CallId call, Instant until) {
  auto release = [this, call, until] {
    book_.Release(clock_.Now(), call);
    return Await(call, until);
  };
  Result<void> done = co_await AskAsync<void>(duty_, std::move(release));
  if (!done && done.error().kind == ErrorKind::kOverloaded) {
    Abandon(call);
  }
}

asio::awaitable<void> IntentStore::Finish(CallId call,
                                          StoredOutcome outcome,
                                          Instant until) {
  auto finish = [this, call, until, outcome = std::move(outcome)]() mutable {
    book_.Finish(clock_.Now(), call, std::move(outcome));
    return Await(call, until);
  };
  Result<void> done = co_await AskAsync<void>(duty_, std::move(finish));
  if (!done && done.error().kind == ErrorKind::kOverloaded) {
    Abandon(call);
  }
}

// Posted past the ring, whose being full must not leave a call open; the
// number of open calls bounds these posts.
void IntentStore::Abandon(CallId call) {
  asio::post(duty_.context(), [this, call] {
    try {
      book_.Abandon(clock_.Now(), call);
      Pump();
    } catch (const InvariantBreach& breach) {
      Log(LogLevel::kError, "call not abandoned", {{"reason", breach.what()}});
    }
  });
}

// Waits until the call's last write is durable, or until the given moment.
asio::awaitable<Result<void>> IntentStore::Await(CallId call, Instant until) {
  auto waiter = std::make_shared<Waiter>(duty_.context());
  waiter->timer.expires_after(until - clock_.Now());
  waiters_[call] = waiter;
  Pump();
  if (!waiter->settled) {
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  waiters_.erase(call);
  co_return success();
}

// Carries out what the book decided, and comes back at its next moment.
void IntentStore::Pump() {
  const Instant now = clock_.Now();
  for (auto& action : book_.Poll(now)) {
    Act(std::move(action));
  }
  open_calls_ = book_.open_calls();
  const Instant next = book_.NextWake();
  if (next == Instant::max()) {
    wake_.cancel();
    return;
  }
  wake_.expires_after(std::max(Micros(0), next - now));
  wake_.async_wait([this](const boost::system::error_code& failure) {
    if (!failure) {
      Pump();
    }
  });
}

void IntentStore::Act(IntentAction action) {
  if (auto* send = std::get_if<SendTransaction>(&action)) {
    asio::co_spawn(duty_.context(), Send(std::move(*send)), asio::detached);
  } else if (auto* read = std::get_if<SendRead>(&action)) {
    asio::co_spawn(duty_.context(), Read(std::move(*read)), asio::detached);
  } else if (auto* answer = std::get_if<ClaimAnswer>(&action)) {
    if (const auto found = waiters_.find(answer->call);
        found != waiters_.end()) {
      found->second->answer = std::move(*answer);
      found->second->timer.cancel();
    }
  } else if (const auto* settled = std::get_if<CallSettled>(&action)) {
    if (const auto found = waiters_.find(settled->call);
        found != waiters_.end()) {
      found->second->settled = true;
      found->second->timer.cancel();
    }
  }
}

asio::awaitable<void> IntentStore::Send(SendTransaction send) {
  Result<Commit> commit = co_await platform_.Transact(
      std::move(send.transaction), clock_.Now() + kAttemptTime);
  if (commit) {
    book_.OnCommit(clock_.Now(), send.batch, commit.value());
  } else {
    book_.OnTransactionLost(clock_.Now(), send.batch);
  }
  Pump();
}

asio::awaitable<void> IntentStore::Read(SendRead read) {
  ReadQuery query;
  query.keys = std::move(read.keys);
  Result<std::vector<Row>> rows =
      co_await platform_.Read(std::move(query), clock_.Now() + kAttemptTime);
  if (rows) {
    book_.OnRows(clock_.Now(), read.batch, rows.value());
  } else {
    book_.OnReadLost(clock_.Now(), read.batch);
  }
  Pump();
}

void IntentStore::Start() {
  asio::co_spawn(duty_.context(), KeepUp(), asio::detached);
}

asio::awaitable<void> IntentStore::KeepUp() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    timer.expires_after(kSweepTime);
    co_await timer.async_wait(asio::use_awaitable);
    const FleetViewPtr view = view_.Get();
    const auto instances = static_cast<std::int64_t>(view->instances.size());
    book_.SetInterval(std::clamp(Micros(1s) * instances / kFleetTransactions,
                                 kLeastInterval, kMostInterval));
    if (view->config) {
      co_await DeleteExpired(std::chrono::milliseconds(SettingFor(
          *view->config, "outcome_keep_ms", "fleet", ToMillis(clock_.Now()))));
    }
  }
}

// Looks at one slice of the rows. A failure is met again on the next sweep,
// so it needs no retry.
asio::awaitable<void> IntentStore::DeleteExpired(Micros keep) {
  ReadQuery query;
  query.prefixes.push_back(sweep_.NextPrefix());
  Result<std::vector<Row>> rows =
      co_await platform_.Read(std::move(query), clock_.Now() + kAttemptTime);
  if (!rows) {
    co_return;
  }
  Transaction deletions =
      ExpirySweep::Deletions(clock_.Now(), rows.value(), keep);
  if (!deletions.writes.empty()) {
    static_cast<void>(co_await platform_.Transact(std::move(deletions),
                                                  clock_.Now() + kAttemptTime));
  }
}

}  // namespace jackdaw
