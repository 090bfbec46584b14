#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "core/bounded_ring.h"

namespace jackdaw {

/// Bounded pipe between a producing and a consuming coroutine on two event
/// loops. A full pipe suspends the producer, so that memory stays bounded with
/// a slow consumer.
template <typename T>
class ChunkPipe : public std::enable_shared_from_this<ChunkPipe<T>> {
 public:
  ChunkPipe(const boost::asio::any_io_executor& producer,
            const boost::asio::any_io_executor& consumer,
            std::size_t capacity)
      : ring_(capacity), producer_(producer), consumer_(consumer) {}

  /// Appends an item; suspends while the pipe is full.
  /// @returns false once the consumer has closed the pipe
  boost::asio::awaitable<bool> Push(T item) {
    while (!closed_.load(std::memory_order_acquire)) {
      if (ring_.TryPush(item)) {
        consumer_.Wake(this->shared_from_this());
        co_return true;
      }
      producer_.waiting.store(true);
      if (ring_.TryPush(item)) {
        producer_.waiting.store(false);
        consumer_.Wake(this->shared_from_this());
        co_return true;
      }
      co_await producer_.Wait(std::chrono::steady_clock::time_point::max());
    }
    co_return false;
  }

  /// Removes the oldest item; suspends until there is one.
  /// @param until deadline on the steady clock
  /// @returns nothing when the deadline passed first
  boost::asio::awaitable<std::optional<T>> Pop(
      std::chrono::steady_clock::time_point until) {
    for (;;) {
      std::optional<T> item = ring_.TryPop();
      if (!item) {
        consumer_.waiting.store(true);
        item = ring_.TryPop();
      }
      if (item) {
        consumer_.waiting.store(false);
        producer_.Wake(this->shared_from_this());
        co_return item;
      }
      if (std::chrono::steady_clock::now() >= until) {
        co_return std::nullopt;
      }
      co_await consumer_.Wait(until);
    }
  }

  /// Removes the oldest item without suspending.
  /// @returns nothing when the pipe is empty
  std::optional<T> TryPop() {
    std::optional<T> item = ring_.TryPop();
    if (item) {
      producer_.Wake(this->shared_from_this());
    }
    return item;
  }

  /// Closes the pipe from the consumer's side; the producer's next push fails.
  void Close() {
    closed_.store(true, std::memory_order_release);
    boost::asio::post(producer_.timer.get_executor(),
                      [self = this->shared_from_this()] {
                        self->producer_.timer.cancel();
                        if (self->on_close_) {
                          std::exchange(self->on_close_, nullptr)();
                        }
                      });
  }

  /// Sets a function that interrupts the producer when the consumer closes the
  /// pipe. It runs on the producer's event loop, and at once if the pipe is
  /// closed already. Call on that event loop; an empty function removes it.
  void OnClose(std::function<void()> interrupt) {
    on_close_ = std::move(interrupt);
    if (closed() && on_close_) {
      std::exchange(on_close_, nullptr)();
    }
  }

  bool closed() const { return closed_.load(std::memory_order_acquire); }

 private:
  // One side of the pipe, with a timer that serves as a condition variable.
  struct Side {
    explicit Side(const boost::asio::any_io_executor& executor)
        : timer(executor) {}

    boost::asio::awaitable<void> Wait(
        std::chrono::steady_clock::time_point until) {
      timer.expires_at(until);
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    // The cancel is posted to the side's own event loop, which runs it only
    // once the coroutine there is suspended, so no wake-up is lost.
    void Wake(std::shared_ptr<ChunkPipe> self) {
      if (waiting.exchange(false)) {
        boost::asio::post(timer.get_executor(),
                          [this, self = std::move(self)] { timer.cancel(); });
      }
    }

    std::atomic<bool> waiting{false};
    boost::asio::steady_timer timer;
  };

  BoundedRing<T> ring_;
  std::atomic<bool> closed_{false};
  Side producer_;
  Side consumer_;
  std::function<void()> on_close_;
};

}  // namespace jackdaw
