#pragma once

#include <boost/asio/awaitable.hpp>

#include "platform/table_store.h"
#include "record/line_queue.h"

namespace jackdaw {

/// Stores batches of refusal records in the object store. Two writers may hold
/// the same records: the first one to create the object wins, and the other
/// continues after the last record of that object.
class BatchWriter {
 public:
  BatchWriter(boost::asio::io_context& context,
              const MonotonicClock& clock,
              const Endpoint& platform);

  /// Creates the object of a batch, or reads it if it already exists.
  /// @returns the number of the last record in the object. After an error, the
  /// object may or may not have been stored; the call can be repeated safely.
  boost::asio::awaitable<Result<std::uint64_t>> Store(LineBatch batch);

  /// Stores the marker that this incarnation shut down with all records stored.
  /// @returns whether the marker was created; false if it already exists
  /// @param last number of the last record of the incarnation
  boost::asio::awaitable<Result<bool>> StoreEndMarker(RecordOwner owner,
                                                      std::uint64_t last);

 private:
  const MonotonicClock& clock_;
  serving::platform::TableStore platform_;
};

/// Returns the name of the object that marks the planned end of an incarnation.
std::string EndMarkerName(const RecordOwner& owner);

}  // namespace jackdaw
