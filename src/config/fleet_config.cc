#include "config/fleet_config.h"

#include <algorithm>
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
    SettingRow{"lease_term_ms", 500, 600'000, 15'000},
    SettingRow{"order_flight_ms", 10, 600'000, 3000},
    SettingRow{"order_pause_ms", 0, kDayMs, 120'000},
    SettingRow{"kv_reserve_percent", 0, 90, 20},
    SettingRow{"adapter_memory_percent", 0, 50, 5},
    SettingRow{"engine_tokens_per_s", 1, 100 * kMillion, 2000},
    SettingRow{"model_load_ms", 1, 3'600'000, 5000},
    SettingRow{"weight_store_slots", 1, 1000, 2},
    SettingRow{"weight_store_loads_per_s", 1, 1000, 2},
    SettingRow{"adapter_loads", 1, 100'000, 16},
    SettingRow{"pinned", 0, 1, 0},
    SettingRow{"excluded", 0, 1, 0},
    SettingRow{"outcome_keep_ms", 1000, 30 * kDayMs, kDayMs},
};

}  // namespace

bool FleetConfig::IsEvacuated(std::string_view failure_domain) const {
  return std::ranges::any_of(evacuations, [&](const Evacuation& evacuation) {
    return evacuation.failure_domain == failure_domain;
  });
}

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
