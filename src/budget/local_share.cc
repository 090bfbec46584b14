#include "budget/local_share.h"

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Returns the portion of `whole` that a number of units stands for, rounded
// down.
std::int64_t Portion(std::int64_t whole, std::int64_t units) {
  return whole * units / kTotalUnits;
}

}  // namespace

void LocalShare::SetBudget(Instant now, std::int64_t rate, std::int64_t burst) {
  Advance(now);
  rate_ = rate;
  burst_ = burst;
  Resize(now);
}

void LocalShare::SetShare(Instant now,
                          const Share& share,
                          Instant lease_until) {
  CheckInvariant(
      share.floor >= 0 && share.flexible >= 0 && share.Total() <= kTotalUnits,
      "a share is between zero and the whole budget");
  Advance(now);
  share_ = share;
  lease_until_ = std::max(lease_until_, lease_until);
  Resize(now);
}

void LocalShare::SetConfirmedUntil(Instant now, Instant confirmed_until) {
  Advance(now);
  confirmed_until_ = std::max(confirmed_until_, confirmed_until);
  Resize(now);
}

std::int64_t LocalShare::UnitsAt(Instant at) const {
  if (at >= confirmed_until_) {
    return 0;
  }
  return at < lease_until_ ? share_.Total() : share_.floor;
}

std::int64_t LocalShare::ReservedTokens() const {
  std::int64_t tokens = 0;
  for (const auto& reservation : reservations_) {
    tokens += reservation.tokens;
  }
  return tokens;
}

void LocalShare::Resize(Instant at) {
  const std::int64_t units = UnitsAt(at);
  const std::int64_t room = Portion(burst_ * kScale, units);
  bucket_.Resize(at, Portion(rate_ * kScale, units),
                 std::max<std::int64_t>(0, room - ReservedTokens() * kScale));
}

// Advances the bucket to `now` through each deadline that has passed since, so
// that the units in use before a deadline accrue no tokens after it.
void LocalShare::Advance(Instant now) {
  for (const Instant deadline : {std::min(lease_until_, confirmed_until_),
                                 std::max(lease_until_, confirmed_until_)}) {
    if (deadline <= now) {
      Resize(deadline);
    }
  }
  bool freed = false;
  while (!reservations_.empty() && reservations_.front().until <= now) {
    reservations_.pop_front();
    freed = true;
  }
  if (freed) {
    Resize(now);
  }
}

bool LocalShare::TrySpend(Instant now,
                          std::int64_t tokens,
                          std::int64_t granted_tokens) {
  Advance(now);
  if (!bucket_.TrySpend(now, tokens * kScale)) {
    return false;
  }
  charged_ += tokens + granted_tokens;
  return true;
}

bool LocalShare::TrySpendForPeer(Instant now, std::int64_t tokens) {
  Advance(now);
  if (!bucket_.TrySpend(now, tokens * kScale)) {
    return false;
  }
  reservations_.push_back({now + kGrantReservationTime, tokens});
  Resize(now);
  return true;
}

void LocalShare::AddGranted(Instant now, std::int64_t tokens) {
  Advance(now);
  bucket_.Refund(now, tokens * kScale);
}

void LocalShare::Refund(Instant now, std::int64_t tokens) {
  Advance(now);
  const std::int64_t back = std::min(tokens, charged_);
  charged_ -= back;
  bucket_.Refund(now, back * kScale);
  demand_.Add(now, -back);
  steady_demand_.Add(now, -back);
}

void LocalShare::AddDemand(Instant now, std::int64_t tokens) {
  demand_.Add(now, tokens);
  steady_demand_.Add(now, tokens);
}

void LocalShare::ForgetCharges(Instant now) {
  Advance(now);
  charged_ = 0;
}

Instant LocalShare::ReadyAt(Instant now, std::int64_t tokens) {
  Advance(now);
  const std::int64_t missing =
      std::max<std::int64_t>(0, tokens - bucket_.Level(now) / kScale);
  if (missing == 0) {
    return now;
  }
  const std::int64_t rate = bucket_.rate();
  if (rate == 0) {
    return Instant::max();
  }
  return now + Micros((missing * kScale * 1'000'000 + rate - 1) / rate);
}

std::int64_t LocalShare::Level(Instant now) {
  Advance(now);
  return bucket_.Level(now) / kScale;
}

std::int64_t LocalShare::Capacity(Instant now) {
  Advance(now);
  return bucket_.burst() / kScale;
}

double LocalShare::Demand(Instant now) {
  return demand_.PerSecond(now);
}

double LocalShare::SteadyDemand(Instant now) {
  return steady_demand_.PerSecond(now);
}

std::int64_t LocalShare::Spare() const {
  if (burst_ == 0) {
    return share_.Total();
  }
  const std::int64_t taken =
      (ReservedTokens() * kTotalUnits + burst_ - 1) / burst_;
  return std::max<std::int64_t>(0, share_.Total() - taken);
}

}  // namespace jackdaw
