#include "config/fleet_config.h"

#include <array>

namespace jackdaw {
namespace {

constexpr std::int64_t kMillion = 1'000'000;
constexpr std::int64_t kDayMs = 24LL * 3600 * 1000;

constexpr std::array kSettings{
    SettingRow{"rate_tokens_per_s", 1, 100 * kMillion, 1000},
    SettingRow{"burst_tokens", 1, 1000 * kMillion, 4000},
    SettingRow{"request_deadline_ms", 100, 3'600'000, 30'000},
    SettingRow{"max_output_tokens", 1, kMillion, 256},
    SettingRow{"entry_keep_ms", 100, 600'000, 2000},
    SettingRow{"list_lag_ms", 0, 600'000, 3000},
    SettingRow{"drain_deadline_ms", 100, kDayMs, 3'600'000},
    SettingRow{"first_byte_ms", 10, 600'000, 10'000},
    SettingRow{"between_bytes_ms", 10, 600'000, 10'000},
    SettingRow{"plain_call_tokens", 0, kMillion, 1},
    SettingRow{"queue_requests", 0, 100'000, 64},
    SettingRow{"quarantine_ms", 1000, kDayMs, 600'000},
    SettingRow{"outcome_keep_ms", 1000, 30 * kDayMs, kDayMs},
};

}  // namespace

const SettingRow* FindSetting(std::string_view name) {
  for (const auto& row : kSettings) {
    if (row.name == name) {
      return &row;
    }
  }
  return nullptr;
}

std::int64_t SettingFor(const FleetConfig& config,
                        std::string_view setting,
                        std::string_view scope,
                        std::int64_t now_ms) {
  for (const auto& exception : config.exceptions) {
    const bool lives =
        exception.expires_ms == 0 || exception.expires_ms > now_ms;
    if (lives && exception.setting == setting && exception.scope == scope) {
      return exception.value;
    }
  }
  const auto found = config.defaults.find(setting);
  if (found != config.defaults.end()) {
    return found->second;
  }
  const SettingRow* row = FindSetting(setting);
  return row == nullptr ? 0 : row->fallback;
}

}  // namespace jackdaw
