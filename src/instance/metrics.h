#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/refusal.h"

namespace jackdaw {

/// Counters of an instance for Prometheus, safe to use from every thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void CountRequest(std::string_view workspace);
  void CountRefusal(RefusalKind kind, Ran ran);
  void CountRetry();
  /// An answer or event that was not of the request it came for.
  void CountDroppedAnswer();
  void CountTokens(std::uint64_t tokens);
  /// @param millis time from the request to its first byte
  void ObserveFirstByte(double millis);
  void SetInFlight(double requests);
  void SetConfigVersion(double version);

  /// Text form for scraping.
  std::string Expose() const;

 private:
  struct Families;
  std::unique_ptr<Families> families_;
};

}  // namespace jackdaw
