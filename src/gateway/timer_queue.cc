#include "gateway/timer_queue.h"

#include <utility>

namespace jackdaw::serving {
namespace {

// Deadlines within one tick share a wake-up of the timer.
constexpr Micros kTimerTick = 4ms;

}  // namespace

TimerQueue::TimerQueue(boost::asio::io_context& context,
                       const MonotonicClock& clock)
    : clock_(clock), timer_(context) {}

void TimerQueue::Set(Handle& handle, Instant deadline, Callback callback) {
  Clear(handle);
  handle.at_ = entries_.emplace(deadline, [&handle, run = std::move(callback)] {
    handle.set_ = false;
    run();
  });
  handle.set_ = true;
  Arm();
}

void TimerQueue::Clear(Handle& handle) {
  if (handle.set_) {
    entries_.erase(handle.at_);
    handle.set_ = false;
  }
}

// Sets the timer for the first deadline. A timer that is set for an earlier
// time is left as it is: it finds nothing due and is set again.
void TimerQueue::Arm() {
  if (entries_.empty()) {
    return;
  }
  const Instant first = entries_.begin()->first;
  if (timer_armed_ && timer_deadline_ <= first + kTimerTick) {
    return;
  }
  timer_armed_ = true;
  timer_deadline_ = first + kTimerTick;
  timer_.expires_after(std::max(Micros(0), timer_deadline_ - clock_.Now()));
  timer_.async_wait([this](const auto& failure) {
    if (!failure) {
      OnTimer();
    }
  });
}

void TimerQueue::OnTimer() {
  timer_armed_ = false;
  const Instant now = clock_.Now();
  while (!entries_.empty() && entries_.begin()->first <= now) {
    const Callback run = std::move(entries_.begin()->second);
    entries_.erase(entries_.begin());
    run();
  }
  Arm();
}

}  // namespace jackdaw::serving
