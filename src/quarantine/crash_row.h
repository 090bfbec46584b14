#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "quarantine/suspect.h"

namespace jackdaw {

/// Key prefix of the rows that hold suspects, followed by the digest.
inline constexpr std::string_view kCrashPrefix = "crash/";
/// Key prefix of the rows that reserve a target for one claimed suspect,
/// followed by the name of the target.
inline constexpr std::string_view kCrashSlotPrefix = "crash-slot/";

/// The claim on a suspect as stored in its row.
struct StoredClaim {
  /// Id of the request that holds the claim; empty for none.
  std::string holder;
  std::string target;
  /// When the claim lapses.
  Instant until{};
};

/// Row of a suspect in the table service.
struct CrashRow {
  Suspect suspect;
  StoredClaim claim;
};

std::string EncodeCrashRow(const CrashRow& row);
Result<CrashRow> DecodeCrashRow(std::string_view value);
/// Encodes a slot row, which holds the time at which its claim lapses.
std::string EncodeCrashSlot(Instant until);
Result<Instant> DecodeCrashSlot(std::string_view value);

}  // namespace jackdaw
