#include "quota/local_quotas.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Fraction of the allowed overshoot and slack that is used. The rest covers the
// time that requests spend in transit.
constexpr double kUsedTolerance = 0.7;

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

double FractionHeld(std::size_t parts) {
  return static_cast<double>(parts) / static_cast<double>(kPartsPerPool);
}

}  // namespace

// The used fraction of the overshoot raises both rate and burst.
double LocalQuotas::Rate(const Bucket& bucket) const {
  return FractionHeld(bucket.parts) * bucket.rate *
         (1 + kUsedTolerance * tolerance_.overshoot);
}

double LocalQuotas::Capacity(const Bucket& bucket) const {
  const double burst =
      bucket.burst * (1 + kUsedTolerance * tolerance_.overshoot);
  return FractionHeld(bucket.parts) *
         (burst + (bucket.limited ? kUsedTolerance * tolerance_.slack : 0));
}

void LocalQuotas::Refill(Bucket& bucket, Instant now) const {
  if (now <= bucket.refilled_at) {
    return;
  }
  const double span = Seconds(now - bucket.refilled_at);
  bucket.refilled_at = now;
  const double capacity = Capacity(bucket);
  if (bucket.balance < capacity) {
    bucket.balance = std::min(capacity, bucket.balance + span * Rate(bucket));
  }
  if (bucket.balance >= capacity) {
    bucket.full_at = now;
  }
}

const LocalQuotas::Bucket* LocalQuotas::Find(std::string_view workspace) const {
  const auto found = buckets_.find(std::string(workspace));
  return found == buckets_.end() ? nullptr : &found->second;
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
    bucket.parts = PartsOfPool(parts_, PoolOf(workspace.name));
    bucket.balance = std::min(bucket.balance, Capacity(bucket));
    updated.emplace(workspace.name, bucket);
  }
  buckets_ = std::move(updated);
}

void LocalQuotas::Reserve(const PartSet& parts, Instant now) {
  reserved_ = parts;
  reserved_at_ = now;
}

// Of a part that is given up, the units go with it; the rest of the balance
// stays.
void LocalQuotas::SetParts(const PartSet& parts,
                           std::int64_t epoch,
                           Instant now) {
  DropIfLapsed(now);
  for (auto& [name, bucket] : buckets_) {
    Refill(bucket, now);
    const std::size_t pool = PoolOf(name);
    const std::size_t kept = PartsOfPool(parts & parts_, pool);
    const std::size_t before = bucket.parts;
    if (before > 0) {
      bucket.balance *= static_cast<double>(kept) / static_cast<double>(before);
    }
    bucket.parts = PartsOfPool(parts & reserved_ & ~parts_, pool);
    bucket.balance += Rate(bucket) * Seconds(now - reserved_at_);
    bucket.parts = PartsOfPool(parts, pool);
    bucket.balance = std::min(bucket.balance, Capacity(bucket));
  }
  reserved_.reset();
  parts_ = parts;
  epoch_ = epoch;
}

void LocalQuotas::ExtendUntil(Instant until, Instant now) {
  DropIfLapsed(now);
  usable_until_ = std::max(usable_until_, until);
}

void LocalQuotas::DropIfLapsed(Instant now) {
  if (now <= usable_until_ || parts_.none()) {
    return;
  }
  parts_.reset();
  epoch_ = -1;
  for (auto& [name, bucket] : buckets_) {
    bucket.parts = 0;
    bucket.balance = 0;
  }
}

bool LocalQuotas::IsLimited(std::string_view workspace) const {
  const Bucket* bucket = Find(workspace);
  return bucket != nullptr && bucket->limited;
}

QuotaLevel LocalQuotas::Level(std::string_view workspace, Instant now) {
  DropIfLapsed(now);
  Bucket* bucket = Find(workspace);
  if (bucket == nullptr) {
    return {};
  }
  Refill(*bucket, now);
  return {bucket->balance, Rate(*bucket), Capacity(*bucket)};
}

double LocalQuotas::FleetRate(std::string_view workspace) const {
  const Bucket* bucket = Find(workspace);
  return bucket == nullptr ? 0 : bucket->rate;
}

double LocalQuotas::Take(std::string_view workspace,
                         double units,
                         Instant now) {
  const double taken =
      std::clamp(Level(workspace, now).balance, 0.0, std::max(0.0, units));
  if (taken > 0) {
    Find(workspace)->balance -= taken;
  }
  return taken;
}

void LocalQuotas::Refund(std::string_view workspace,
                         double units,
                         Instant taken_at,
                         Instant now) {
  const QuotaLevel level = Level(workspace, now);
  Bucket* bucket = Find(workspace);
  if (bucket == nullptr || units <= 0 || taken_at < bucket->full_at) {
    return;
  }
  bucket->balance = std::min(level.capacity, level.balance + units);
}

}  // namespace jackdaw::serving
