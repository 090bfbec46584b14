#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// Steps of one request, kept in memory until its end. The log line of a
/// request contains them if the request failed, was late or was rejected.
class RequestTrace {
 public:
  explicit RequestTrace(Instant started_at) : started_at_(started_at) {}

  /// Adds a decision and its inputs. If there are too many steps, the oldest
  /// one after the first few is dropped.
  void Add(Instant now, std::string_view step, std::string_view detail = {});

  /// Returns all steps as one text: `+<n>ms step detail; ...`.
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
