#pragma once

#include <atomic>
#include <string>

#include "core/duty.h"
#include "instance/fleet_view.h"
#include "record/batch_writer.h"
#include "record/refusal_buffer.h"
#include "record/refusal_record.h"

namespace jackdaw {

/// Collects the refusal records of this instance and writes them to the object
/// store. Only one coroutine writes; Flush waits for it.
class RefusalLog {
 public:
  /// @param duty thread that buffers and writes the records
  RefusalLog(Duty& duty,
             const MonotonicClock& clock,
             const Endpoint& platform,
             const FleetViewHolder& view,
             RecordOwner owner);

  /// Logs a record and queues it for storage. May be called on any thread; if
  /// the queue of the recorder thread is full, the record is counted as lost.
  void Add(RefusalRecord record);

  /// Starts the coroutine that writes records periodically.
  void Start();

  /// Writes all records without waiting for the write interval, for up to 2 s.
  /// If all are stored, tries to store the end marker of this incarnation; an
  /// error of that write is ignored. Must run on the recorder thread.
  /// @returns whether all records are stored
  boost::asio::awaitable<Result<bool>> Flush();

  /// Number of calls of Add, including lost records.
  std::uint64_t added() const { return added_.load(); }
  /// Record number (from 1) of the newest record made, and the number up to
  /// which all records are stored.
  std::uint64_t made() const { return made_.load(); }
  std::uint64_t stored() const { return stored_.load(); }

 private:
  boost::asio::awaitable<void> RunWriter();
  boost::asio::awaitable<void> WriteBatches();
  void UpdateCounters();

  Duty& duty_;
  const MonotonicClock& clock_;
  const FleetViewHolder& view_;
  RecordOwner owner_;
  BatchWriter writer_;
  RefusalBuffer buffer_;
  bool flushing_ = false;
  std::atomic<std::uint64_t> lost_count_{0};
  std::atomic<std::uint64_t> added_{0};
  std::atomic<std::uint64_t> made_{0};
  std::atomic<std::uint64_t> stored_{0};
};

}  // namespace jackdaw
