#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "core/time.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// Amount by which the fleet may exceed the quotas.
struct QuotaTolerance {
  /// Excess that is allowed, as a fraction of the quota.
  double overshoot = 0;
  /// Excess that is allowed in addition, in units.
  double slack = 0;
};

/// Result of spending units.
struct SpendOutcome {
  bool granted = false;
  /// Units that are missing, where not granted.
  double missing = 0;
  /// Time at which this instance's own units will suffice, where not granted
  /// and where its capacity allows as many.
  Instant retry_at{};
};

/// The part of each workspace's quota that this instance may spend. The parts
/// of all instances together never exceed the quota and its tolerance, so
/// spending needs no message. Units can be transferred to another instance;
/// they are subtracted here before they are added there.
class LocalQuotas {
 public:
  explicit LocalQuotas(const QuotaTolerance& tolerance)
      : tolerance_(tolerance) {}

  /// Applies the quotas of a new configuration. A new bucket starts empty.
  void OnConfig(const ServingConfig& config, Instant now);
  /// Sets the fraction of the fleet's quotas that this instance holds, from 0
  /// to 1. Units above the new capacity are dropped.
  void SetShare(double share, Instant now);
  double share() const { return share_; }

  /// Spends units for a request that is about to be sent.
  SpendOutcome Spend(std::string_view workspace, double units, Instant now);
  /// Credits the workspace with the units of a request that has not run.
  void Refund(std::string_view workspace, double units, Instant now);
  /// Subtracts units for another instance that requests them.
  /// @param units units requested @returns the units given, 0 where this
  /// instance needs all of its own
  double Give(std::string_view workspace, double units, Instant now);
  /// Adds units that another instance has given.
  void Receive(std::string_view workspace, double units, Instant now);
  /// Returns the balance of this instance; only limited workspaces spend from
  /// it. 0 for an unknown workspace.
  double AvailableUnits(std::string_view workspace, Instant now);

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double balance = 0;
    /// Units spent per second, as a moving average.
    double spent_per_second = 0;
    Instant refilled_at{};
    bool limited = false;
  };

  void Refill(Bucket& bucket, Instant now) const;
  /// Units per second by which this instance's part is refilled, and the most
  /// that it can hold.
  double Rate(const Bucket& bucket) const;
  double Capacity(const Bucket& bucket) const;
  Bucket* Find(std::string_view workspace);

  QuotaTolerance tolerance_;
  double share_ = 0;
  std::unordered_map<std::string, Bucket> buckets_;
};

}  // namespace jackdaw::serving
