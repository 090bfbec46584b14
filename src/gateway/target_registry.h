#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/homes.h"
#include "gateway/target.h"
#include "serving/config.h"
#include "serving/request_metadata.h"

namespace jackdaw::serving {

using TargetPtr = std::shared_ptr<Target>;

/// Criteria for the choice of a target.
struct TargetQuery {
  std::string_view service;
  const RequestMetadata* call = nullptr;
  /// Engine of the service; null for a plain service, which has no inference
  /// engine.
  const EngineSpec* engine = nullptr;
  /// Targets that must not be chosen.
  std::span<const TargetPtr> excluded;
  /// Failure domains that the targets may be in.
  AllowedDomains homes;
};

/// Whether a target was chosen, or why not.
enum class PickOutcome : std::uint8_t {
  kChosen,
  /// The service has no usable target, or all that could serve the request are
  /// excluded.
  kNoTarget,
  /// The service has targets, but none holds the model.
  kNoModel,
  /// Targets hold the model, but none is known to hold the adapter.
  kNoAdapter,
  /// All that could serve the request have asked for rest.
  kResting,
  /// All that could serve the request have named a limit, and this instance may
  /// not send to them without asking.
  kLimited,
  /// All targets of the service are in evacuated failure domains.
  kEvacuated,
  /// No target in the allowed regions can serve the request, but others can.
  kNoHome,
};

/// Whether a target of the service may be chosen for a request, or why not.
enum class Availability : std::uint8_t {
  kUsable,
  kModelNotHeld,
  kResting,
  kExcluded,
  kAdapterNotHeld,
  kLimited,
  kEvacuated,
  /// Outside the allowed regions; it could serve the request there.
  kOutsideHomes,
  /// The same, without the model.
  kOutsideHomesWithoutModel,
};

/// The chosen target, with the figures behind the choice.
struct TargetPick {
  PickOutcome outcome = PickOutcome::kNoTarget;
  /// The chosen target; for kLimited the one to ask for.
  TargetPtr target;
  /// Expected time to the first byte plus penalties, in milliseconds.
  double cost_ms = 0;
  int candidates = 0;
  /// For kResting, and for kLimited once it was asked for: time at which the
  /// caller may come back.
  Instant retry_at{};
};

/// How a request ended at a target.
enum class TargetOutcome : std::uint8_t {
  kAnswered,
  /// The target's response reports a failure, or the target stalled.
  kFailed,
  /// The target rejected the request and stated that it had not run it.
  kRejected,
  /// No connection could be opened.
  kUnreachable,
  /// The connection broke before the response was complete.
  kBroken,
  /// Ended for a reason that says nothing about the target, for example by the
  /// caller or the deadline.
  kAbandoned,
};

/// Returns the digest that identifies a target in messages between instances.
std::uint64_t TargetDigest(std::string_view id);
/// Returns the digest of a prompt part for the request's model and adapter. It
/// is the same at all instances.
std::uint64_t PartDigest(const RequestMetadata& call, std::uint64_t part);

/// The targets of the fleet as one instance sees them, and the choice among
/// them: the one with the least expected time to the first byte, which takes
/// the failure domain, the prefix cache and the share of failures into account.
class TargetRegistry {
 public:
  /// @param failure_domain the instance's own failure domain
  /// @param regions regions of the deployment's failure domains
  explicit TargetRegistry(std::string failure_domain, RegionMap regions = {});

  /// Adds or updates a target. An entry of an earlier incarnation is ignored.
  /// @returns true if the target is new, is a new incarnation, or changed its
  /// address, state, or models; adapters do not count
  bool Update(const TargetRegistration& entry);
  /// Removes a target: no new request is sent to it.
  void Remove(std::string_view id);
  /// Sets the failure domains whose targets get no new request.
  void SetEvacuated(const DomainSet& domains, Instant now);
  const DomainSet& evacuated_domains() const { return evacuated_domains_; }
  const RegionMap& regions() const { return regions_; }

  /// Returns the target with the lowest cost, or why there is none.
  TargetPick Pick(const TargetQuery& query, Instant now) const;

  /// Records that this instance sends a request to the target.
  /// @returns the prompt tokens that are probably not in its prefix cache
  std::int64_t OnSent(Target& target, const RequestMetadata& call, Instant now);
  /// Records that another instance has sent a request to a target.
  /// @param tokens prompt tokens that are probably not in its prefix cache
  /// @param parts digests of the prompt parts (see PartDigest)
  void OnPeerDispatch(std::uint64_t target_digest,
                      std::int64_t tokens,
                      std::span<const std::uint64_t> parts,
                      Instant now);
  /// Records the head of a response and the load report in it.
  /// @param expected_prefill expected time from sending to the end of the
  /// prefill; 0 for a plain request
  void OnFirstByte(Target& target,
                   const ResponseMetadata& response,
                   Micros expected_prefill,
                   Instant sent_at,
                   Instant now);
  /// Records the end of a request.
  /// @param had_first_byte whether OnFirstByte was called for it
  void OnEnded(Target& target,
               TargetOutcome outcome,
               bool had_first_byte,
               Instant sent_at,
               Instant now);
  /// Returns the estimated prefill time of the request's prompt at the target.
  static Micros PrefillTime(const Target& target,
                            const RequestMetadata& call,
                            Instant now);
  /// Lets this instance send to targets that have named a limit, as far as it
  /// allows; see RateLimit.
  /// @param until time at which the permission ends unless it is given again
  void AllowLimitedSends(Instant until) { limited_sends_until_ = until; }
  /// Whether this instance decides which requests a limited target gets.
  bool DecidesLimitedSends(Instant now) const {
    return now < limited_sends_until_;
  }
  /// Counts a request to a limited target that another instance asks for.
  /// @returns false if the target must not get it now
  bool TryTakeSend(Target& target, Instant now) const;
  /// This instance begins to decide on requests to limited targets.
  void RestartRateLimits(Instant now);
  /// Returns what is known of the limits of targets.
  std::vector<RateLimitReport> RateLimits(Instant now) const;
  /// Returns what is known of the limit of one target that has named one.
  static RateLimitReport RateLimitOf(const Target& target, Instant now);
  void AddRateLimits(std::span<const RateLimitReport> reports, Instant now);
  /// Returns the targets that announced that they leave and whose entries do
  /// not say so; the newest ones if there are many.
  std::vector<LeavingReport> LeavingTargets() const;
  /// Applies what another instance knows; unknown targets are skipped.
  void AddLeavingTargets(std::span<const LeavingReport> reports, Instant now);
  /// Records whether the target holds an adapter, named `model/adapter`.
  void SetAdapter(Target& target, std::string_view adapter, bool held);

  TargetPtr Find(std::string_view id) const;
  /// Returns the targets of a service that are neither leaving nor in an
  /// evacuated failure domain.
  std::vector<TargetPtr> Usable(std::string_view service) const;
  const std::unordered_map<std::string, TargetPtr>& all() const {
    return targets_;
  }

 private:
  /// Notice of the incarnation that was born at a time.
  struct RememberedNotice {
    std::int64_t born_ms = 0;
    TargetNotice notice;
  };

  bool MaySend(const Target& target, Instant now) const;
  static void OnRateLimit(Target& target,
                          const ResponseMetadata& response,
                          Instant now);
  static void OnNotice(Target& target,
                       const ResponseMetadata& response,
                       Instant now);
  void RememberNotice(const Target& target);
  void RestoreNotice(Target& target, const TargetRegistration& entry) const;
  /// Adds the prefill of a prompt to the target's queue.
  static void Enqueue(Target& target, std::int64_t tokens, Instant now);
  Availability Check(const TargetPtr& target,
                     const TargetQuery& query,
                     std::string_view adapter,
                     Instant now) const;
  /// Returns the expected time to the first byte plus penalties, in
  /// milliseconds.
  double Cost(const Target& target,
              const TargetQuery& query,
              Instant now) const;

  void MarkEvacuated(Target& target) const;

  std::string failure_domain_;
  RegionMap regions_;
  DomainSet evacuated_domains_;
  /// Time at which the last evacuation of each failure domain ended.
  std::map<std::string, Instant, std::less<>> evacuations_ended_at_;
  Instant limited_sends_until_{};
  std::unordered_map<std::string, TargetPtr> targets_;
  /// Targets that another incarnation or address has replaced, for which
  /// requests may still wait.
  std::vector<std::weak_ptr<Target>> replaced_;
  std::unordered_map<std::uint64_t, TargetPtr> by_digest_;
  /// Notices of targets whose entries were removed or replaced, by id.
  std::unordered_map<std::string, RememberedNotice> remembered_notices_;
};

}  // namespace jackdaw::serving
