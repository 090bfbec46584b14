#include "fleet/store_watch.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/log.h"
#include "fleet/table_read.h"

namespace jackdaw::serving {
namespace {

// Timeout of a read of one page of the store.
constexpr Micros kReadTimeout = 1500ms;
// The delay before the next call grows by the step with each failure in a row,
// up to the maximum.
constexpr Micros kBackoffStep = 60ms;
constexpr Micros kMaxBackoff = 500ms;
// Delay after changes, so that changes in quick succession take one call.
constexpr Micros kBatchDelay = 40ms;

}  // namespace

StoreWatch::StoreWatch(boost::asio::io_context& context,
                       platform::StoreClient& store,
                       const MonotonicClock& clock,
                       std::string table,
                       Sink sink)
    : wake_(context),
      store_(store),
      clock_(clock),
      table_(std::move(table)),
      sink_(std::move(sink)) {}

boost::asio::awaitable<void> StoreWatch::Pause(Micros span) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(span);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void StoreWatch::OnFailure(const Error& error) {
  ++failures_;
  if (!lost_) {
    lost_ = true;
    Log(LogLevel::kWarn, "store_lost",
        {{"table", table_}, {"error", error.Line()}});
  }
}

void StoreWatch::OnSuccess() {
  failures_ = 0;
  if (lost_) {
    lost_ = false;
    Log(LogLevel::kInfo, "store_back", {{"table", table_}});
    sink_.on_reconnected();
  }
}

bool StoreWatch::IsOfLaterEpoch(const platform::RowSet& set) const {
  return set.epoch > version_.epoch;
}

boost::asio::awaitable<bool> StoreWatch::ReadSnapshot() {
  const Result<platform::RowSet> read =
      co_await ReadTable(store_, table_, clock_, kReadTimeout);
  if (!read) {
    OnFailure(read.error());
    co_return false;
  }
  const platform::RowSet& all = read.value();
  OnSuccess();
  // The replica that answered may lag behind what was already seen.
  const TableVersion version{all.epoch, all.version};
  if (version < version_) {
    co_return false;
  }
  if (IsOfLaterEpoch(all)) {
    Log(LogLevel::kWarn, "table_epoch",
        {{"table", table_},
         {"epoch", std::to_string(all.epoch)},
         {"version", std::to_string(all.version)},
         {"version_before", std::to_string(version_.number)}});
  }
  version_ = version;
  sink_.on_snapshot(all);
  co_return true;
}

boost::asio::awaitable<bool> StoreWatch::ReadChanges() {
  const Result<platform::RowChanges> changes =
      co_await store_.Watch(table_, version_.number, kWatchWait,
                            clock_.Now() + kWatchWait + kWatchMargin);
  if (!changes) {
    OnFailure(changes.error());
    co_return false;
  }
  OnSuccess();
  if (changes.value().history_gone || IsOfLaterEpoch(changes.value().set)) {
    Log(LogLevel::kInfo, "store_history_gone", {{"table", table_}});
    has_snapshot_ = false;
    co_return true;
  }
  const platform::RowSet& set = changes.value().set;
  if (set.epoch < version_.epoch) {
    co_return false;
  }
  version_.number = std::max(version_.number, set.version);
  sink_.on_changes(set);
  if (!set.rows.empty()) {
    co_await Pause(kBatchDelay);
  }
  co_return true;
}

void StoreWatch::ResumeFrom(const TableVersion& version) {
  if (version_ < version) {
    version_ = version;
    has_snapshot_ = true;
  }
}

void StoreWatch::SetActive(bool active) {
  if (active_ == active) {
    return;
  }
  active_ = active;
  if (active_) {
    wake_.cancel();
  }
}

boost::asio::awaitable<void> StoreWatch::Run() {
  for (;;) {
    while (!active_) {
      // Failures before the watch was stopped do not count when it starts
      // again.
      lost_ = false;
      failures_ = 0;
      wake_.expires_at(boost::asio::steady_timer::time_point::max());
      co_await wake_.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    bool succeeded = false;
    if (!has_snapshot_) {
      has_snapshot_ = co_await ReadSnapshot();
      succeeded = has_snapshot_;
    } else {
      succeeded = co_await ReadChanges();
    }
    if (!succeeded) {
      co_await Pause(std::min(kMaxBackoff, kBackoffStep * (1 + failures_)));
    }
  }
}

}  // namespace jackdaw::serving
