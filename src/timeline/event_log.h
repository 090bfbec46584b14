#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "core/clock.h"
#include "timeline/event.h"

namespace jackdaw {

/// Bounded log of the newest events of one process; thread-safe. When it is
/// full, the oldest event is dropped and counted.
class EventLog {
 public:
  /// @param capacity maximum number of events kept
  EventLog(const MonotonicClock& clock, std::size_t capacity);

  /// Adds an event with the next timestamp.
  void Add(EventKind kind,
           std::string_view request_id,
           std::string_view workspace,
           std::string_view target,
           std::string detail);

  /// Returns the timestamp for an outgoing message.
  HybridTimestamp NextTimestamp();
  /// Advances the clock to at least the timestamp of a received message.
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

/// Encodes a log as JSON: {"process": name, "dropped": n, "events": [...]}.
std::string EncodeEvents(std::string_view process, const EventLog& log);

}  // namespace jackdaw
