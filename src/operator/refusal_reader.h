#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "http/message.h"
#include "instance/fleet_view.h"
#include "platform/table_store.h"
#include "record/refusal_query.h"

namespace jackdaw {

/// Serves `GET /v1/refusals` from the object store, one size-limited page per
/// request. Query parameters: workspace, kind, instance, from_ms, to_ms, after.
class RefusalReader {
 public:
  RefusalReader(boost::asio::io_context& context,
                const MonotonicClock& clock,
                const Endpoint& platform,
                const FleetViewHolder& view);

  /// @returns an object with `refusals`, the `ranges` of record numbers read,
  /// `gaps` and, if there are more results, `next`: the value of `after` for
  /// the next page
  boost::asio::awaitable<Result<boost::json::object>> Read(
      const HttpRequest& request);

 private:
  boost::asio::awaitable<Result<std::string>> ReadMinute(RefusalPage& page,
                                                         std::int64_t minute,
                                                         std::string after,
                                                         Instant deadline);
  boost::asio::awaitable<Result<boost::json::array>> FindTailGaps(
      const RefusalPage& page,
      Instant deadline);

  const MonotonicClock& clock_;
  serving::platform::TableStore platform_;
  const FleetViewHolder& view_;
};

}  // namespace jackdaw
