#include "quota/local_quotas.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Fraction of the allowed overshoot and slack that is used. The rest covers the
// time that requests spend in transit.
constexpr double kUsedTolerance = 0.7;
// Time constant of the average of spending.
constexpr double kSpendAverageSeconds = 1.0;
// Seconds of this instance's own spending that are held back when another
// instance requests units.
constexpr double kReserveSeconds = 0.5;

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

// The used fraction of the overshoot raises both rate and burst.
double LocalQuotas::Rate(const Bucket& bucket) const {
  return share_ * bucket.rate * (1 + kUsedTolerance * tolerance_.overshoot);
}

double LocalQuotas::Capacity(const Bucket& bucket) const {
  const double burst =
      bucket.burst * (1 + kUsedTolerance * tolerance_.overshoot);
  return share_ *
         (burst + (bucket.limited ? kUsedTolerance * tolerance_.slack : 0));
}

void LocalQuotas::Refill(Bucket& bucket, Instant now) const {
  if (now <= bucket.refilled_at) {
    return;
  }
  const double span = Seconds(now - bucket.refilled_at);
  bucket.refilled_at = now;
  bucket.spent_per_second *= std::exp(-span / kSpendAverageSeconds);
  const double capacity = Capacity(bucket);
  if (bucket.balance < capacity) {
    bucket.balance = std::min(capacity, bucket.balance + span * Rate(bucket));
  }
}

LocalQuotas::Bucket* LocalQuotas::Find(std::string_view workspace) {
  const auto found = buckets_.find(std::string(workspace));
  return found == buckets_.end() ? nullptr : &found->second;
}

void LocalQuotas::OnConfig(const ServingConfig& config, Instant now) {
  std::unordered_map<std::string, Bucket> updated;
  for (const Workspace& workspace : config.workspaces) {
    Bucket bucket;
    if (Bucket* old = Find(workspace.name)) {
      Refill(*old, now);
      bucket = *old;
    }
    bucket.refilled_at = now;
    bucket.rate = workspace.rate;
    bucket.burst = workspace.burst;
    bucket.limited = workspace.rate > 0 || workspace.burst > 0;
    bucket.balance = std::min(bucket.balance, Capacity(bucket));
    updated.emplace(workspace.name, bucket);
  }
  buckets_ = std::move(updated);
}

void LocalQuotas::SetShare(double share, Instant now) {
  for (auto& [name, bucket] : buckets_) {
    Refill(bucket, now);
  }
  share_ = share;
  for (auto& [name, bucket] : buckets_) {
    bucket.balance = std::min(bucket.balance, Capacity(bucket));
  }
}

SpendOutcome LocalQuotas::Spend(std::string_view workspace,
                                double units,
                                Instant now) {
  SpendOutcome outcome;
  Bucket* bucket = Find(workspace);
  if (bucket == nullptr || !bucket->limited) {
    outcome.granted = true;
    return outcome;
  }
  Refill(*bucket, now);
  if (bucket->balance >= units) {
    bucket->balance -= units;
    bucket->spent_per_second += units / kSpendAverageSeconds;
    outcome.granted = true;
    return outcome;
  }
  outcome.missing = units - bucket->balance;
  const double rate = std::max(1.0, Rate(*bucket));
  outcome.retry_at =
      now + Micros(static_cast<std::int64_t>(outcome.missing / rate * 1e6));
  return outcome;
}

void LocalQuotas::Refund(std::string_view workspace,
                         double units,
                         Instant now) {
  if (Bucket* bucket = Find(workspace)) {
    Refill(*bucket, now);
    bucket->balance = std::min(Capacity(*bucket), bucket->balance + units);
  }
}

double LocalQuotas::Give(std::string_view workspace,
                         double units,
                         Instant now) {
  Bucket* bucket = Find(workspace);
  if (bucket == nullptr || !bucket->limited) {
    return 0;
  }
  Refill(*bucket, now);
  const double spare =
      bucket->balance - kReserveSeconds * bucket->spent_per_second;
  const double given = std::clamp(spare, 0.0, units);
  bucket->balance -= given;
  return given;
}

void LocalQuotas::Receive(std::string_view workspace,
                          double units,
                          Instant now) {
  if (Bucket* bucket = Find(workspace)) {
    Refill(*bucket, now);
    bucket->balance += units;
  }
}

double LocalQuotas::AvailableUnits(std::string_view workspace, Instant now) {
  Bucket* bucket = Find(workspace);
  if (bucket == nullptr) {
    return 0;
  }
  Refill(*bucket, now);
  return bucket->balance;
}

}  // namespace jackdaw::serving
