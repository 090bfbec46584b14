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

#include "gateway/target_pick.h"
#include "serving/config.h"
#include "serving/request_metadata.h"

namespace jackdaw::serving {

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

/// A request that was sent to a target, with what was expected of it.
struct SentRequest {
  /// Prompt tokens that are probably not in the target's prefix cache.
  std::int64_t uncached_tokens = 0;
  /// Tokens that the request may hold in the target's memory.
  std::int64_t held_tokens = 0;
  /// Expected output tokens; 0 for a plain request.
  std::int64_t output_tokens = 0;
  /// Expected time until a slot is free.
  Micros slot_wait{};
  /// Expected time to its end.
  Micros duration{};
  /// Id in the target's forecast.
  std::uint32_t forecast_id = 0;
  /// TargetSpeed::Momentary at the time of sending.
  double momentary = 1;
  Instant first_byte_at{};
};

/// A target's load as another instance knows it from a response.
struct LoadReport {
  /// See TargetDigest.
  std::uint64_t target = 0;
  int running = 0;
  int waiting = 0;
  /// Momentary ratio; 0 where the target reported none.
  double work_ratio = 0;
  /// Measured sample of the long-term ratio; 0 if there is none.
  double speed_sample = 0;
  Micros age{};
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
  /// @param preference when requests leave the failure domain
  /// @param forecast_load whether the load of all targets is forecast; else
  /// only that of services whose targets report their speed
  explicit TargetRegistry(std::string failure_domain,
                          RegionMap regions = {},
                          const DomainPreferenceSettings& preference = {},
                          bool forecast_load = false);

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
  SentRequest OnSent(Target& target, const RequestMetadata& call, Instant now);
  /// Records that another instance has sent a request to a target.
  /// @param tokens prompt tokens that are probably not in its prefix cache
  /// @param parts digests of the prompt parts (see PartDigest)
  /// @param held_tokens tokens that the request may hold; 0 if unknown
  /// @param duration expected time to its end; 0 if unknown
  void OnPeerDispatch(std::uint64_t target_digest,
                      std::int64_t tokens,
                      std::span<const std::uint64_t> parts,
                      Instant now,
                      std::int64_t held_tokens = 0,
                      Micros duration = Micros(0));
  /// Records the head of a response and the load report in it.
  /// @param expected_prefill expected time from sending to the end of the
  /// prefill; 0 for a plain request
  /// @param sent the request as OnSent returned it; null if it is not known
  void OnFirstByte(Target& target,
                   const ResponseMetadata& response,
                   Micros expected_prefill,
                   Instant sent_at,
                   Instant now,
                   SentRequest* sent = nullptr);
  /// Records the end of a request.
  /// @param had_first_byte whether OnFirstByte was called for it
  /// @param sent the request as OnSent returned it; null if it is not known
  void OnEnded(Target& target,
               TargetOutcome outcome,
               bool had_first_byte,
               Instant sent_at,
               Instant now,
               const SentRequest* sent = nullptr);
  /// Returns the load reports that came with responses since the last call, the
  /// newest of each target, for targets whose forecast is in use.
  std::vector<LoadReport> TakeLoadReports(Instant now);
  /// Returns the mean ratio of the speed over the targets that report theirs; 0
  /// if none does.
  double MeanWorkRatio(Instant now) const;
  /// Applies what another instance knows; unknown targets are skipped.
  void AddLoadReports(std::span<const LoadReport> reports, Instant now);
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
  bool TryTakeSend(Target& target, Instant now);
  /// Counts a request that this instance is about to send.
  /// @param granted the leader was asked for it
  /// @returns false if the target must not get it now
  bool TakeSend(Target& target, bool granted, Instant now);
  /// Counts a request that another instance has sent to a target whose requests
  /// of each second are bounded.
  /// @param granted the leader was asked for it
  void OnPeerSend(std::uint64_t target_digest, bool granted, Instant now);
  /// Returns the time at which a caller that must not send to the target now
  /// may come back.
  Instant NextSend(Target& target, Instant now) const;
  /// The leader or the store has answered, or a follower has reported to this
  /// instance.
  void OnContact(Instant now) { contact_at_ = now; }
  /// Sets the limits of cold targets.
  /// @param overshoot factor of what a cold target sustains in a second
  /// @param slack requests that it may get in a second above that
  void SetColdLimits(std::span<const Service> services,
                     double overshoot,
                     double slack);
  /// Applies what a target's row says of its cold time.
  /// @param entry the row, after Update
  void OnColdRow(const TargetRegistration& entry, Instant now);
  /// Takes a target for cold until a time, or until its row says otherwise.
  void MarkCold(Target& target, Instant until, Instant now);
  /// Returns the time for which targets of a service are cold after a start.
  Micros ColdTime(std::string_view service) const;
  /// Logs which targets are cold, and which not any more.
  void LogCold(Instant now);
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

  /// Notes that events are handled at this time; a longer time without any
  /// shows that the process was paused.
  void Observe(Instant now) const;
  /// Whether any service bounds the requests to its cold targets.
  bool has_cold_limits() const { return !cold_limits_.empty(); }

  /// Part of the requests that leaves the failure domain while it is short of
  /// capacity, from 0 to 1.
  double spillover_share() const { return domain_preference_.share(); }

  TargetPtr Find(std::string_view id) const;
  /// Returns the targets of a service that are neither leaving nor in an
  /// evacuated failure domain.
  std::vector<TargetPtr> Usable(std::string_view service) const;
  const std::unordered_map<std::string, TargetPtr>& all() const {
    return targets_;
  }

 private:
  /// What is known of the targets of a service together.
  struct ServiceWork {
    /// A target has reported its speed.
    bool reports_speed = false;
    /// Time of an output token at a speed ratio of 1, as a moving average.
    double token_ms = 12;
  };

  /// Notice of the incarnation that was born at a time.
  struct RememberedNotice {
    std::int64_t born_ms = 0;
    TargetNotice notice;
  };

  /// Limits of the cold targets of a service.
  struct ColdLimits {
    Micros time{};
    /// Time between two requests to one of them.
    Micros interval{};
    /// Requests in a second.
    int bound = 0;
  };

  bool MaySend(const Target& target, Instant now) const;
  void OnLoad(Target& target, const ResponseMetadata& response, Instant now);
  void UseForecast(const std::string& service);
  double TokenMs(const Target& target) const;
  Micros OutputTime(const Target& target,
                    std::int64_t tokens,
                    Instant now) const;
  Micros ExpectedDuration(const Target& target,
                          const SentRequest& sent,
                          Instant now) const;
  void LearnWork(Target& target,
                 const SentRequest& sent,
                 Instant sent_at,
                 Instant now);
  SendKnowledge Knowledge(Instant now) const;
  void ApplyColdLimits(Target& target) const;
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
  TargetPick ChooseDomain(const TargetPick& home,
                          const TargetPick& away,
                          const TargetQuery& query) const;
  Availability Check(const TargetPtr& target,
                     const TargetQuery& query,
                     std::string_view adapter,
                     Instant now) const;
  static double ForecastCost(const Target& target,
                             const TargetQuery& query,
                             Instant now);
  static double EstimatedCost(const Target& target,
                              const TargetQuery& query,
                              Instant now);
  /// Returns the expected time to the first byte plus penalties, in
  /// milliseconds.
  double Cost(const Target& target,
              const TargetQuery& query,
              Instant now) const;

  void MarkEvacuated(Target& target) const;

  std::string failure_domain_;
  bool forecast_load_ = false;
  /// Changes with each choice.
  mutable DomainPreference domain_preference_;
  RegionMap regions_;
  DomainSet evacuated_domains_;
  Instant limited_sends_until_{};
  /// Time at which this instance began to decide on limited sends.
  Instant deciding_since_{};
  std::map<std::string, ServiceWork, std::less<>> work_;
  /// Digests of targets with Target::load_unsent.
  std::vector<std::uint64_t> unsent_loads_;
  Instant contact_at_{};
  /// Time of the last event, and time from which on the notices that arrived
  /// during the last pause have been read.
  mutable Instant observed_at_{};
  mutable Instant caught_up_at_{};
  std::unordered_map<std::string, ColdLimits> cold_limits_;
  std::unordered_map<std::string, TargetPtr> targets_;
  /// Targets that another incarnation or address has replaced, for which
  /// requests may still wait.
  std::vector<std::weak_ptr<Target>> replaced_;
  std::unordered_map<std::uint64_t, TargetPtr> by_digest_;
  /// Notices of targets whose entries were removed or replaced, by id.
  std::unordered_map<std::string, RememberedNotice> remembered_notices_;
};

}  // namespace jackdaw::serving
