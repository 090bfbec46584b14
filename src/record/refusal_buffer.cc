#include "record/refusal_buffer.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/random.h"
#include "core/signature.h"

namespace jackdaw {
namespace {

// Maximum number of objects that all instances together write per second.
constexpr std::int64_t kFleetWritesPerSecond = 75;
constexpr Micros kMinInterval = 250ms;
constexpr Micros kMaxInterval = 5s;
constexpr std::size_t kMaxBatchBytes = 256UL * 1024;

}  // namespace

Micros WriteInterval(std::size_t instances) {
  const Micros shared =
      Micros(1s) * static_cast<std::int64_t>(instances) / kFleetWritesPerSecond;
  return std::clamp<Micros>(shared, kMinInterval, kMaxInterval);
}

RefusalBuffer::RefusalBuffer(RecordOwner owner,
                             std::size_t max_bytes,
                             Instant now)
    : queue_(std::move(owner)), max_bytes_(max_bytes) {
  Signature phase;
  phase.Add(queue_.owner().instance);
  phase.Add(queue_.owner().incarnation);
  phase_ = Random(phase.Short()).Next() >> 1;
  Append(now, EncodeStartLine(next_number_, queue_.owner().instance, now));
}

void RefusalBuffer::Append(Instant when, std::string text) {
  queue_.Append({next_number_++, MinuteOf(when), std::move(text)});
}

void RefusalBuffer::Add(Instant now, const RefusalRecord& record) {
  AppendPendingGap();
  if (queue_.bytes() >= max_bytes_) {
    AddLost(now, 1);
    return;
  }
  Append(record.when, EncodeRecordLine(next_number_, record));
}

void RefusalBuffer::AddLost(Instant now, std::uint64_t count) {
  if (count > 0) {
    lost_.since = lost_.count == 0 ? now : lost_.since;
    lost_.when = now;
    lost_.count += count;
  }
}

// Appends a gap record for lost records once there is space in the buffer.
void RefusalBuffer::AppendPendingGap() {
  if (lost_.count > 0 && queue_.bytes() < max_bytes_) {
    Append(lost_.when,
           EncodeGapLine(next_number_, queue_.owner().instance, lost_));
    lost_ = {};
  }
}

std::optional<LineBatch> RefusalBuffer::NextBatch(Instant now,
                                                  std::size_t instances) {
  AppendPendingGap();
  const Micros interval = WriteInterval(instances);
  if (next_write_ == Instant{}) {
    next_write_ = now + Micros(static_cast<std::int64_t>(phase_)) % interval;
  }
  if (queue_.empty() || now < next_write_) {
    return std::nullopt;
  }
  while (next_write_ <= now) {
    next_write_ += interval;
  }
  return queue_.First(kMaxBatchBytes);
}

std::optional<LineBatch> RefusalBuffer::OldestBatch() {
  AppendPendingGap();
  return queue_.First(kMaxBatchBytes);
}

void RefusalBuffer::OnStored(std::uint64_t through) {
  CheckInvariant(through <= queue_.last(),
                 "a stored record number was assigned before");
  stored_through_ = std::max(stored_through_, through);
  queue_.DropThrough(through);
}

}  // namespace jackdaw
