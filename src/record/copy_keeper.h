#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "record/line_queue.h"

namespace jackdaw {

/// What this instance holds of a peer's records.
struct HeldState {
  std::uint64_t held_through = 0;
  std::uint64_t stored_through = 0;
};

/// A batch to store for a peer.
struct Recovery {
  RecordOwner owner;
  LineBatch batch;
};

/// Incarnation of a peer that ended without notice, all that was held stored.
struct EndedOwner {
  RecordOwner owner;
  std::uint64_t last = 0;
};

/// Copies of records that peers have not stored yet. Stores them for a peer
/// that has gone silent or says that it cannot reach the store. That is safe
/// at any time: both writers use the same object names. Pure.
class CopyKeeper {
 public:
  /// @param max_bytes bound on all copies held
  explicit CopyKeeper(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Takes a copy. @param records lines, the first numbered `first`
  /// @returns what is held now; a copy after a gap is not taken
  HeldState OnCopy(Instant now,
                   const RecordOwner& owner,
                   std::uint64_t first,
                   std::string_view records,
                   std::uint64_t stored_through,
                   bool store_reachable);

  /// The store holds a peer's records up to a number.
  void OnStored(Instant now, const RecordOwner& owner, std::uint64_t through);

  /// The next batch to store for a peer, if any.
  /// @param reachable_since since when this instance reaches the store; an
  /// outage for all makes no owner count as cut off alone
  std::optional<Recovery> NextRecovery(Instant now,
                                       Instant reachable_since) const;

  /// Takes out one peer that is gone and of which nothing is left to store.
  /// @param gone predicate: this incarnation has certainly ended
  template <typename F>
  std::optional<EndedOwner> TakeEnded(F gone) {
    for (auto it = held_.begin(); it != held_.end(); ++it) {
      if (it->second.lines.empty() && gone(it->first)) {
        EndedOwner ended{it->first, it->second.stored_through};
        held_.erase(it);
        return ended;
      }
    }
    return std::nullopt;
  }

  std::size_t bytes() const;
  std::size_t owners() const { return held_.size(); }

 private:
  struct Held {
    explicit Held(const RecordOwner& owner) : lines(owner) {}
    LineQueue lines;
    std::uint64_t held_through = 0;
    std::uint64_t stored_through = 0;
    Instant heard{};
    /// Since when the owner says that it cannot reach the store; max for not.
    Instant cut_since = Instant::max();
  };
  static void Append(Held& held, std::uint64_t first, std::string_view records);
  static bool Silent(const Held& held, Instant now);

  std::size_t max_bytes_;
  std::map<RecordOwner, Held> held_;
};

}  // namespace jackdaw
