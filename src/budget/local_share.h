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

/// Part of one workspace's budget held by an instance: a token bucket sized to
/// its share. It shrinks to the floor part when the lease expires, and to zero
/// once the configured rate is no longer confirmed to be in force.
class LocalShare {
 public:
  /// Sets rate (tokens per second) and burst (tokens) of the whole budget.
  void SetBudget(Instant now, std::int64_t rate, std::int64_t burst);
  /// Sets the units held and the deadline of their flexible part. Additional
  /// units raise rate and capacity but add no tokens.
  void SetShare(Instant now, const Share& share, Instant lease_until);
  /// Sets the deadline until which rate and burst are known to be in force.
  void SetConfirmedUntil(Instant now, Instant confirmed_until);

  /// Takes tokens; takes none if there are too few.
  /// @param granted_tokens tokens granted by a peer for the same charge
  bool TrySpend(Instant now,
                std::int64_t tokens,
                std::int64_t granted_tokens = 0);
  /// Takes tokens for a peer. Their capacity stays reserved for
  /// kGrantReservationTime, until the peer has used or lost them.
  bool TrySpendForPeer(Instant now, std::int64_t tokens);
  /// Adds tokens that a peer granted and no request has used, up to the
  /// capacity of the bucket.
  void AddGranted(Instant now, std::int64_t tokens);
  /// Credits tokens that were charged here and not used, at most the total
  /// charged, and removes them from the demand.
  void Refund(Instant now, std::int64_t tokens);
  /// Counts requested tokens, granted or not, as demand.
  void AddDemand(Instant now, std::int64_t tokens);
  /// Resets the total charged after peers have reclaimed the row of this
  /// instance, so that no refund of an earlier charge adds tokens to a new
  /// share.
  void ForgetCharges(Instant now);

  /// Returns the earliest time at which `tokens` can have accrued here,
  /// even if the bucket cannot hold as many; Instant::max() without a rate.
  Instant ReadyAt(Instant now, std::int64_t tokens);
  /// Returns the whole tokens in the bucket.
  std::int64_t Level(Instant now);
  /// Returns the maximum number of tokens that the bucket can hold now.
  std::int64_t Capacity(Instant now);
  /// Returns requested tokens per second, smoothed over kDemandTimeConstant.
  double Demand(Instant now);
  /// Returns whether demand started too recently for its rate to be known.
  bool DemandIsNew(Instant now) const { return demand_.IsNew(now); }
  /// Returns requested tokens per second, smoothed over
  /// kSteadyDemandTimeConstant.
  double SteadyDemand(Instant now);
  /// Returns the units that can be transferred without using capacity that is
  /// reserved for tokens granted to peers.
  std::int64_t Spare() const;

  const Share& share() const { return share_; }
  std::int64_t rate() const { return rate_; }
  std::int64_t burst() const { return burst_; }

 private:
  // Units of the bucket per token: it is fed in thousandths of a token, so that
  // small shares lose nothing to rounding.
  static constexpr std::int64_t kScale = 1000;

  // Capacity reserved for tokens granted to a peer.
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
  // Tokens charged and not refunded.
  std::int64_t charged_ = 0;
  SmoothedRate demand_{kDemandTimeConstant};
  SmoothedRate steady_demand_{kSteadyDemandTimeConstant};
};

}  // namespace jackdaw
