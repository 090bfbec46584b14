#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "core/time.h"
#include "quota/quota_parts.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// Amount by which the fleet may exceed the quotas.
struct QuotaTolerance {
  /// Excess that is allowed, as a fraction of the quota.
  double overshoot = 0;
  /// Excess that is allowed in addition, in units.
  double slack = 0;
};

/// What an instance has of one workspace's quota.
struct QuotaLevel {
  /// Units that can be spent now.
  double balance = 0;
  /// Units per second by which the balance grows, up to the capacity.
  double rate = 0;
  double capacity = 0;
};

/// The parts of the workspaces' quotas that this instance may spend. No part is
/// held by two instances, so spending from it needs no message. Other instances
/// have units charged here.
///
/// The parts lapse at a deadline, which each contact to the fleet extends. It
/// is checked by each call, as the process may have been paused before it. All
/// times are of a clock that counts while the machine is suspended.
class LocalQuotas {
 public:
  explicit LocalQuotas(const QuotaTolerance& tolerance)
      : tolerance_(tolerance) {}

  /// Applies the quotas of a new configuration. A new bucket starts empty.
  void OnConfig(const ServingConfig& config, Instant now);
  /// States that no other instance uses some parts from now on, though this one
  /// may not spend from them yet. They gain units until they are set.
  void Reserve(const PartSet& parts, Instant now);
  /// Sets the parts that this instance holds. A part that is new to it brings
  /// only what it gained while it was reserved; units above the new capacity
  /// are dropped.
  /// @param epoch epoch of the table that names them
  void SetParts(const PartSet& parts, std::int64_t epoch, Instant now);
  /// Extends the deadline up to which the parts may be used. Parts that have
  /// lapsed by now stay lost.
  void ExtendUntil(Instant until, Instant now);
  /// Drops the parts if their deadline has passed.
  void DropIfLapsed(Instant now);
  const PartSet& parts() const { return parts_; }
  /// Epoch of the table of parts that is applied: 0 before the first, -1 after
  /// the parts have lapsed.
  std::int64_t epoch() const { return epoch_; }

  /// Whether the workspace's requests are limited; unknown ones are not.
  bool IsLimited(std::string_view workspace) const;
  /// Returns what this instance holds; all zero for an unknown workspace.
  QuotaLevel Level(std::string_view workspace, Instant now);
  /// Returns units per second over all instances.
  double FleetRate(std::string_view workspace) const;
  /// Takes units. @returns those taken, the whole or what is there
  double Take(std::string_view workspace, double units, Instant now);
  /// Returns units of a request that has not run.
  /// @param taken_at time at which the units were taken. If the bucket has been
  /// full since, they would have been lost anyway, so none are returned.
  void Refund(std::string_view workspace,
              double units,
              Instant taken_at,
              Instant now);

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double balance = 0;
    Instant refilled_at{};
    /// Last time at which the bucket was full.
    Instant full_at{};
    bool limited = false;
    /// Parts of the workspace's pool that this instance holds.
    std::size_t parts = 0;
  };

  void Refill(Bucket& bucket, Instant now) const;
  double Rate(const Bucket& bucket) const;
  double Capacity(const Bucket& bucket) const;
  Bucket* Find(std::string_view workspace);
  const Bucket* Find(std::string_view workspace) const;

  QuotaTolerance tolerance_;
  PartSet parts_;
  PartSet reserved_;
  Instant reserved_at_{};
  std::int64_t epoch_ = 0;
  /// Time up to which the parts may be used.
  Instant usable_until_{};
  std::unordered_map<std::string, Bucket> buckets_;
};

}  // namespace jackdaw::serving
