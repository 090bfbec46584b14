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

/// One JSON object on one line, with the line end.
std::string EncodeRecordLine(const RefusalRecord& record);

}  // namespace jackdaw
