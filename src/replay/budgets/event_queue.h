#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/time.h"

namespace jackdaw {

/// Events of a run in virtual time, in order of time and then of scheduling.
class EventQueue {
 public:
  using Action = std::function<void()>;

  explicit EventQueue(Instant start) : now_(start) {}

  Instant now() const { return now_; }
  void At(Instant when, Action action) {
    events_.push({when, next_++, std::move(action)});
  }
  void After(Micros span, Action action) { At(now_ + span, std::move(action)); }

  /// Runs every event up to `end`.
  void RunUntil(Instant end) {
    while (!events_.empty() && events_.top().when <= end) {
      Action action = std::move(const_cast<Event&>(events_.top()).action);
      now_ = events_.top().when;
      events_.pop();
      action();
    }
    now_ = end;
  }

 private:
  struct Event {
    Instant when;
    std::uint64_t order;
    Action action;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  Instant now_;
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace jackdaw
