#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

#include "core/clock.h"

namespace jackdaw::serving {

/// Deadlines of many connections on one event loop, behind one system timer.
/// Callbacks run up to kTimerTick late, which spares a timer call for each
/// event.
class DeadlineQueue {
 public:
  using Callback = std::function<void()>;
  using Entries = std::multimap<Instant, Callback>;

  /// One deadline; empty while none is set. Its owner clears it before it
  /// is destroyed.
  class Handle {
   public:
    Handle() = default;

   private:
    friend class DeadlineQueue;
    Entries::iterator at_;
    bool set_ = false;
  };

  DeadlineQueue(boost::asio::io_context& context, const MonotonicClock& clock);

  /// Calls `callback` once at `deadline` or soon after, instead of what the
  /// handle was set to before.
  void Set(Handle& handle, Instant deadline, Callback callback);
  void Clear(Handle& handle);

 private:
  void Arm();
  void OnTimer();

  const MonotonicClock& clock_;
  boost::asio::steady_timer timer_;
  Entries entries_;
  bool timer_armed_ = false;
  Instant timer_deadline_{};
};

}  // namespace jackdaw::serving
