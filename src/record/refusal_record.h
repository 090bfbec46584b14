#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/refusal.h"
#include "core/time.h"

namespace jackdaw {

/// One refusal as kept for operators. Holds no key, only its digest.
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

/// Records that were lost before they could be numbered.
struct LostRecords {
  /// When the first and the last of them were made.
  Instant since{};
  Instant when{};
  std::uint64_t count = 0;
};

/// One JSON object on one line, with the line end.
std::string EncodeRecordLine(std::uint64_t number, const RefusalRecord& record);

/// Line that records the loss of records; its kind is `gap`.
std::string EncodeGapLine(std::uint64_t number,
                          std::string_view instance,
                          const LostRecords& lost);

/// First line of an incarnation; its kind is `start`.
std::string EncodeStartLine(std::uint64_t number,
                            std::string_view instance,
                            Instant when);

}  // namespace jackdaw
