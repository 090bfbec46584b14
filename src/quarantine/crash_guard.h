#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

#include "decisions/decision_thread.h"
#include "quarantine/crash_peers.h"
#include "quarantine/crash_store.h"
#include "targets/target_probe.h"

namespace jackdaw {

/// A run whose connection broke after bytes of the request were sent.
struct BrokenRun {
  std::string request_id;
  std::string digest;
  PickedTarget target;
  bool claimed = false;
};

/// What a broken connection turned out to be.
enum class BreakVerdict : std::uint8_t { kNotCrashed, kSuspect, kQuarantined };

/// Why a suspect may not run now.
enum class RunClaimDenial : std::uint8_t {
  kNone,
  /// It runs elsewhere, or each target has another suspect; worth waiting.
  kBusy,
  /// Not every instance said that it does not run it.
  kPeersSilent,
  kStoreDown,
  kNoTarget,
  kRetryBudget,
  kQuarantined,
};

/// A target at which a suspect may run, or why not.
struct RunClaimAnswer {
  RunClaimDenial denial = RunClaimDenial::kNone;
  PickedTarget target;
  /// For kQuarantined, its end.
  Instant until{};
};

/// Keeps requests that crash targets from bringing down more than two: judges
/// broken connections, tells the fleet of suspects, and lets a suspect run
/// only alone. Members may be called from any thread.
class CrashGuard {
 public:
  /// @param duty thread of the platform client and of the peer service
  CrashGuard(Duty& duty,
             const MonotonicClock& clock,
             const Endpoint& platform,
             std::string name,
             FleetViewHolder& view,
             DecisionThread& decisions,
             PeerService& peers,
             TargetProbe& probe);

  void Start();

  /// Whether the suspects of the fleet have been read once.
  bool ready() const { return ready_; }
  /// Reads them unless that was done. @returns why they cannot be read
  boost::asio::awaitable<Result<bool>> EnsureReady();

  /// Judges a broken run, before its request is sent again or refused. The
  /// crash is told to the fleet before the verdict is returned.
  boost::asio::awaitable<Result<BreakVerdict>> OnBroken(BrokenRun run);

  /// Picks a target for a suspect and claims the run.
  /// @param holder id of the request @param until end of the run at latest
  boost::asio::awaitable<Result<RunClaimAnswer>> Claim(DispatchRequest order,
                                                       std::string holder,
                                                       Instant until);
  /// Ends a claimed run that did not crash its target.
  boost::asio::awaitable<Result<bool>> Release(std::string holder,
                                               std::string digest,
                                               std::string target,
                                               bool whole);

 private:
  // A release that the table service has not taken yet.
  struct Unreleased {
    RunClaim order;
    RunEnd end = RunEnd::kFailed;
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<Result<bool>> ReadRows();
  boost::asio::awaitable<void> PublishWaiting();
  boost::asio::awaitable<bool> HasCrashed(const PickedTarget& target);
  boost::asio::awaitable<Result<BreakVerdict>> Judge(BrokenRun run);
  boost::asio::awaitable<Suspect> Spread(std::string digest, Suspect suspect);
  boost::asio::awaitable<Result<RunClaimAnswer>> ClaimHere(
      DispatchRequest order,
      RunClaim claim);
  boost::asio::awaitable<RunClaimAnswer> Confirm(RunClaim claim,
                                                 Suspect suspect,
                                                 PickedTarget target);
  boost::asio::awaitable<RunClaimAnswer> EndLapsed(RunClaim claim,
                                                   Suspect suspect);
  boost::asio::awaitable<void> ReleaseHere(RunClaim order, RunEnd end);
  void Undo(const std::string& digest, const std::string& target);
  Instant QuarantineEnd() const;

  Duty& duty_;
  const MonotonicClock& clock_;
  FleetViewHolder& view_;
  DecisionThread& decisions_;
  TargetProbe& probe_;
  CrashStore store_;
  CrashPeers peers_;
  std::atomic<bool> ready_{false};
  std::map<std::string, Suspect> unpublished_;
  std::vector<Unreleased> unreleased_;
};

}  // namespace jackdaw
