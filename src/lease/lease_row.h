#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "orders/order.h"

namespace jackdaw {

/// The lease of one target as stored. It holds no deadline: another instance
/// takes it over only after the row stood unchanged for the whole term by its
/// own clock, so clocks of instances need not agree.
struct LeaseRow {
  /// Name and incarnation of the holder; empty when released.
  std::string holder;
  /// Fencing number; grows with each holder.
  std::uint64_t fence = 0;
  /// Grows with each write, so that a write whose answer was lost is known.
  std::uint64_t write_number = 0;
  /// Orders that were given, or may be, and are not settled yet.
  std::vector<Order> pending;
};

/// Key of the lease of a target.
std::string LeaseKey(std::string_view target);

std::string EncodeLease(const LeaseRow& row);
Result<LeaseRow> DecodeLease(std::string_view value);

}  // namespace jackdaw
