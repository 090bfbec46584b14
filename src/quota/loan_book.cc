#include "quota/loan_book.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::serving {
namespace {

// Time for which a loan may be returned, and the limit of loans kept.
constexpr Micros kLoanLifetime = 10s;
constexpr std::size_t kMaxLoans = 20'000;
// Limit of the returns of one loan.
constexpr std::size_t kMaxReturns = 16;

}  // namespace

const Loan* LoanBook::Find(const Key& key) const {
  const auto found = loans_.find(key);
  return found == loans_.end() ? nullptr : &found->second;
}

void LoanBook::Add(Key key, Loan loan) {
  if (loans_.emplace(key, std::move(loan)).second) {
    order_.push_back(std::move(key));
  }
}

Loan LoanBook::Return(const Key& key, std::uint64_t return_id, double units) {
  const auto found = loans_.find(key);
  if (found == loans_.end() || !std::isfinite(units) || units <= 0) {
    return {};
  }
  Loan& lent = found->second;
  if (std::ranges::find(lent.returns, return_id) != lent.returns.end() ||
      lent.returns.size() >= kMaxReturns) {
    return {};
  }
  lent.returns.push_back(return_id);
  Loan returned = lent;
  returned.units = std::min(units, lent.units);
  lent.units -= returned.units;
  return returned;
}

void LoanBook::Expire(Instant now) {
  while (!order_.empty()) {
    const auto oldest = loans_.find(order_.front());
    if (oldest != loans_.end() && order_.size() <= kMaxLoans &&
        now - oldest->second.lent_at < kLoanLifetime) {
      return;
    }
    if (oldest != loans_.end()) {
      loans_.erase(oldest);
    }
    order_.pop_front();
  }
}

}  // namespace jackdaw::serving
