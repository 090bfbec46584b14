#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace jackdaw {

using TokensByModel = std::map<std::string, std::int64_t, std::less<>>;

/// Demand for models, shared between threads: the threads that serve callers
/// record the tokens requested, and the placement thread reads them and
/// publishes when models without a copy are expected to be ready.
class DemandTracker {
 public:
  /// Records an admitted request. @param tokens tokens charged for it
  void OnRequest(std::string_view model, std::int64_t tokens);
  /// Counts callers that wait for a model without a copy.
  /// @param change +1 when a caller starts to wait, -1 when it stops
  void OnWaitingChanged(std::string_view model, int change);

  /// Returns the tokens charged per model since the last call.
  TokensByModel TakeTokens();
  /// Returns the models that callers wait for.
  std::vector<std::string> AwaitedModels() const;

  /// Sets when models without a copy are expected to be ready.
  void SetExpectedReady(std::map<std::string, Instant, std::less<>> expected);
  /// Returns when a model is expected to be ready.
  /// @param otherwise result for a model with no expected time
  Instant ExpectedReadyAt(std::string_view model, Instant otherwise) const;

 private:
  mutable std::mutex mutex_;
  TokensByModel tokens_;
  std::map<std::string, int, std::less<>> waiting_;
  std::map<std::string, Instant, std::less<>> expected_;
};

}  // namespace jackdaw
