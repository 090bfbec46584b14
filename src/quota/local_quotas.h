#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "core/time.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// How the fleet-wide bounds of quotas are judged.
struct QuotaTolerance {
  /// Share of the bound that may be exceeded.
  double overshoot = 0;
  /// Units that may be exceeded besides.
  double slack = 0;
};

/// What came of spending units.
struct SpendOutcome {
  bool granted = false;
  /// Units that are missing, where not granted.
  double missing = 0;
  /// Moment at which the instance's own part will have grown to the need.
  Instant retry_at{};
};

/// The part of each workspace's quota that this instance may spend. The parts
/// of all instances together never exceed the quota, so spending needs no
/// message. Units can be given to another instance, which lowers the part
/// here before it rises there.
class LocalQuotas {
 public:
  explicit LocalQuotas(const QuotaTolerance& tolerance)
      : tolerance_(tolerance) {}

  /// Takes the quotas of a new configuration. A new bucket starts with
  /// `fill` of its burst.
  void OnConfig(const ServingConfig& config, Instant now);
  /// Sets the part of the fleet's quotas that this instance holds, from 0 to
  /// 1. A lower part drops the units that no longer fit.
  void SetShare(double share, Instant now);
  double share() const { return share_; }

  /// Spends units for a request about to be sent.
  SpendOutcome Spend(std::string_view workspace, double units, Instant now);
  /// Gives back the units of a request that has not run.
  void Refund(std::string_view workspace, double units, Instant now);
  /// Lowers the own part for another instance that asks for units.
  /// @returns the units given, 0 where the own need comes first
  double Give(std::string_view workspace, double units, Instant now);
  /// Raises the own part by units that another instance has given.
  void Receive(std::string_view workspace, double units, Instant now);
  /// Units that the instance holds now.
  double AvailableUnits(std::string_view workspace, Instant now);

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double balance = 0;
    /// Units spent lately, an average per second.
    double spent_per_second = 0;
    Instant refilled_at{};
    bool limited = false;
  };

  void Refill(Bucket& bucket, Instant now) const;
  /// Units per second that the own part grows by, and the most it holds.
  double Rate(const Bucket& bucket) const;
  double Capacity(const Bucket& bucket) const;
  Bucket* Find(std::string_view workspace);

  QuotaTolerance tolerance_;
  double share_ = 0;
  std::unordered_map<std::string, Bucket> buckets_;
};

}  // namespace jackdaw::serving
