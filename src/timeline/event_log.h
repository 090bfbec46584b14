#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "core/clock.h"
#include "timeline/event.h"

namespace jackdaw {

/// Bounded log of the newest events of one process, safe to use from every
/// thread. The oldest events give way and are counted.
class EventLog {
 public:
  /// @param capacity events kept
  EventLog(const MonotonicClock& clock, std::size_t capacity);

  /// Stamps and keeps an event.
  void Add(EventKind kind,
           std::string_view request_id,
           std::string_view workspace,
           std::string_view target,
           std::string detail);

  /// Stamp for an outgoing message.
  HybridTimestamp NextTimestamp();
  /// Takes in the stamp of a received message.
  void Observe(HybridTimestamp remote);

  std::vector<Event> Snapshot() const;
  std::uint64_t dropped() const;

 private:
  const MonotonicClock& clock_;
  std::size_t capacity_;
  mutable std::mutex mutex_;
  HybridClock hybrid_;
  std::deque<Event> events_;
  std::uint64_t dropped_ = 0;
};

/// JSON form: {"process": name, "dropped": n, "events": [...]}.
std::string EncodeEvents(std::string_view process, const EventLog& log);

}  // namespace jackdaw
