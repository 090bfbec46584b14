#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/error.h"

namespace jackdaw {

/// Units that every budget is cut into; a share is a number of them.
inline constexpr std::int64_t kTotalUnits = 65'536;

/// Part of one workspace's budget held by one instance, in units.
struct Share {
  /// Survives outages of the store; freed only when its holder is gone.
  std::int64_t floor = 0;
  /// Under the lease of the row.
  std::int64_t flexible = 0;

  std::int64_t Total() const { return floor + flexible; }
  bool operator==(const Share&) const = default;
};

using Shares = std::map<std::string, Share, std::less<>>;

/// Row of the table service with the shares of one instance. Rewriting it
/// renews the lease of the flexible parts.
struct ShareRow {
  std::uint64_t incarnation = 0;
  /// Number of the write, so that a lost answer can be resolved.
  std::uint64_t sequence = 0;
  Shares shares;
};

std::string EncodeShareRow(const ShareRow& row);
/// @returns the row, or kMalformed
Result<ShareRow> DecodeShareRow(std::string_view value);

/// Row key of an instance's shares.
std::string ShareKey(std::string_view instance);
/// Prefix of the transfers to an instance that it has not taken yet.
std::string TransferPrefix(std::string_view instance);
/// Row key that says that a workspace's units were made.
std::string MintKey(std::string_view workspace);

}  // namespace jackdaw
