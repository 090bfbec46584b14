#include "quarantine/crash_guard.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time between two reads of the rows of suspects.
constexpr auto kPollTime = std::chrono::seconds(2);
// Rounds between two removals of expired rows.
constexpr int kRoundsToDelete = 30;
// Longest wait for the answers of the other instances.
constexpr Micros kPeerTime = 300ms;
// Suspects and releases kept while the table service is down.
constexpr std::size_t kMaxWaiting = 4096;
// Targets tried for one claim.
constexpr int kClaimTries = 3;

RunClaimDenial DenialOf(DispatchDenial denial) {
  switch (denial) {
    case DispatchDenial::kNoTarget:
      return RunClaimDenial::kNoTarget;
    case DispatchDenial::kRetryBudget:
      return RunClaimDenial::kRetryBudget;
    case DispatchDenial::kQuarantined:
      return RunClaimDenial::kQuarantined;
    case DispatchDenial::kNone:
    case DispatchDenial::kNeedsClaim:
      break;
  }
  return RunClaimDenial::kBusy;
}

RunClaimAnswer Denied(RunClaimDenial denial, Instant until = {}) {
  return {denial, {}, until};
}

}  // namespace

CrashGuard::CrashGuard(Duty& duty,
                       const MonotonicClock& clock,
                       const Endpoint& platform,
                       std::string name,
                       FleetViewHolder& view,
                       DecisionThread& decisions,
                       PeerService& peers,
                       TargetProbe& probe)
    : duty_(duty),
      clock_(clock),
      view_(view),
      decisions_(decisions),
      probe_(probe),
      store_(duty, clock, platform),
      peers_(duty, std::move(name), view, decisions, peers) {}

void CrashGuard::Start() {
  asio::co_spawn(duty_.context(), Run(), asio::detached);
}

asio::awaitable<void> CrashGuard::Run() {
  asio::steady_timer timer(duty_.context());
  for (int round = 1;; ++round) {
    static_cast<void>(co_await ReadRows());
    co_await PublishWaiting();
    if (round % kRoundsToDelete == 0) {
      static_cast<void>(co_await store_.DeleteExpired());
    }
    timer.expires_after(kPollTime);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<Result<bool>> CrashGuard::ReadRows() {
  Result<std::vector<SuspectRow>> rows = co_await store_.ReadNewer();
  if (!rows) {
    co_return rows.error();
  }
  auto take = [rows = std::move(rows.value())](CrashLedger& ledger,
                                               Instant now) -> Result<bool> {
    for (const auto& row : rows) {
      if (row.suspect.until > now) {
        ledger.OnNotice(now, row.digest, row.suspect);
      }
    }
    return true;
  };
  Result<bool> taken = co_await decisions_.UseCrashes<bool>(std::move(take));
  if (taken) {
    ready_ = true;
  }
  co_return taken;
}

// Hands over what the table service did not take while it was down.
asio::awaitable<void> CrashGuard::PublishWaiting() {
  while (!unpublished_.empty()) {
    const std::string digest = unpublished_.begin()->first;
    const Suspect suspect = unpublished_.begin()->second;
    Result<Suspect> held = co_await store_.Publish(digest, suspect);
    if (!held) {
      co_return;
    }
    unpublished_.erase(digest);
  }
  while (!unreleased_.empty()) {
    const Unreleased next = unreleased_.back();
    Result<void> released = co_await store_.Release(next.order, next.end);
    if (!released) {
      co_return;
    }
    unreleased_.pop_back();
    decisions_.FinishDigest(next.order.digest, next.order.target);
  }
}

asio::awaitable<Result<bool>> CrashGuard::EnsureReady() {
  if (ready_) {
    co_return true;
  }
  co_return co_await AskAsync<bool>(duty_, [this] { return ReadRows(); });
}

Instant CrashGuard::QuarantineEnd() const {
  const FleetViewPtr view = view_.Get();
  const Instant now = clock_.Now();
  const std::int64_t keep_ms =
      view->config
          ? SettingFor(*view->config, "quarantine_ms", "fleet", ToMillis(now))
          : FindSetting("quarantine_ms")->fallback;
  return now + std::chrono::milliseconds(keep_ms);
}

// A target that answers on a fresh connection, with the incarnation that it
// had at dispatch, has not crashed.
asio::awaitable<bool> CrashGuard::HasCrashed(const PickedTarget& target) {
  Result<TargetReport> report = co_await probe_.FetchReport(target.address);
  co_return !report || report.value().incarnation != target.incarnation;
}

asio::awaitable<Result<BreakVerdict>> CrashGuard::OnBroken(BrokenRun run) {
  auto judge =
      [this, run = std::move(run)]() -> asio::awaitable<Result<BreakVerdict>> {
    return Judge(run);
  };
  co_return co_await AskAsync<BreakVerdict>(duty_, std::move(judge));
}

asio::awaitable<Result<BreakVerdict>> CrashGuard::Judge(BrokenRun run) {
  auto mark = [digest = run.digest](CrashLedger& ledger,
                                    Instant /*now*/) -> Result<bool> {
    ledger.OnBroken(digest);
    return true;
  };
  Result<bool> marked = co_await decisions_.UseCrashes<bool>(std::move(mark));
  if (!marked) {
    co_return marked.error();
  }
  const bool crashed = co_await HasCrashed(run.target);
  auto judge = [run, crashed, until = QuarantineEnd()](
                   CrashLedger& ledger, Instant now) -> Result<Suspect> {
    Suspect suspect;
    if (crashed) {
      suspect =
          ledger.OnCrash(now, run.digest, run.target.name, run.claimed, until);
    }
    ledger.OnBreakJudged(run.digest);
    return suspect;
  };
  Result<Suspect> suspect =
      co_await decisions_.UseCrashes<Suspect>(std::move(judge));
  if (!suspect) {
    co_return suspect.error();
  }
  if (run.claimed) {
    const RunClaim order{run.digest, run.request_id, run.target.name, {}};
    co_await ReleaseHere(order, crashed ? RunEnd::kCrashed : RunEnd::kFailed);
  }
  if (!crashed) {
    co_return BreakVerdict::kNotCrashed;
  }
  const Suspect known = co_await Spread(run.digest, suspect.value());
  co_return known.quarantined ? BreakVerdict::kQuarantined
                              : BreakVerdict::kSuspect;
}

// Tells the other instances first, which takes one round trip, then stores
// the row; a row that others wrote to as well may show that it is the second
// crash.
asio::awaitable<Suspect> CrashGuard::Spread(std::string digest,
                                            Suspect suspect) {
  static_cast<void>(co_await peers_.Tell(digest, suspect, kPeerTime));
  Result<Suspect> held = co_await store_.Publish(digest, suspect);
  if (!held) {
    if (unpublished_.size() < kMaxWaiting) {
      unpublished_[digest].Merge(suspect);
    }
    co_return suspect;
  }
  auto take = [digest, row = held.value()](CrashLedger& ledger,
                                           Instant now) -> Result<bool> {
    ledger.OnNotice(now, digest, row);
    return true;
  };
  static_cast<void>(co_await decisions_.UseCrashes<bool>(std::move(take)));
  if (held.value().quarantined && !suspect.quarantined) {
    static_cast<void>(co_await peers_.Tell(digest, held.value(), kPeerTime));
  }
  co_return held.value();
}

asio::awaitable<Result<RunClaimAnswer>> CrashGuard::Claim(DispatchRequest order,
                                                          std::string holder,
                                                          Instant until) {
  order.claimed = true;
  RunClaim claim{order.digest, std::move(holder), {}, until};
  auto run =
      [this, order = std::move(order),
       claim = std::move(claim)]() -> asio::awaitable<Result<RunClaimAnswer>> {
    return ClaimHere(order, claim);
  };
  co_return co_await AskAsync<RunClaimAnswer>(duty_, std::move(run));
}

// Claims the row and a target's slot first, so that only the one holder asks
// the other instances.
asio::awaitable<Result<RunClaimAnswer>> CrashGuard::ClaimHere(
    DispatchRequest order,
    RunClaim claim) {
  for (int i = 0; i < kClaimTries; ++i) {
    auto look = [digest = order.digest](
                    CrashLedger& ledger,
                    Instant now) -> Result<std::optional<Suspect>> {
      return ledger.Running(digest) ? std::nullopt : ledger.Find(now, digest);
    };
    Result<std::optional<Suspect>> suspect =
        co_await decisions_.UseCrashes<std::optional<Suspect>>(std::move(look));
    if (!suspect || !suspect.value()) {
      co_return Denied(RunClaimDenial::kBusy);
    }
    Result<DispatchResult> picked = co_await decisions_.Dispatch(order);
    if (!picked) {
      co_return picked.error();
    }
    if (picked.value().denial != DispatchDenial::kNone) {
      co_return Denied(DenialOf(picked.value().denial), picked.value().until);
    }
    claim.target = picked.value().target.name;
    Result<RunClaimOutcome> outcome =
        co_await store_.Claim(claim, *suspect.value());
    if (outcome && outcome.value() == RunClaimOutcome::kGranted) {
      co_return co_await Confirm(claim, *suspect.value(),
                                 picked.value().target);
    }
    Undo(claim.digest, claim.target);
    if (!outcome) {
      co_return Denied(RunClaimDenial::kStoreDown);
    }
    if (outcome.value() == RunClaimOutcome::kQuarantined) {
      co_return Denied(RunClaimDenial::kQuarantined, suspect.value()->until);
    }
    if (outcome.value() == RunClaimOutcome::kLapsed) {
      co_return co_await EndLapsed(claim, *suspect.value());
    }
    if (outcome.value() == RunClaimOutcome::kBusy) {
      break;
    }
    order.excluded.push_back(claim.target);
  }
  co_return Denied(RunClaimDenial::kBusy);
}

// Every listed instance must say that the suspect does not run there: a run
// that began before the first crash was known holds no claim.
asio::awaitable<RunClaimAnswer> CrashGuard::Confirm(RunClaim claim,
                                                    Suspect suspect,
                                                    PickedTarget target) {
  const PeerAnswers answers =
      co_await peers_.Tell(claim.digest, suspect, kPeerTime);
  if (answers.all_answered && !answers.running) {
    co_return RunClaimAnswer{RunClaimDenial::kNone, std::move(target), {}};
  }
  decisions_.Finish(claim.target, false);
  co_await ReleaseHere(claim, RunEnd::kFailed);
  co_return Denied(answers.running ? RunClaimDenial::kBusy
                                   : RunClaimDenial::kPeersSilent);
}

// The holder of a lapsed claim may have died before it could tell of a crash.
// Where no instance runs the suspect any more it counts as one.
asio::awaitable<RunClaimAnswer> CrashGuard::EndLapsed(RunClaim claim,
                                                      Suspect suspect) {
  const PeerAnswers answers =
      co_await peers_.Tell(claim.digest, suspect, kPeerTime);
  if (!answers.all_answered || answers.running) {
    co_return Denied(answers.running ? RunClaimDenial::kBusy
                                     : RunClaimDenial::kPeersSilent);
  }
  suspect.quarantined = true;
  const Suspect known = co_await Spread(claim.digest, suspect);
  auto take = [digest = claim.digest, known](CrashLedger& ledger,
                                             Instant now) -> Result<bool> {
    ledger.OnNotice(now, digest, known);
    return true;
  };
  static_cast<void>(co_await decisions_.UseCrashes<bool>(std::move(take)));
  co_return Denied(RunClaimDenial::kQuarantined, known.until);
}

asio::awaitable<Result<bool>> CrashGuard::Release(std::string holder,
                                                  std::string digest,
                                                  std::string target,
                                                  bool whole) {
  RunClaim order{std::move(digest), std::move(holder), std::move(target), {}};
  auto release = [this, order = std::move(order),
                  whole]() -> asio::awaitable<Result<bool>> {
    if (whole) {
      auto clear = [digest = order.digest](CrashLedger& ledger,
                                           Instant /*now*/) -> Result<bool> {
        ledger.OnCleared(digest);
        return true;
      };
      static_cast<void>(co_await decisions_.UseCrashes<bool>(std::move(clear)));
      peers_.TellCleared(order.digest);
    }
    co_await ReleaseHere(order, whole ? RunEnd::kWhole : RunEnd::kFailed);
    co_return true;
  };
  co_return co_await AskAsync<bool>(duty_, std::move(release));
}

// The run counts as running until the row says that it ended, so that no
// other instance takes the claim for a lapsed one.
asio::awaitable<void> CrashGuard::ReleaseHere(RunClaim order, RunEnd end) {
  Result<void> released = co_await store_.Release(order, end);
  if (released || unreleased_.size() >= kMaxWaiting) {
    decisions_.FinishDigest(order.digest, order.target);
  } else {
    unreleased_.push_back({std::move(order), end});
  }
}

void CrashGuard::Undo(const std::string& digest, const std::string& target) {
  decisions_.Finish(target, false);
  decisions_.FinishDigest(digest, target);
}

}  // namespace jackdaw
