#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/crash_suspects.h"
#include "gateway/part_suspicion.h"
#include "gateway/trusted_parts.h"

namespace jackdaw::serving {

/// Returns a digest of the parts that stay the same when a caller repeats a
/// request: path, caller and body.
std::uint64_t RequestDigest(std::string_view request_target,
                            std::string_view caller,
                            std::string_view body);

/// What may have crashed the targets of a request: the request as a whole, or a
/// part of its prompt that other requests share.
struct CrashCauses {
  /// Digest of the request; see RequestDigest.
  std::uint64_t request = 0;
  /// Ids of the prompt parts, without the last one, which is the request's own.
  std::vector<std::uint64_t> parts;
};

/// What one instance tells others of a request, or of a prompt part, that may
/// crash its targets. Reports may arrive in any order and repeatedly.
struct CrashReport {
  /// Digest of the request, or id of the part.
  std::uint64_t digest = 0;
  /// Digest of the target that crashed while it ran the request, or 0 if the
  /// report is about the request as a whole.
  std::uint64_t target = 0;
  /// Targets that crashed: 1 if `target` is set, else the number that the
  /// reporter knows of, or 0 if a target has answered the request.
  int crashes = 0;
  /// For a crash under a part: digest of the request that held it, else 0.
  std::uint64_t request = 0;
  /// Time since the crash.
  Micros age{};
  /// For a blocked part: its partner; see CrashingPart.
  std::uint64_t partner = 0;
};

/// Remembers which targets crashed while they ran a request, as seen by this
/// instance and as reported by others. A request that crashes each target that
/// runs it is blocked instead of being sent to one target after another.
///
/// A crash is identified by request and target, so that reports of the same
/// crash, from several instances or from the store, count once.
///
/// A prompt part is held against the crashes in the same way, with more care,
/// since it shares each crash with all that was in flight; see PartSuspicion.
class CrashTracker {
 public:
  /// Records an attempt that ended without a complete response.
  void OnAttemptFailed(CrashSuspect suspect);
  /// Clears a target from which bytes arrived; see CrashSuspects.
  void OnTargetBytes(const Target& target, Instant opened_at, Instant now);
  /// Clears a target that answers; see CrashSuspects.
  void OnTargetAnswered(const Target& target, Instant now);
  /// Forgets the crashes of a request that a target has answered.
  void OnRequestAnswered(std::uint64_t digest);
  /// Forgets the crashes of a request whose answer was complete, and trusts the
  /// parts of its prompt from now on.
  /// @param sent_at time at which the answered attempt was sent; crashes since
  /// then are not forgotten
  void OnAnswerComplete(const CrashCauses& causes,
                        Instant sent_at,
                        Instant now);
  /// Records the suspects that are found to have crashed by now.
  /// @returns those suspects, for the log
  std::vector<CrashSuspect> CountCrashes(Instant now);
  /// Adds the reports of another instance or of the store.
  void AddReports(std::span<const CrashReport> reports, Instant now);

  /// Returns whether the request must not be sent.
  bool IsBlocked(std::uint64_t digest, Instant now) const;
  /// Returns the cause for which the request must not be sent, or 0.
  std::uint64_t BlockedCause(const CrashCauses& causes, Instant now) const;
  /// Returns whether requests with all of these parts have been answered, so
  /// that none of them is the cause of a crash.
  bool TrustsParts(const CrashCauses& causes, Instant now) const;
  /// Returns the number of targets that crashed while they ran the request.
  int Crashes(std::uint64_t digest, Instant now) const;

  /// Returns what the leader has not been told yet, most crashes first, up to a
  /// bound.
  std::vector<CrashReport> Unreported(Instant now) const;
  /// Marks reports as received by the leader.
  void OnReported(std::span<const CrashReport> reports);
  /// Marks everything as not reported, for a new leader.
  void ReportAgain();
  /// Returns the blocked requests and parts, and those that were unblocked
  /// lately, as reports for other instances.
  std::vector<CrashReport> BlockedRequests(Instant now) const;
  /// Returns all known crashes, most crashes first, up to a bound.
  std::vector<CrashReport> AllCrashes(Instant now) const;
  /// Number that grows when AllCrashes changes other than by time.
  std::uint64_t revision() const { return revision_; }
  std::size_t tracked_requests() const { return requests_.size(); }

 private:
  /// Crashed targets after which a request is no longer sent.
  static constexpr int kMaxCrashes = 3;
  /// Time for which the leader tells members what is not blocked any more.
  static constexpr Micros kLiftTime = std::chrono::seconds(10);
  /// Requests and parts whose answer waits to be reported.
  static constexpr std::size_t kMaxUnreportedAnswers = 256;

  struct Crash {
    std::uint64_t target = 0;
    Instant at{};
    bool reported = false;
    /// Of a part: the request that held it.
    std::uint64_t request = 0;
  };
  // A request or a part.
  struct Request {
    std::vector<Crash> crashes;
    /// Largest number of crashes that another instance reported as a whole.
    int reported_crashes = 0;
    /// Partner of a part that another instance reported as blocked.
    std::uint64_t reported_partner = 0;
    /// The leader has been told of `reported_crashes`.
    bool sum_reported = false;
    Instant last_crash_at{};

    /// Another instance has reported more crashes than are known one by one.
    bool HasSum() const;
    bool IsPart() const;
    int Count() const;
  };
  // A request or part that is not blocked any more.
  struct Lift {
    std::uint64_t digest = 0;
    Instant at{};
  };
  using Entry = std::pair<const std::uint64_t, Request>;

  Request& Remember(std::uint64_t digest, Instant now);
  bool HasCrashSince(std::uint64_t digest, Instant since) const;
  void AddCrash(Request& request, Crash crash, Instant now);
  void AddPartCrashes(const CrashSuspect& suspect, Instant now);
  void Forget(std::uint64_t digest, Instant now);
  void AddLift(std::uint64_t digest, Instant now);
  void UpdateCrashingParts(Instant now);
  void OnAnswerReport(std::uint64_t digest, Instant now);
  bool IsContradicted(const CrashReport& report, Instant now) const;
  void Contradict(const CrashReport& report, Instant now);
  std::optional<CrashingPart> FindBlocked(std::uint64_t part,
                                          Instant now) const;
  bool IsToldApart(const CrashingPart& crashing, Instant now) const;
  std::uint64_t PartnerOf(std::uint64_t part, Instant now) const;
  static CrashReport Report(std::uint64_t digest,
                            const Crash& crash,
                            Instant now);
  void MakeRoom(Instant now);
  std::vector<const Entry*> MostCrashesFirst(Instant now) const;

  std::unordered_map<std::uint64_t, Request> requests_;
  /// Requests whose crashes were forgotten and of which the leader was not told
  /// yet.
  std::vector<std::uint64_t> unreported_answers_;
  /// Parts that explain the crashes known here.
  std::vector<CrashingPart> crashing_parts_;
  /// What was unblocked lately, for the answers of the leader.
  std::vector<Lift> lifts_;
  TrustedParts trusted_parts_;
  CrashSuspects suspects_;
  std::uint64_t revision_ = 0;
};

}  // namespace jackdaw::serving
