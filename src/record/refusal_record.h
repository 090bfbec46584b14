#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/refusal.h"
#include "core/time.h"

namespace jackdaw {

/// Refusal record stored for operators. Holds the digest of the caller's API
/// key, never the key itself.
struct RefusalRecord {
  Instant when{};
  std::string request_id;
  std::string workspace;
  std::string key_digest;
  std::string instance;
  RefusalKind kind = RefusalKind::kInternal;
  Ran ran = Ran::kUnknown;
  std::string reason;
  std::uint64_t config_version = 0;
};

/// Records that were lost before they were assigned a number.
struct LostRecords {
  /// Times at which the first and the last loss were counted.
  Instant since{};
  Instant when{};
  std::uint64_t count = 0;
};

/// Returns a record as one JSON object on one line, including the newline.
std::string EncodeRecordLine(std::uint64_t number, const RefusalRecord& record);

/// Returns the line for lost records; its kind is `gap`.
std::string EncodeGapLine(std::uint64_t number,
                          std::string_view instance,
                          const LostRecords& lost);

/// Returns the first line of an incarnation; its kind is `start`.
std::string EncodeStartLine(std::uint64_t number,
                            std::string_view instance,
                            Instant when);

}  // namespace jackdaw
