#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "record/line_queue.h"
#include "record/refusal_record.h"

namespace jackdaw {

/// Time between two objects written by one instance, so that the whole fleet
/// stays within its part of the store's writes.
/// @param instances instances in the fleet
Micros PutInterval(std::size_t instances);

/// Records to hand to the peer that holds copies.
struct CopyPiece {
  /// Number of the first record; 0 when it only tells that the owner lives.
  std::uint64_t first = 0;
  std::string records;
  std::uint64_t stored_through = 0;
};

/// Refusal records of this instance from the refusal until they are stored.
/// Pure: it says what is to be put and copied, and takes what came of it.
/// Records beyond the memory bound are counted, and the count is a record.
class RefusalBuffer {
 public:
  /// @param max_bytes bound on the records held
  RefusalBuffer(RecordOwner owner, std::size_t max_bytes, Instant now);

  void Add(Instant now, const RefusalRecord& record);

  /// Counts records that were lost on their way here.
  void AddLost(Instant now, std::uint64_t count);

  /// The next object, if one is due. The same lines are asked for again until
  /// OnStored. @param instances instances in the fleet
  std::optional<LineBatch> NextBatch(Instant now, std::size_t instances);

  /// The next object whether or not one is due.
  std::optional<LineBatch> AnyBatch();

  /// The store holds all records up to a number.
  void OnStored(std::uint64_t through);

  /// What to send to the peer now, if anything. A change of the peer sends
  /// everything again.
  std::optional<CopyPiece> NextCopy(Instant now, std::string_view peer);

  /// A peer holds all records up to a number, and has stored up to another.
  void OnHeld(std::string_view peer,
              std::uint64_t held_through,
              std::uint64_t stored_through);

  std::uint64_t last() const { return queue_.last(); }
  std::uint64_t stored_through() const { return stored_through_; }
  std::uint64_t held_through() const { return held_through_; }
  std::size_t bytes() const { return queue_.bytes(); }
  bool all_stored() const { return queue_.empty() && lost_.count == 0; }
  /// True when each record is stored or held by a peer.
  bool all_safe() const {
    return all_stored() || (lost_.count == 0 && held_through_ >= last());
  }

 private:
  void Append(Instant when, std::string text);
  void RecordLoss();

  LineQueue queue_;
  std::size_t max_bytes_;
  LostRecords lost_;
  std::uint64_t next_number_ = 1;
  std::uint64_t stored_through_ = 0;
  /// Spreads the writes of instances that started together.
  std::uint64_t phase_ = 0;
  Instant next_put_{};
  std::string peer_;
  std::uint64_t held_through_ = 0;
  std::uint64_t sent_through_ = 0;
  Instant resend_at_{};
};

}  // namespace jackdaw
