#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

#include "budget/share_row.h"
#include "budget/smoothed_rate.h"
#include "budget/timing.h"
#include "budget/token_bucket.h"
#include "core/time.h"

namespace jackdaw {

/// What an instance holds of one workspace's budget: a bucket of the size of
/// its share, cut down to the floor part once the lease is over, and to
/// nothing once the rate itself is no longer known to be in force.
class LocalShare {
 public:
  /// Rate and burst of the whole budget.
  void SetBudget(Instant now, std::int64_t rate, std::int64_t burst);
  /// Units held and the deadline of their flexible part. New units bring no
  /// tokens.
  void SetShare(Instant now, const Share& share, Instant lease_until);
  /// Deadline until which rate and burst are known to be in force.
  void SetConfirmedUntil(Instant now, Instant confirmed_until);

  /// Takes tokens. @param handed tokens that a peer gave for the same charge
  bool TrySpend(Instant now,
                std::int64_t tokens,
                std::int64_t granted_tokens = 0);
  /// Takes tokens for a peer; room for them is held back until they have
  /// been used or lost there.
  bool TrySpendForPeer(Instant now, std::int64_t tokens);
  /// Puts tokens that a peer gave, and that are not used at once, in the
  /// bucket as far as it has room.
  void AddGranted(Instant now, std::int64_t tokens);
  /// Gives back what was charged here and not used, at most what is charged.
  void Refund(Instant now, std::int64_t tokens);
  /// Counts tokens wanted, granted or not, as demand.
  void AddDemand(Instant now, std::int64_t tokens);
  /// Forgets charges, so that no refund reaches a share formed anew.
  void ForgetCharges(Instant now);

  /// Earliest moment at which `tokens` could have accrued here.
  Instant ReadyAt(Instant now, std::int64_t tokens);
  std::int64_t Level(Instant now);
  /// Most tokens that the bucket may hold now.
  std::int64_t Capacity(Instant now);
  /// Wanted tokens a second, smoothed.
  double Demand(Instant now);
  /// Whether demand has begun too lately for its size to be known.
  bool DemandIsNew(Instant now) const { return demand_.IsNew(now); }
  /// The same over a longer time.
  double SteadyDemand(Instant now);
  /// Units that may be given away without cutting into tokens on their way.
  std::int64_t Spare() const;

  const Share& share() const { return share_; }
  std::int64_t rate() const { return rate_; }
  std::int64_t burst() const { return burst_; }

 private:
  // Bucket amounts are in thousandths, so that small shares lose nothing to
  // rounding.
  static constexpr std::int64_t kScale = 1000;

  struct Reservation {
    Instant until;
    std::int64_t tokens;
  };

  void Advance(Instant now);
  void Resize(Instant at);
  std::int64_t UnitsAt(Instant at) const;
  std::int64_t ReservedTokens() const;

  std::int64_t rate_ = 0;
  std::int64_t burst_ = 0;
  Share share_;
  Instant lease_until_{};
  Instant confirmed_until_{};
  TokenBucket bucket_;
  std::deque<Reservation> reservations_;
  std::int64_t charged_ = 0;
  SmoothedRate demand_{kDemandTimeConstant};
  SmoothedRate steady_demand_{kSteadyDemandTimeConstant};
};

}  // namespace jackdaw
