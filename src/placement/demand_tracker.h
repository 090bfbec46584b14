#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace jackdaw {

using TokensByModel = std::map<std::string, std::int64_t, std::less<>>;

/// Where the threads that serve callers tell the placement thread what is
/// asked for, and learn when a model without a copy is expected.
class DemandTracker {
 public:
  /// A request for a model was admitted. @param tokens what it was charged
  void OnRequest(std::string_view model, std::int64_t tokens);
  /// A caller begins (+1) or ends (-1) to wait for a model without a copy.
  void OnWaitingChanged(std::string_view model, int change);

  /// Tokens asked for since the last call.
  TokensByModel TakeTokens();
  /// Models that callers wait for.
  std::vector<std::string> AwaitedModels() const;

  /// Says when models without a copy are expected to be ready.
  void SetExpectedReady(std::map<std::string, Instant, std::less<>> expected);
  /// @returns the expected moment, or `otherwise` for a model not expected
  Instant ExpectedReadyAt(std::string_view model, Instant otherwise) const;

 private:
  mutable std::mutex mutex_;
  TokensByModel tokens_;
  std::map<std::string, int, std::less<>> waiting_;
  std::map<std::string, Instant, std::less<>> expected_;
};

}  // namespace jackdaw
