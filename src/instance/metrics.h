#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/refusal.h"

namespace jackdaw {

/// Prometheus metrics of an instance. Thread safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void CountRequest(std::string_view workspace);
  void CountRefusal(RefusalKind kind, Ran ran);
  void CountRetry();
  /// Counts an answer or event that was dropped because it belonged to another
  /// request.
  void CountDroppedAnswer();
  void CountTokens(std::uint64_t tokens);
  /// @param millis time from the arrival of a request to the first byte of its
  /// answer, in milliseconds
  void ObserveFirstByte(double millis);
  void SetInFlight(double requests);
  void SetConfigVersion(double version);

  /// Returns all metrics in the Prometheus text format.
  std::string Expose() const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

}  // namespace jackdaw
