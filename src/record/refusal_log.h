#pragma once

#include <atomic>
#include <string>

#include "core/duty.h"
#include "platform/client.h"
#include "record/refusal_record.h"

namespace jackdaw {

/// Collects refusal records and writes them to the object store in batches.
/// A record that finds the ring full is counted, and the count is written as
/// a gap with the next batch.
class RefusalLog {
 public:
  /// @param duty thread of the recorder @param prefix object name prefix that
  /// no other incarnation uses
  RefusalLog(Duty& duty,
             const MonotonicClock& clock,
             const Endpoint& platform,
             std::string prefix);

  /// Hands over a record from any thread.
  void Add(RefusalRecord record);

  /// Starts the periodic writes.
  void Start();

  /// Writes what is left. @returns whether all is stored
  boost::asio::awaitable<Result<bool>> Flush();

  std::uint64_t added() const { return added_.load(); }

 private:
  boost::asio::awaitable<void> Run();

  Duty& duty_;
  const MonotonicClock& clock_;
  PlatformClient platform_;
  std::string prefix_;
  std::string pending_;
  std::uint64_t pending_records_ = 0;
  std::string writing_;
  std::uint64_t sequence_ = 0;
  std::atomic<std::uint64_t> lost_{0};
  std::atomic<std::uint64_t> added_{0};
};

}  // namespace jackdaw
