#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "core/clock.h"
#include "platform/store_client.h"

namespace jackdaw::serving {

/// Time for which the store holds a call that waits for changes, and the
/// margin for its answer. A call made during an outage may stay without an
/// answer after it, so together they bound how long news may be missed.
inline constexpr Micros kWatchWait = 1500ms;
inline constexpr Micros kWatchMargin = 700ms;

/// Follows one table of the store: reads it whole, then its changes. Where
/// the history is gone, it is read whole again.
class StoreWatch {
 public:
  /// Receives the rows. Called on the event loop.
  struct Sink {
    /// All rows of the table, as of one moment.
    std::function<void(const platform::RowSet&)> on_snapshot;
    /// Rows that were written or dropped since; none where only the version
    /// has moved on.
    std::function<void(const platform::RowSet&)> on_changes;
    /// The store answers again after it did not.
    std::function<void()> on_reconnected;
  };

  StoreWatch(boost::asio::io_context& context,
             platform::StoreClient& store,
             const MonotonicClock& clock,
             std::string table,
             Sink sink);

  /// Whether the table is followed, which it is not at first; while it is not,
  /// no call is made.
  void SetActive(bool active);
  /// What changed up to a version is known from elsewhere.
  void ResumeFrom(std::int64_t version);
  /// The store did not answer the last call.
  bool lost() const { return lost_; }

  /// Runs for ever; spawned once.
  boost::asio::awaitable<void> Run();

 private:
  boost::asio::awaitable<bool> ReadSnapshot();
  boost::asio::awaitable<bool> ReadChanges();
  boost::asio::awaitable<void> Pause(Micros span);
  void OnFailure(const Error& error);
  void OnSuccess();

  boost::asio::steady_timer wake_;
  platform::StoreClient& store_;
  const MonotonicClock& clock_;
  std::string table_;
  Sink sink_;
  bool active_ = false;
  bool has_snapshot_ = false;
  bool lost_ = false;
  std::int64_t version_ = 0;
  int failures_ = 0;
};

}  // namespace jackdaw::serving
