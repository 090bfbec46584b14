#include "quarantine/crash_guard.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Pause between two reads of the suspects' rows.
constexpr auto kPollInterval = std::chrono::seconds(2);
// Poll rounds between two deletions of expired rows.
constexpr int kRoundsPerCleanup = 30;
// Longest wait for the answers of all peers.
constexpr Micros kPeerTimeout = 300ms;
// Maximum of suspects, and of releases, kept while the table service is down.
constexpr std::size_t kMaxPending = 4096;
constexpr int kMaxTargetsPerClaim = 3;

ClaimDenial DenialOf(DispatchDenial denial) {
  switch (denial) {
    case DispatchDenial::kNoTarget:
      return ClaimDenial::kNoTarget;
    case DispatchDenial::kRetryBudget:
      return ClaimDenial::kRetryBudget;
    case DispatchDenial::kQuarantined:
      return ClaimDenial::kQuarantined;
    case DispatchDenial::kNone:
    case DispatchDenial::kNeedsClaim:
      break;
  }
  return ClaimDenial::kBusy;
}

SuspectClaimResult Denied(ClaimDenial denial, Instant until = {}) {
  return {denial, {}, until};
}

}  // namespace

CrashGuard::CrashGuard(Duty& thread,
                       const MonotonicClock& clock,
                       const Endpoint& platform,
                       std::string name,
                       FleetViewHolder& view,
                       DecisionThread& decisions,
                       PeerService& peers,
                       TargetProbe& probe)
    : thread_(thread),
      clock_(clock),
      view_(view),
      decisions_(decisions),
      probe_(probe),
      store_(thread, clock, platform),
      peers_(thread, std::move(name), view, decisions, peers) {}

void CrashGuard::Start() {
  asio::co_spawn(thread_.context(), Run(), asio::detached);
}

asio::awaitable<void> CrashGuard::Run() {
  asio::steady_timer timer(thread_.context());
  for (int round = 1;; ++round) {
    static_cast<void>(co_await ReadRows());
    co_await PublishPending();
    if (round % kRoundsPerCleanup == 0) {
      static_cast<void>(co_await store_.DeleteExpired());
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<Result<bool>> CrashGuard::ReadRows() {
  Result<std::vector<SuspectRow>> rows = co_await store_.ReadNewer();
  if (!rows) {
    co_return rows.error();
  }
  auto update = [rows = std::move(rows.value())](CrashTracker& tracker,
                                                 Instant now) -> Result<bool> {
    for (const auto& row : rows) {
      if (row.suspect.until > now) {
        tracker.OnNotice(now, row.digest, row.suspect);
      }
    }
    return true;
  };
  Result<bool> taken = co_await decisions_.UseCrashes<bool>(std::move(update));
  if (taken) {
    ready_ = true;
  }
  co_return taken;
}

// Stores what could not be stored while the table service was down.
asio::awaitable<void> CrashGuard::PublishPending() {
  while (!unpublished_.empty()) {
    const std::string digest = unpublished_.begin()->first;
    const Suspect suspect = unpublished_.begin()->second;
    Result<Suspect> stored = co_await store_.Publish(digest, suspect);
    if (!stored) {
      co_return;
    }
    unpublished_.erase(digest);
  }
  while (!unreleased_.empty()) {
    const PendingRelease next = unreleased_.back();
    Result<void> released = co_await store_.Release(next.claim, next.end);
    if (!released) {
      co_return;
    }
    unreleased_.pop_back();
    decisions_.FinishDigest(next.claim.digest, next.claim.target);
  }
}

asio::awaitable<Result<bool>> CrashGuard::EnsureReady() {
  if (ready_) {
    co_return true;
  }
  co_return co_await AskAsync<bool>(thread_, [this] { return ReadRows(); });
}

Instant CrashGuard::SuspectExpiry() const {
  const FleetViewPtr view = view_.Get();
  const Instant now = clock_.Now();
  const std::int64_t quarantine_ms =
      view->config
          ? SettingFor(*view->config, "quarantine_ms", "fleet", ToMillis(now))
          : FindSetting("quarantine_ms")->fallback;
  return now + std::chrono::milliseconds(quarantine_ms);
}

// A target has not crashed if it answers on a new connection with the same
// incarnation as at dispatch.
asio::awaitable<bool> CrashGuard::HasCrashed(const PickedTarget& target) {
  Result<TargetReport> report = co_await probe_.FetchReport(target.address);
  co_return !report || report.value().incarnation != target.incarnation;
}

asio::awaitable<Result<CrashVerdict>> CrashGuard::OnConnectionBroken(
    BrokenAttempt broken) {
  auto assess = [this, broken = std::move(broken)]()
      -> asio::awaitable<Result<CrashVerdict>> { return Assess(broken); };
  co_return co_await AskAsync<CrashVerdict>(thread_, std::move(assess));
}

asio::awaitable<Result<CrashVerdict>> CrashGuard::Assess(BrokenAttempt broken) {
  auto mark = [digest = broken.digest](CrashTracker& tracker,
                                       Instant /*now*/) -> Result<bool> {
    tracker.OnConnectionBroken(digest);
    return true;
  };
  Result<bool> marked = co_await decisions_.UseCrashes<bool>(std::move(mark));
  if (!marked) {
    co_return marked.error();
  }
  const bool crashed = co_await HasCrashed(broken.target);
  auto record = [broken, crashed, until = SuspectExpiry()](
                    CrashTracker& tracker, Instant now) -> Result<Suspect> {
    Suspect suspect;
    if (crashed) {
      suspect = tracker.OnCrash(now, broken.digest, broken.target.name,
                                broken.claimed, until);
    }
    tracker.OnDisconnectAssessed(broken.digest);
    return suspect;
  };
  Result<Suspect> suspect =
      co_await decisions_.UseCrashes<Suspect>(std::move(record));
  if (!suspect) {
    co_return suspect.error();
  }
  if (broken.claimed) {
    const SuspectClaim claim{
        broken.digest, broken.request_id, broken.target.name, {}};
    co_await DoRelease(
        claim, crashed ? AttemptOutcome::kCrashed : AttemptOutcome::kFailed);
  }
  if (!crashed) {
    co_return CrashVerdict::kNotCrashed;
  }
  const Suspect known = co_await Publish(broken.digest, suspect.value());
  co_return known.quarantined ? CrashVerdict::kQuarantined
                              : CrashVerdict::kSuspect;
}

// Notifies the peers first, which takes one round trip, then stores the row.
// If a peer stored a crash of another target, the merged record is quarantined.
asio::awaitable<Suspect> CrashGuard::Publish(std::string digest,
                                             Suspect suspect) {
  static_cast<void>(co_await peers_.Broadcast(digest, suspect, kPeerTimeout));
  Result<Suspect> stored = co_await store_.Publish(digest, suspect);
  if (!stored) {
    if (unpublished_.size() < kMaxPending) {
      unpublished_[digest].Merge(suspect);
    }
    co_return suspect;
  }
  auto update = [digest, row = stored.value()](CrashTracker& tracker,
                                               Instant now) -> Result<bool> {
    tracker.OnNotice(now, digest, row);
    return true;
  };
  static_cast<void>(co_await decisions_.UseCrashes<bool>(std::move(update)));
  if (stored.value().quarantined && !suspect.quarantined) {
    static_cast<void>(
        co_await peers_.Broadcast(digest, stored.value(), kPeerTimeout));
  }
  co_return stored.value();
}

asio::awaitable<Result<SuspectClaimResult>>
CrashGuard::Claim(DispatchRequest order, std::string holder, Instant until) {
  order.claimed = true;
  SuspectClaim claim{order.digest, std::move(holder), {}, until};
  auto make_claim = [this, order = std::move(order), claim = std::move(claim)]()
      -> asio::awaitable<Result<SuspectClaimResult>> {
    return DoClaim(order, claim);
  };
  co_return co_await AskAsync<SuspectClaimResult>(thread_,
                                                  std::move(make_claim));
}

// Claims the row and the target's slot first, so that only the holder of the
// claim queries the peers.
asio::awaitable<Result<SuspectClaimResult>> CrashGuard::DoClaim(
    DispatchRequest order,
    SuspectClaim claim) {
  for (int i = 0; i < kMaxTargetsPerClaim; ++i) {
    auto read = [digest = order.digest](
                    CrashTracker& tracker,
                    Instant now) -> Result<std::optional<Suspect>> {
      return tracker.IsRunning(digest) ? std::nullopt
                                       : tracker.Find(now, digest);
    };
    Result<std::optional<Suspect>> suspect =
        co_await decisions_.UseCrashes<std::optional<Suspect>>(std::move(read));
    if (!suspect || !suspect.value()) {
      co_return Denied(ClaimDenial::kBusy);
    }
    Result<DispatchResult> picked = co_await decisions_.Dispatch(order);
    if (!picked) {
      co_return picked.error();
    }
    if (picked.value().denial != DispatchDenial::kNone) {
      co_return Denied(DenialOf(picked.value().denial), picked.value().until);
    }
    claim.target = picked.value().target.name;
    Result<ClaimOutcome> outcome =
        co_await store_.Claim(claim, *suspect.value());
    if (outcome && outcome.value() == ClaimOutcome::kGranted) {
      co_return co_await ConfirmWithPeers(claim, *suspect.value(),
                                          picked.value().target);
    }
    Cancel(claim.digest, claim.target);
    if (!outcome) {
      co_return Denied(ClaimDenial::kStoreDown);
    }
    if (outcome.value() == ClaimOutcome::kQuarantined) {
      co_return Denied(ClaimDenial::kQuarantined, suspect.value()->until);
    }
    if (outcome.value() == ClaimOutcome::kLapsed) {
      co_return co_await ResolveLapsed(claim, *suspect.value());
    }
    if (outcome.value() == ClaimOutcome::kBusy) {
      break;
    }
    order.excluded.push_back(claim.target);
  }
  co_return Denied(ClaimDenial::kBusy);
}

// Every listed peer must confirm that it does not run the suspect, because an
// attempt that started before the first crash was known holds no claim.
asio::awaitable<SuspectClaimResult> CrashGuard::ConfirmWithPeers(
    SuspectClaim claim,
    Suspect suspect,
    PickedTarget target) {
  const PeerAnswers answers =
      co_await peers_.Broadcast(claim.digest, suspect, kPeerTimeout);
  if (answers.all_answered && !answers.running) {
    co_return SuspectClaimResult{ClaimDenial::kNone, std::move(target), {}};
  }
  decisions_.Finish(claim.target, false);
  co_await DoRelease(claim, AttemptOutcome::kFailed);
  co_return Denied(answers.running ? ClaimDenial::kBusy
                                   : ClaimDenial::kPeersUnconfirmed);
}

// The holder of a lapsed claim may have died before it could report a crash.
// If no instance runs the suspect any more, the lapse counts as a crash.
asio::awaitable<SuspectClaimResult> CrashGuard::ResolveLapsed(
    SuspectClaim claim,
    Suspect suspect) {
  const PeerAnswers answers =
      co_await peers_.Broadcast(claim.digest, suspect, kPeerTimeout);
  if (!answers.all_answered || answers.running) {
    co_return Denied(answers.running ? ClaimDenial::kBusy
                                     : ClaimDenial::kPeersUnconfirmed);
  }
  suspect.quarantined = true;
  const Suspect known = co_await Publish(claim.digest, suspect);
  auto update = [digest = claim.digest, known](CrashTracker& tracker,
                                               Instant now) -> Result<bool> {
    tracker.OnNotice(now, digest, known);
    return true;
  };
  static_cast<void>(co_await decisions_.UseCrashes<bool>(std::move(update)));
  co_return Denied(ClaimDenial::kQuarantined, known.until);
}

asio::awaitable<Result<bool>> CrashGuard::Release(std::string holder,
                                                  std::string digest,
                                                  std::string target,
                                                  bool completed) {
  SuspectClaim claim{
      std::move(digest), std::move(holder), std::move(target), {}};
  auto release = [this, claim = std::move(claim),
                  completed]() -> asio::awaitable<Result<bool>> {
    if (completed) {
      auto clear = [digest = claim.digest](CrashTracker& tracker,
                                           Instant /*now*/) -> Result<bool> {
        tracker.OnCleared(digest);
        return true;
      };
      static_cast<void>(co_await decisions_.UseCrashes<bool>(std::move(clear)));
      peers_.BroadcastCleared(claim.digest);
    }
    co_await DoRelease(claim, completed ? AttemptOutcome::kCompleted
                                        : AttemptOutcome::kFailed);
    co_return true;
  };
  co_return co_await AskAsync<bool>(thread_, std::move(release));
}

// The digest counts as running until the row records the end of the attempt,
// so that no peer treats the claim as lapsed.
asio::awaitable<void> CrashGuard::DoRelease(SuspectClaim claim,
                                            AttemptOutcome end) {
  Result<void> released = co_await store_.Release(claim, end);
  if (released || unreleased_.size() >= kMaxPending) {
    decisions_.FinishDigest(claim.digest, claim.target);
  } else {
    unreleased_.push_back({std::move(claim), end});
  }
}

void CrashGuard::Cancel(const std::string& digest, const std::string& target) {
  decisions_.Finish(target, false);
  decisions_.FinishDigest(digest, target);
}

}  // namespace jackdaw
