#pragma once

#include <atomic>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace jackdaw {

/// Lock-free ring of fixed capacity for many producers and many consumers.
/// Each slot carries a sequence number that says whose turn it is, so a push
/// or pop touches one shared counter. A full ring refuses: it never grows.
template <typename T>
class BoundedRing {
 public:
  /// @param capacity number of slots, rounded up to a power of two
  explicit BoundedRing(std::size_t capacity)
      : mask_(std::bit_ceil(capacity < 2 ? 2 : capacity) - 1),
        slots_(std::make_unique<Slot[]>(mask_ + 1)) {
    for (std::size_t i = 0; i <= mask_; ++i) {
      slots_[i].sequence.store(i, std::memory_order_relaxed);
    }
  }

  /// Appends an item by moving from it. @returns false when the ring is full;
  /// `item` is then untouched
  bool TryPush(T& item) {
    std::size_t at = tail_.load(std::memory_order_relaxed);
    for (;;) {
      Slot& slot = slots_[at & mask_];
      const std::size_t sequence =
          slot.sequence.load(std::memory_order_acquire);
      if (sequence == at) {
        if (tail_.compare_exchange_weak(at, at + 1,
                                        std::memory_order_relaxed)) {
          slot.item = std::move(item);
          slot.sequence.store(at + 1, std::memory_order_release);
          return true;
        }
      } else if (sequence < at) {
        return false;
      } else {
        at = tail_.load(std::memory_order_relaxed);
      }
    }
  }

  /// Removes the oldest item. @returns nothing when the ring is empty
  std::optional<T> TryPop() {
    std::size_t at = head_.load(std::memory_order_relaxed);
    for (;;) {
      Slot& slot = slots_[at & mask_];
      const std::size_t sequence =
          slot.sequence.load(std::memory_order_acquire);
      if (sequence == at + 1) {
        if (head_.compare_exchange_weak(at, at + 1,
                                        std::memory_order_relaxed)) {
          std::optional<T> item(std::move(slot.item));
          slot.item = T{};
          slot.sequence.store(at + mask_ + 1, std::memory_order_release);
          return item;
        }
      } else if (sequence < at + 1) {
        return std::nullopt;
      } else {
        at = head_.load(std::memory_order_relaxed);
      }
    }
  }

  std::size_t capacity() const { return mask_ + 1; }

 private:
  struct Slot {
    std::atomic<std::size_t> sequence{0};
    T item{};
  };

  std::size_t mask_;
  std::unique_ptr<Slot[]> slots_;
  alignas(64) std::atomic<std::size_t> head_{0};
  alignas(64) std::atomic<std::size_t> tail_{0};
};

}  // namespace jackdaw
