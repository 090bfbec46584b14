#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "record/line_queue.h"
#include "record/refusal_record.h"

namespace jackdaw {

/// Returns the interval between two object writes of one instance that keeps
/// all instances together within their share of the object store's write rate.
/// @param instances number of instances
Micros WriteInterval(std::size_t instances);

/// Buffers the refusal records of this instance until they are stored. Performs
/// no I/O: it returns the batches to write and is notified of stored records.
/// Records beyond the memory limit are dropped and counted; the count is
/// written as a gap record.
class RefusalBuffer {
 public:
  /// @param max_bytes size of buffered records from which new ones are dropped
  RefusalBuffer(RecordOwner owner, std::size_t max_bytes, Instant now);

  void Add(Instant now, const RefusalRecord& record);

  /// Counts records that were lost before they were added to this buffer.
  void AddLost(Instant now, std::uint64_t count);

  /// Returns the next batch if a write is due. The same lines are returned
  /// again until OnStored. @param instances number of instances
  std::optional<LineBatch> NextBatch(Instant now, std::size_t instances);

  /// Returns the next batch whether or not a write is due.
  std::optional<LineBatch> OldestBatch();

  /// Reports that the store holds all records up to and including `through`.
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
  /// Random number derived from instance name and incarnation. Modulo the write
  /// interval in microseconds, it is the delay of the first write; this spreads
  /// the writes of instances that started at the same time.
  std::uint64_t phase_ = 0;
  Instant next_write_{};
};

}  // namespace jackdaw
