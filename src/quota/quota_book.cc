#include "quota/quota_book.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Part of the allowed overshoot and slack that is used; the rest covers the
// time that requests spend on their way.
constexpr double kUsedMargin = 0.7;
// Time over which spending is averaged.
constexpr double kSpendSeconds = 1.0;
// Seconds of own spending that are kept back when another instance asks.
constexpr double kKeptSeconds = 0.5;

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

// The part of the allowed overshoot raises rate and burst alike.
double QuotaBook::Rate(const Bucket& bucket) const {
  return share_ * bucket.rate * (1 + kUsedMargin * terms_.overshoot);
}

double QuotaBook::Capacity(const Bucket& bucket) const {
  const double burst = bucket.burst * (1 + kUsedMargin * terms_.overshoot);
  return share_ * (burst + (bucket.limited ? kUsedMargin * terms_.slack : 0));
}

void QuotaBook::Fill(Bucket& bucket, Instant now) const {
  if (now <= bucket.filled_at) {
    return;
  }
  const double span = Seconds(now - bucket.filled_at);
  bucket.filled_at = now;
  bucket.spent_per_second *= std::exp(-span / kSpendSeconds);
  const double capacity = Capacity(bucket);
  if (bucket.held < capacity) {
    bucket.held = std::min(capacity, bucket.held + span * Rate(bucket));
  }
}

QuotaBook::Bucket* QuotaBook::Find(std::string_view workspace) {
  const auto found = buckets_.find(std::string(workspace));
  return found == buckets_.end() ? nullptr : &found->second;
}

void QuotaBook::OnConfig(const ServingConfig& config, Instant now) {
  std::unordered_map<std::string, Bucket> next;
  for (const Workspace& workspace : config.workspaces) {
    Bucket bucket;
    if (Bucket* old = Find(workspace.name)) {
      Fill(*old, now);
      bucket = *old;
    }
    bucket.filled_at = now;
    bucket.rate = workspace.rate;
    bucket.burst = workspace.burst;
    bucket.limited = workspace.rate > 0 || workspace.burst > 0;
    bucket.held = std::min(bucket.held, Capacity(bucket));
    next.emplace(workspace.name, bucket);
  }
  buckets_ = std::move(next);
}

void QuotaBook::SetShare(double share, Instant now) {
  for (auto& [name, bucket] : buckets_) {
    Fill(bucket, now);
  }
  share_ = share;
  for (auto& [name, bucket] : buckets_) {
    bucket.held = std::min(bucket.held, Capacity(bucket));
  }
}

SpendOutcome QuotaBook::Spend(std::string_view workspace,
                              double units,
                              Instant now) {
  SpendOutcome outcome;
  Bucket* bucket = Find(workspace);
  if (bucket == nullptr || !bucket->limited) {
    outcome.granted = true;
    return outcome;
  }
  Fill(*bucket, now);
  if (bucket->held >= units) {
    bucket->held -= units;
    bucket->spent_per_second += units / kSpendSeconds;
    outcome.granted = true;
    return outcome;
  }
  outcome.missing = units - bucket->held;
  const double rate = std::max(1.0, Rate(*bucket));
  outcome.retry_at =
      now + Micros(static_cast<std::int64_t>(outcome.missing / rate * 1e6));
  return outcome;
}

void QuotaBook::Refund(std::string_view workspace, double units, Instant now) {
  if (Bucket* bucket = Find(workspace)) {
    Fill(*bucket, now);
    bucket->held = std::min(Capacity(*bucket), bucket->held + units);
  }
}

double QuotaBook::Give(std::string_view workspace, double units, Instant now) {
  Bucket* bucket = Find(workspace);
  if (bucket == nullptr || !bucket->limited) {
    return 0;
  }
  Fill(*bucket, now);
  const double spare = bucket->held - kKeptSeconds * bucket->spent_per_second;
  const double given = std::clamp(spare, 0.0, units);
  bucket->held -= given;
  return given;
}

void QuotaBook::Receive(std::string_view workspace, double units, Instant now) {
  if (Bucket* bucket = Find(workspace)) {
    Fill(*bucket, now);
    bucket->held += units;
  }
}

double QuotaBook::Held(std::string_view workspace, Instant now) {
  Bucket* bucket = Find(workspace);
  if (bucket == nullptr) {
    return 0;
  }
  Fill(*bucket, now);
  return bucket->held;
}

}  // namespace jackdaw::serving
