#pragma once

#include <algorithm>
#include <cstdint>
#include <queue>
#include <string>
#include <vector>

#include "core/time.h"
#include "routing/target_report.h"

namespace jackdaw {

/// When a request that was given to a FakeEngine brings its tokens.
struct FakeService {
  Instant first_token{};
  Instant end{};
  Micros between_tokens{};
};

/// Small model of an engine that batches: a bounded number of sequences at
/// once, each the slower the more there are, and a first-come queue before.
class FakeEngine {
 public:
  explicit FakeEngine(std::vector<std::string> models)
      : models_(std::move(models)) {}

  /// Takes a request. Times are fixed when it is taken.
  FakeService Take(Instant now,
                   std::int64_t prompt_tokens,
                   std::int64_t output_tokens) {
    Retire(now);
    Instant start = now;
    if (ends_.size() >= kSequences) {
      start = ends_.top();
      ends_.pop();
    }
    const auto active = static_cast<std::int64_t>(ends_.size());
    FakeService service;
    service.first_token = start + kPrefill + kPrefillToken * prompt_tokens;
    service.between_tokens = kDecode + kDecodeEach * active;
    service.end = service.first_token + service.between_tokens * output_tokens;
    ends_.push(service.end);
    return service;
  }

  TargetReport Report(Instant now) {
    Retire(now);
    TargetReport report;
    report.running = static_cast<std::int64_t>(ends_.size());
    report.models = models_;
    report.leaving = leaving;
    return report;
  }

  bool up = true;
  bool leaving = false;

 private:
  static constexpr std::size_t kSequences = 32;
  static constexpr Micros kPrefill = 40ms;
  static constexpr Micros kPrefillToken = 150us;
  static constexpr Micros kDecode = 15ms;
  static constexpr Micros kDecodeEach = 1ms;

  void Retire(Instant now) {
    while (!ends_.empty() && ends_.top() <= now) {
      ends_.pop();
    }
  }

  std::vector<std::string> models_;
  std::priority_queue<Instant, std::vector<Instant>, std::greater<>> ends_;
};

}  // namespace jackdaw
