#include "record/refusal_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time between two batches.
constexpr auto kBatchTime = std::chrono::milliseconds(250);
// Time for one batch to be stored.
constexpr Micros kStoreTime = 2s;
// Records held while the object store cannot be reached.
constexpr std::uint64_t kMaxPendingRecords = 200'000;

std::string GapLine(Instant now, std::uint64_t lost) {
  return boost::json::serialize(
             boost::json::object{{"when_ms", ToMillis(now)}, {"gap", lost}}) +
         "\n";
}

}  // namespace

RefusalLog::RefusalLog(Duty& duty,
                       const MonotonicClock& clock,
                       const Endpoint& platform,
                       std::string prefix)
    : duty_(duty),
      clock_(clock),
      platform_(duty.context(), clock, platform),
      prefix_(std::move(prefix)) {}

void RefusalLog::Add(RefusalRecord record) {
  ++added_;
  auto shared = std::make_shared<RefusalRecord>(std::move(record));
  const bool posted = duty_.TryPost([this, shared] {
    if (pending_records_ >= kMaxPendingRecords) {
      ++lost_;
      return;
    }
    pending_ += EncodeRecordLine(*shared);
    ++pending_records_;
  });
  if (!posted) {
    ++lost_;
  }
}

void RefusalLog::Start() {
  asio::co_spawn(duty_.context(), Run(), asio::detached);
}

asio::awaitable<Result<bool>> RefusalLog::Flush() {
  if (const std::uint64_t lost = lost_.exchange(0); lost > 0) {
    pending_ += GapLine(clock_.Now(), lost);
  }
  // The same bytes go to the same name until the store has confirmed them, so
  // that a lost answer never doubles a batch.
  if (writing_.empty()) {
    writing_.swap(pending_);
    pending_records_ = 0;
  }
  if (writing_.empty()) {
    co_return true;
  }
  const std::string number = std::to_string(1'000'000'000 + sequence_);
  Result<void> stored = co_await platform_.PutObject(
      prefix_ + "/" + number, writing_, clock_.Now() + kStoreTime);
  if (stored) {
    ++sequence_;
    writing_.clear();
  }
  co_return stored.has_value() && pending_.empty();
}

asio::awaitable<void> RefusalLog::Run() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    timer.expires_after(kBatchTime);
    co_await timer.async_wait(asio::use_awaitable);
    static_cast<void>(co_await Flush());
  }
}

}  // namespace jackdaw
