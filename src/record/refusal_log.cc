#include "record/refusal_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/log.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Interval at which the writer checks whether a batch is due.
constexpr auto kWriteCheckInterval = std::chrono::milliseconds(50);
// Interval at which Flush checks whether all records are stored.
constexpr auto kFlushCheckInterval = std::chrono::milliseconds(10);
// Maximum time that one Flush waits for the records to be stored.
constexpr Micros kFlushTimeout = 2s;
// Maximum size of the records buffered while the object store is unreachable.
constexpr std::size_t kMaxBufferBytes = 8UL * 1024 * 1024;

}  // namespace

RefusalLog::RefusalLog(Duty& duty,
                       const MonotonicClock& clock,
                       const Endpoint& platform,
                       const FleetViewHolder& view,
                       RecordOwner owner)
    : duty_(duty),
      clock_(clock),
      view_(view),
      owner_(owner),
      writer_(duty.context(), clock, platform),
      buffer_(std::move(owner), kMaxBufferBytes, clock.Now()) {}

void RefusalLog::Add(RefusalRecord record) {
  ++added_;
  Log(LogLevel::kInfo, "refused",
      {{"request", record.request_id},
       {"workspace", record.workspace},
       {"kind", std::string(TraitsOf(record.kind).name)},
       {"ran", std::string(Name(record.ran))},
       {"reason", record.reason}});
  auto shared = std::make_shared<RefusalRecord>(std::move(record));
  const bool posted =
      duty_.TryPost([this, shared] { buffer_.Add(clock_.Now(), *shared); });
  if (!posted) {
    ++lost_count_;
  }
}

void RefusalLog::Start() {
  asio::co_spawn(duty_.context(), RunWriter(), asio::detached);
}

asio::awaitable<Result<bool>> RefusalLog::Flush() {
  asio::steady_timer timer(duty_.context());
  const Instant until = clock_.Now() + kFlushTimeout;
  flushing_ = true;
  while (!buffer_.all_stored() && clock_.Now() < until) {
    timer.expires_after(kFlushCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  flushing_ = false;
  if (buffer_.all_stored()) {
    static_cast<void>(co_await writer_.StoreEndMarker(owner_, buffer_.last()));
  }
  co_return buffer_.all_stored();
}

asio::awaitable<void> RefusalLog::RunWriter() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    buffer_.AddLost(clock_.Now(), lost_count_.exchange(0));
    UpdateCounters();
    co_await WriteBatches();
    UpdateCounters();
    timer.expires_after(kWriteCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void RefusalLog::UpdateCounters() {
  made_ = buffer_.last();
  stored_ = buffer_.stored_through();
}

// Stores the batches that are due, or all batches during a flush.
asio::awaitable<void> RefusalLog::WriteBatches() {
  for (;;) {
    const std::size_t instances = view_.Get()->instances.size();
    std::optional<LineBatch> batch =
        flushing_ ? buffer_.OldestBatch()
                  : buffer_.NextBatch(clock_.Now(), instances);
    if (!batch) {
      co_return;
    }
    Result<std::uint64_t> last = co_await writer_.Store(std::move(*batch));
    if (!last) {
      co_return;
    }
    buffer_.OnStored(std::min(last.value(), buffer_.last()));
  }
}

}  // namespace jackdaw
