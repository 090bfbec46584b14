#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

#include "core/clock.h"

namespace jackdaw::serving {

/// Timers of many connections and requests on one event loop, served by one
/// system timer. Callbacks run up to 4 ms late, so that not every change of a
/// deadline needs a call to set the system timer.
class TimerQueue {
 public:
  using Callback = std::function<void()>;
  using Entries = std::multimap<Instant, Callback>;

  /// One timer, set or not. The owner must clear it before destroying it.
  class Handle {
   public:
    Handle() = default;

   private:
    friend class TimerQueue;
    Entries::iterator at_;
    bool set_ = false;
  };

  TimerQueue(boost::asio::io_context& context, const MonotonicClock& clock);

  /// Calls `callback` once at `deadline` or shortly after. Replaces an earlier
  /// deadline and callback of the handle.
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
