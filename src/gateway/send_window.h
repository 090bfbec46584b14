#pragma once

#include <span>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// How much an instance knows of the requests that the others send.
enum class SendKnowledge : std::uint8_t {
  /// It has no leader and no store, or has just gone on after a pause.
  kUnsure,
  /// It counts by the notices of the others, which arrive late.
  kNotices,
  /// It leads: it also decides which requests the others may send.
  kLeader,
};

/// Counts the requests that all instances have sent to one target within the
/// last second, so that a target that becomes cold without notice gets no more
/// than its bound.
///
/// By notices alone an instance uses half of the bound. The other half is a
/// margin for the requests whose notices are still on their way when several
/// instances choose the target at once; only the leader, which instances ask
/// one after the other, gives it away. A twelfth is left to instances that are
/// out of contact; an instance in contact decides on as many by notices alone,
/// as it may be cut off and not know it yet.
class SendWindow {
 public:
  /// Time from the decision to send a request until it must have left.
  static constexpr Micros kSendTime = 80ms;
  /// Requests decided on within this time may reach the target within a second.
  static constexpr Micros kSpan = 1s + kSendTime;

  /// @param bound requests that the target may get in a second; 0: any number,
  /// none is counted
  void SetBound(int bound);
  bool bounded() const { return bound_ > 0; }
  /// Counts a request of this or another instance.
  /// @param own_decision this instance decided on it by notices alone
  void OnSent(Instant now, bool own_decision = false);
  /// Returns the requests within the last second.
  int Count(Instant now) const;
  /// Whether the target may get one more request now.
  bool HasRoom(SendKnowledge knowledge, Instant now) const;
  /// Returns the time from which on it may, if nobody sends one until then.
  Instant NextRoom(SendKnowledge knowledge, Instant now) const;

  /// Returns the most requests within kSpan.
  static int Limit(int bound, SendKnowledge knowledge);

 private:
  struct Sent {
    Instant at;
    bool own_decision = false;
  };

  std::span<const Sent> Recent(Instant now) const;

  int bound_ = 0;
  /// The counted requests, oldest first.
  std::vector<Sent> sent_;
};

}  // namespace jackdaw::serving
