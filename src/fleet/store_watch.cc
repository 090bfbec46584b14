#include "fleet/store_watch.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/log.h"
#include "fleet/table_read.h"
#include "fleet/watch_delay.h"

namespace jackdaw::serving {
namespace {

// Timeout of a read of one page of the store.
constexpr Micros kReadTimeout = 1500ms;

}  // namespace

StoreWatch::StoreWatch(boost::asio::io_context& context,
                       platform::StoreClient& store,
                       const MonotonicClock& clock,
                       std::string table,
                       Sink sink,
                       std::uint64_t seed)
    : wake_(context),
      store_(store),
      clock_(clock),
      table_(std::move(table)),
      sink_(std::move(sink)),
      random_(seed) {}

// Ends early if the watch is started or the instance begins to lead.
boost::asio::awaitable<void> StoreWatch::Pause(Micros span) {
  wake_.expires_after(span);
  co_await wake_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void StoreWatch::OnFailure(const Error& error) {
  ++failures_;
  if (error.kind != ErrorKind::kOverloaded) {
    refused_at_ = sent_at_;
  }
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
    Log(LogLevel::kInfo, "store_back",
        {{"table", table_},
         {"refused_ms_ago",
          refused_at_ ? std::to_string((clock_.Now() - *refused_at_) / 1ms)
                      : "never"}});
    if (refused_at_) {
      sink_.on_reconnected(*refused_at_);
    }
  }
  refused_at_.reset();
}

bool StoreWatch::IsOfLaterEpoch(const platform::RowSet& set) const {
  return set.epoch > version_.epoch;
}

boost::asio::awaitable<bool> StoreWatch::ReadSnapshot() {
  sent_at_ = clock_.Now();
  const Result<platform::RowSet> read = co_await ReadTable(
      store_, table_, clock_, kReadTimeout, &calls_.snapshot);
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
  ++(leads_ ? calls_.as_leader : calls_.as_follower);
  sent_at_ = clock_.Now();
  const Micros wait = lost_ ? Micros(0) : kWatchWait;
  const Result<platform::RowChanges> changes = co_await store_.Watch(
      table_, version_.number, wait, sent_at_ + wait + kWatchMargin);
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
    co_await Pause(DelayAfterChanges(leads_, random_.Unit()));
  }
  co_return true;
}

void StoreWatch::ResumeFrom(const TableVersion& version) {
  if (version_ < version) {
    version_ = version;
    has_snapshot_ = true;
  }
}

void StoreWatch::RequestSnapshot() {
  snapshot_requested_ = true;
}

void StoreWatch::SetLeads(bool leads) {
  if (leads && !leads_) {
    wake_.cancel();
  }
  leads_ = leads;
}

void StoreWatch::SetActive(bool active, Micros first_call_spread) {
  first_call_spread_ = first_call_spread;
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
      refused_at_.reset();
      failures_ = 0;
      first_call_due_ = true;
      wake_.expires_at(boost::asio::steady_timer::time_point::max());
      co_await wake_.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    if (first_call_due_) {
      // A watch that is stopped during the delay makes no call.
      first_call_due_ = false;
      co_await Pause(
          DelayOfFirstCall(leads_, first_call_spread_, random_.Unit()));
      continue;
    }
    bool succeeded = false;
    if (!has_snapshot_ || snapshot_requested_) {
      succeeded = co_await ReadSnapshot();
      if (succeeded) {
        has_snapshot_ = true;
        snapshot_requested_ = false;
      }
    } else {
      succeeded = co_await ReadChanges();
    }
    if (!succeeded) {
      co_await Pause(DelayAfterFailure(failures_, random_.Unit(),
                                       clock_.Now() - sent_at_));
    }
  }
}

}  // namespace jackdaw::serving
