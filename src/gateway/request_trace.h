#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// Steps of one request, kept in memory and written as one log line at its
/// end: all of them where it failed, was late or was refused, else a summary.
class RequestTrace {
 public:
  explicit RequestTrace(Instant started_at) : started_at_(started_at) {}

  /// Notes a decision and the inputs that decided it. The oldest steps after
  /// the first few give way when there are too many.
  void Add(Instant now, std::string_view step, std::string_view detail = {});

  /// All steps as one text: `+ms step detail; ...`.
  std::string Text() const;
  Instant started_at() const { return started_at_; }

 private:
  struct Step {
    Instant at;
    std::string text;
  };

  Instant started_at_;
  std::vector<Step> steps_;
  int dropped_ = 0;
};

}  // namespace jackdaw::serving
