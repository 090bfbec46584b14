#pragma once

#include <map>
#include <string>

#include "core/time.h"

namespace jackdaw::serving {

/// When callers whose model no target holds are to come back: once it has
/// probably been loaded, counted from when it was first asked for here.
/// Answers the load of models that come into demand.
class MissingModelTracker {
 public:
  /// What a request for a model that is not held comes to.
  struct RetryEstimate {
    /// When the caller is to come back.
    Instant retry_at{};
    /// The model was not asked for lately.
    bool is_new = false;
  };

  /// A request for a model that no target holds.
  /// @param name service and model @param load_time time that a load takes
  RetryEstimate OnMissing(const std::string& name,
                          Micros load_time,
                          Instant now);

 private:
  struct RequestTimes {
    Instant first{};
    Instant last{};
  };

  void RemoveExpired(Instant now);

  std::map<std::string, RequestTimes> requests_;
};

}  // namespace jackdaw::serving
