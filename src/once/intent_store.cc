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

// Timeout of one request to the table service.
constexpr Micros kAttemptTimeout = 1s;
// Maximum rate of intent transactions of all instances together.
constexpr std::int64_t kFleetTransactionsPerSecond = 250;
// Bounds of the interval between two transactions of one instance.
constexpr Micros kMinInterval = 3ms;
constexpr Micros kMaxInterval = 50ms;
// Interval between two slices of the expiry sweep.
constexpr auto kSweepInterval = std::chrono::seconds(1);

}  // namespace

struct IntentStore::Waiter {
  explicit Waiter(asio::io_context& context) : timer(context) {
    timer.expires_at(std::chrono::steady_clock::time_point::max());
  }
  asio::steady_timer timer;
  std::optional<ClaimResult> answer;
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

asio::awaitable<Result<ClaimResult>> IntentStore::Claim(ClaimRequest request) {
  auto claim = [this, request = std::move(request)]() mutable {
    return DoClaim(std::move(request));
  };
  co_return co_await AskAsync<ClaimResult>(duty_, std::move(claim));
}

asio::awaitable<Result<ClaimResult>> IntentStore::DoClaim(
    ClaimRequest request) {
  const auto call = tracker_.Claim(
      clock_.Now(), std::move(request.key), std::move(request.fingerprint),
      std::move(request.request_id), request.deadline);
  if (!call) {
    co_return Error{ErrorKind::kOverloaded, "too many calls are open",
                    "retry later or add instances"};
  }
  auto waiter = std::make_shared<Waiter>(duty_.context());
  waiters_[*call] = waiter;
  RunDueActions();
  while (!waiter->answer) {
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  waiters_.erase(*call);
  co_return *waiter->answer;
}

asio::awaitable<void> IntentStore::Release(CallId call, Instant until) {
  auto release = [this, call, until] {
    tracker_.Release(clock_.Now(), call);
    return AwaitSettled(call, until);
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
    tracker_.Finish(clock_.Now(), call, std::move(outcome));
    return AwaitSettled(call, until);
  };
  Result<void> done = co_await AskAsync<void>(duty_, std::move(finish));
  if (!done && done.error().kind == ErrorKind::kOverloaded) {
    Abandon(call);
  }
}

// Posts directly to the I/O context rather than through the bounded task queue
// of the thread, because a rejected task would leave the call open. The limit
// on open calls bounds the number of these posts.
void IntentStore::Abandon(CallId call) {
  asio::post(duty_.context(), [this, call] {
    try {
      tracker_.Abandon(clock_.Now(), call);
      RunDueActions();
    } catch (const InvariantBreach& breach) {
      Log(LogLevel::kError, "failed to mark the outcome of a call as unknown",
          {{"reason", breach.what()}});
    }
  });
}

// Waits until the last write of the call is durable or `until` is reached.
asio::awaitable<Result<void>> IntentStore::AwaitSettled(CallId call,
                                                        Instant until) {
  auto waiter = std::make_shared<Waiter>(duty_.context());
  waiter->timer.expires_after(until - clock_.Now());
  waiters_[call] = waiter;
  RunDueActions();
  if (!waiter->settled) {
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  waiters_.erase(call);
  co_return success();
}

// Executes the actions of the tracker that are due, and sets the timer to its
// next wake time.
void IntentStore::RunDueActions() {
  const Instant now = clock_.Now();
  for (auto& action : tracker_.Poll(now)) {
    Execute(std::move(action));
  }
  open_calls_ = tracker_.open_calls();
  const Instant next = tracker_.NextWake();
  if (next == Instant::max()) {
    wake_.cancel();
    return;
  }
  wake_.expires_after(std::max(Micros(0), next - now));
  wake_.async_wait([this](const boost::system::error_code& failure) {
    if (!failure) {
      RunDueActions();
    }
  });
}

void IntentStore::Execute(IntentAction action) {
  if (auto* send = std::get_if<SendTransaction>(&action)) {
    asio::co_spawn(duty_.context(), Send(std::move(*send)), asio::detached);
  } else if (auto* read = std::get_if<SendRead>(&action)) {
    asio::co_spawn(duty_.context(), Read(std::move(*read)), asio::detached);
  } else if (auto* answer = std::get_if<ClaimResult>(&action)) {
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
      std::move(send.transaction), clock_.Now() + kAttemptTimeout);
  if (commit) {
    tracker_.OnCommit(clock_.Now(), send.batch, commit.value());
  } else {
    tracker_.OnTransactionLost(clock_.Now(), send.batch);
  }
  RunDueActions();
}

asio::awaitable<void> IntentStore::Read(SendRead read) {
  ReadQuery query;
  query.keys = std::move(read.keys);
  Result<std::vector<Row>> rows =
      co_await platform_.Read(std::move(query), clock_.Now() + kAttemptTimeout);
  if (rows) {
    tracker_.OnRows(clock_.Now(), read.batch, rows.value());
  } else {
    tracker_.OnReadLost(clock_.Now(), read.batch);
  }
  RunDueActions();
}

void IntentStore::Start() {
  asio::co_spawn(duty_.context(), RunMaintenance(), asio::detached);
}

asio::awaitable<void> IntentStore::RunMaintenance() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    timer.expires_after(kSweepInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const FleetViewPtr view = view_.Get();
    const auto instances = static_cast<std::int64_t>(view->instances.size());
    tracker_.SetInterval(
        std::clamp(Micros(1s) * instances / kFleetTransactionsPerSecond,
                   kMinInterval, kMaxInterval));
    if (view->config) {
      co_await DeleteExpired(std::chrono::milliseconds(SettingFor(
          *view->config, "outcome_keep_ms", "fleet", ToMillis(clock_.Now()))));
    }
  }
}

// Deletes the expired rows of one slice. A failure is not retried, because the
// next sweep covers the same rows again.
asio::awaitable<void> IntentStore::DeleteExpired(Micros keep_time) {
  ReadQuery query;
  query.prefixes.push_back(sweep_.NextPrefix());
  Result<std::vector<Row>> rows =
      co_await platform_.Read(std::move(query), clock_.Now() + kAttemptTimeout);
  if (!rows) {
    co_return;
  }
  Transaction deletions =
      ExpirySweep::MakeDeletions(clock_.Now(), rows.value(), keep_time);
  if (!deletions.writes.empty()) {
    static_cast<void>(co_await platform_.Transact(
        std::move(deletions), clock_.Now() + kAttemptTimeout));
  }
}

}  // namespace jackdaw
