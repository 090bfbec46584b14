#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "quarantine/suspect.h"

namespace jackdaw {

/// Prefix of the rows that hold suspects, followed by the digest.
inline constexpr std::string_view kCrashPrefix = "crash/";
/// Prefix of the rows that hold the one suspect that may run at a target.
inline constexpr std::string_view kCrashSlotPrefix = "crash-slot/";

/// A claimed run of a suspect.
struct StoredClaim {
  /// Request that holds the claim, empty for none.
  std::string holder;
  std::string target;
  Instant until{};
};

/// Row of a suspect in the table service.
struct CrashRow {
  Suspect suspect;
  StoredClaim claim;
};

std::string EncodeCrashRow(const CrashRow& row);
Result<CrashRow> DecodeCrashRow(std::string_view value);
/// A slot row holds the end of the claim that it belongs to.
std::string EncodeCrashSlot(Instant until);
Result<Instant> DecodeCrashSlot(std::string_view value);

}  // namespace jackdaw
