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
Micros WriteInterval(std::size_t instances);

/// Refusal records of this instance from the refusal until they are stored.
/// Pure: it says what is to be put, and takes what came of it.
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
  std::optional<LineBatch> OldestBatch();

  /// The store holds all records up to a number.
  void OnStored(std::uint64_t through);

  std::uint64_t last() const { return queue_.last(); }
  std::uint64_t stored_through() const { return stored_through_; }
  std::size_t bytes() const { return queue_.bytes(); }
  bool all_stored() const { return queue_.empty() && lost_.count == 0; }

 private:
  void Append(Instant when, std::string text);
  void AppendPendingGap();

  LineQueue queue_;
  std::size_t max_bytes_;
  LostRecords lost_;
  std::uint64_t next_number_ = 1;
  std::uint64_t stored_through_ = 0;
  /// Spreads the writes of instances that started together.
  std::uint64_t phase_ = 0;
  Instant next_write_{};
};

}  // namespace jackdaw
