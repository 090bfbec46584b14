#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/error.h"

namespace jackdaw {

/// Number of units that each budget is divided into; a share is a number of
/// units.
inline constexpr std::int64_t kTotalUnits = 65'536;

/// Share of one workspace's budget held by one instance, in units.
struct Share {
  /// Remains usable during outages of the store; reclaimed only once its holder
  /// is gone.
  std::int64_t floor = 0;
  /// Usable only while the lease of the row is held.
  std::int64_t flexible = 0;

  std::int64_t Total() const { return floor + flexible; }
  bool operator==(const Share&) const = default;
};

using Shares = std::map<std::string, Share, std::less<>>;

/// Row of the table service with the shares of one instance. Each write by its
/// holder renews the lease of the flexible parts. Rows of transfers have the
/// same form and use only `shares`.
struct ShareRow {
  std::uint64_t incarnation = 0;
  /// Number of the write; shows whether a write whose response was lost took
  /// effect.
  std::uint64_t sequence = 0;
  Shares shares;
};

std::string EncodeShareRow(const ShareRow& row);
/// @returns the row, or kMalformed if `value` is not a share row
Result<ShareRow> DecodeShareRow(std::string_view value);

/// Returns the key of the row with an instance's shares.
std::string ShareKey(std::string_view instance);
/// Returns the key prefix of the transfers that an instance has not received
/// yet.
std::string TransferPrefix(std::string_view instance);
/// Returns the key of the row whose presence shows that the units of a
/// workspace have been created.
std::string MintKey(std::string_view workspace);

}  // namespace jackdaw
