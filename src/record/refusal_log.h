#pragma once

#include <atomic>
#include <string>

#include "core/duty.h"
#include "instance/fleet_view.h"
#include "record/batch_writer.h"
#include "record/refusal_buffer.h"
#include "record/refusal_record.h"

namespace jackdaw {

/// Collects the refusal records of this instance and writes them to the
/// object store. One coroutine writes; all others wait for it.
class RefusalLog {
 public:
  /// @param duty thread of the recorder
  RefusalLog(Duty& duty,
             const MonotonicClock& clock,
             const Endpoint& platform,
             const FleetViewHolder& view,
             RecordOwner owner);

  /// Hands over a record from any thread.
  void Add(RefusalRecord record);

  /// Starts the periodic writes.
  void Start();

  /// Writes without pauses until all is stored, then marks the end of this
  /// incarnation; gives up after a while. On the recorder's thread.
  /// @returns whether each record is stored
  boost::asio::awaitable<Result<bool>> Flush();

  std::uint64_t added() const { return added_.load(); }
  /// Number of the newest record made here, and of the newest that, with all
  /// before it, is stored.
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
