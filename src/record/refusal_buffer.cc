#include "record/refusal_buffer.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/random.h"
#include "core/signature.h"

namespace jackdaw {
namespace {

// Objects that the whole fleet may write in one second.
constexpr std::int64_t kFleetPutsPerSecond = 75;
constexpr Micros kShortestInterval = 250ms;
constexpr Micros kLongestInterval = 5s;
// Bytes of one object, and of one copy.
constexpr std::size_t kBatchBytes = 256 * 1024;
constexpr std::size_t kCopyBytes = 32 * 1024;
// Time after which records that no peer confirmed are sent again.
constexpr Micros kResendTime = 1s;
// Time between two messages while nothing is new but records are not stored.
constexpr Micros kAliveTime = 5s;

}  // namespace

Micros PutInterval(std::size_t instances) {
  const Micros shared =
      Micros(1s) * static_cast<std::int64_t>(instances) / kFleetPutsPerSecond;
  return std::clamp<Micros>(shared, kShortestInterval, kLongestInterval);
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
  RecordLoss();
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

// A loss becomes a record once there is room for it.
void RefusalBuffer::RecordLoss() {
  if (lost_.count > 0 && queue_.bytes() < max_bytes_) {
    Append(lost_.when,
           EncodeGapLine(next_number_, queue_.owner().instance, lost_));
    lost_ = {};
  }
}

std::optional<LineBatch> RefusalBuffer::NextBatch(Instant now,
                                                  std::size_t instances) {
  RecordLoss();
  const Micros interval = PutInterval(instances);
  if (next_put_ == Instant{}) {
    next_put_ = now + Micros(static_cast<std::int64_t>(phase_)) % interval;
  }
  if (queue_.empty() || now < next_put_) {
    return std::nullopt;
  }
  while (next_put_ <= now) {
    next_put_ += interval;
  }
  return queue_.First(kBatchBytes);
}

std::optional<LineBatch> RefusalBuffer::AnyBatch() {
  RecordLoss();
  return queue_.First(kBatchBytes);
}

void RefusalBuffer::OnStored(std::uint64_t through) {
  CheckInvariant(through <= queue_.last(),
                 "only records that were made can be stored");
  stored_through_ = std::max(stored_through_, through);
  queue_.DropThrough(through);
}

std::optional<CopyPiece> RefusalBuffer::NextCopy(Instant now,
                                                 std::string_view peer) {
  if (peer != peer_) {
    peer_ = std::string(peer);
    held_through_ = sent_through_ = stored_through_;
    resend_at_ = now;
  }
  held_through_ = std::max(held_through_, stored_through_);
  if (peer_.empty() || queue_.empty()) {
    return std::nullopt;
  }
  const bool resend = now >= resend_at_;
  if (resend) {
    sent_through_ = held_through_;
  }
  LineBatch piece =
      queue_.After(std::max(sent_through_, stored_through_), kCopyBytes);
  if (piece.first == 0 && !resend) {
    return std::nullopt;
  }
  sent_through_ = std::max(sent_through_, piece.last);
  const Instant next = now + (piece.first == 0 ? kAliveTime : kResendTime);
  resend_at_ = resend ? next : std::min(resend_at_, next);
  return CopyPiece{piece.first, std::move(piece.bytes), stored_through_};
}

void RefusalBuffer::OnHeld(std::string_view peer,
                           std::uint64_t held_through,
                           std::uint64_t stored_through) {
  if (stored_through <= queue_.last()) {
    OnStored(stored_through);
  }
  if (peer != peer_ || held_through > queue_.last()) {
    return;
  }
  // A peer that holds less than it did was restarted: send again.
  if (held_through < held_through_) {
    sent_through_ = held_through;
  }
  held_through_ = std::max(held_through, stored_through_);
}

}  // namespace jackdaw
