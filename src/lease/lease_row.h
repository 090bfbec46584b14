#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "orders/order.h"

namespace jackdaw {

/// Lease of one target as stored. It contains no deadline: another instance
/// takes the lease over only after the row has been unchanged for the whole
/// lease term by its own clock, so the clocks of instances need not agree.
struct LeaseRow {
  /// Name and incarnation of the holder; empty if the lease is released.
  std::string holder;
  /// Fencing number; increases with each takeover.
  std::uint64_t fence = 0;
  /// Increases with each write, so that a write whose response was lost can be
  /// recognized.
  std::uint64_t write_number = 0;
  /// Orders that were sent, or may have been, and whose outcome is open.
  std::vector<Order> pending;
};

/// Returns the row key of the lease of a target.
std::string LeaseKey(std::string_view target);

std::string EncodeLease(const LeaseRow& row);
/// @returns the row, or the error of the first part that is malformed
Result<LeaseRow> DecodeLease(std::string_view value);

}  // namespace jackdaw
