#pragma once

#include <map>
#include <string>

#include "core/time.h"

namespace jackdaw::serving {

/// Tracks requests for models that no target holds, and estimates when their
/// callers should retry: when the model has probably been loaded, counted from
/// the first request for it at this instance.
class MissingModelTracker {
 public:
  /// Result for a request whose model no target holds.
  struct RetryEstimate {
    /// Time at which the caller should retry.
    Instant retry_at{};
    /// This is the first request for the model, or the first after a long time.
    bool is_new = false;
  };

  /// Records a request for a model that no target holds.
  /// @param name service and model, as `service/model`
  /// @param load_time duration of a model load
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
