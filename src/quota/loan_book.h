#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// Units that were charged here for a request of another instance.
struct Loan {
  std::string workspace;
  /// Units that are still lent.
  double units = 0;
  Instant lent_at{};
  /// Ids of the returns of parts of it.
  std::vector<std::uint64_t> returns;
};

/// The loans that a holder of parts gave. Datagrams may be lost or arrive
/// twice: a repeated request gets the loan that it already has, and each loan
/// is returned once.
class LoanBook {
 public:
  /// Names a loan: the address of the borrower and the id that it chose.
  using Key = std::pair<std::string, std::uint64_t>;

  /// @returns the loan of an earlier request with this key, or null
  const Loan* Find(const Key& key) const;
  void Add(Key key, Loan loan);
  /// Takes back units of a loan.
  /// @param return_id id of the return; one that was seen before is ignored
  /// @returns the units that were still lent of those stated, with the time
  /// and the workspace of the loan; none if there is no such loan
  Loan Return(const Key& key, std::uint64_t return_id, double units);
  /// Forgets loans that can no longer be returned.
  void Expire(Instant now);
  std::size_t size() const { return loans_.size(); }

 private:
  std::map<Key, Loan> loans_;
  /// Keys in the order of the loans.
  std::deque<Key> order_;
};

}  // namespace jackdaw::serving
