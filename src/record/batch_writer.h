#pragma once

#include <boost/asio/awaitable.hpp>

#include "platform/table_store.h"
#include "record/line_queue.h"

namespace jackdaw {

/// Stores batches of refusal records. Two writers may hold the same records:
/// whichever creates the object first stands, and the other goes on after it.
class BatchWriter {
 public:
  BatchWriter(boost::asio::io_context& context,
              const MonotonicClock& clock,
              const Endpoint& platform);

  /// @returns number of the last record that the object of this batch holds;
  /// an error leaves open whether it was stored, and the same call is safe to
  /// repeat
  boost::asio::awaitable<Result<std::uint64_t>> Store(LineBatch batch);

  /// Marks the planned end of an incarnation, with all records stored.
  /// @param last number of its last record
  boost::asio::awaitable<Result<bool>> StoreEndMarker(RecordOwner owner,
                                                      std::uint64_t last);

 private:
  const MonotonicClock& clock_;
  serving::platform::TableStore platform_;
};

/// Name of the object that marks the end of an incarnation.
std::string EndMarkerName(const RecordOwner& owner);

}  // namespace jackdaw
