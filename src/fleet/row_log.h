#pragma once

#include "core/error.h"
#include "core/log.h"
#include "platform/store_types.h"

namespace jackdaw::serving {

/// Logs a row of the store whose value could not be decoded.
template <typename Value>
void LogUnreadable(const platform::StoredRow& row, const Result<Value>& value) {
  if (!value) {
    Log(LogLevel::kWarn, "row_unreadable",
        {{"key", row.at.key}, {"error", value.error().Line()}});
  }
}

}  // namespace jackdaw::serving
