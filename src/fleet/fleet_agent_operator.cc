// What the operator sets beside the configuration's document: evacuated failure
// domains and regions.
#include <algorithm>

#include "core/log.h"
#include "fleet/fleet_agent.h"
#include "platform/tables.h"

namespace jackdaw::serving {

void FleetAgent::OnEvacuationChanges(const Evacuations::Changes& changes) {
  if (changes.skipped > 0) {
    Log(LogLevel::kWarn, "evacuation_row_skipped",
        {{"rows", std::to_string(changes.skipped)},
         {"error", "the name of the failure domain is empty or too long"}});
  }
  for (const std::string& domain : changes.kept) {
    Log(LogLevel::kWarn, "evacuation_row_lost", {{"failure_domain", domain}});
  }
  if (changes.begun.empty() && changes.ended.empty()) {
    return;
  }
  registry_.SetEvacuated(evacuations_.domains(), clock_.Now());
  for (const std::string& domain : changes.begun) {
    evacuations_to_check_.insert(domain);
    Log(LogLevel::kInfo, "evacuation_begun",
        {{"failure_domain", domain},
         {"from", following_ ? leadership_.lease().holder : "store"}});
  }
  for (const std::string& domain : changes.ended) {
    evacuations_to_check_.erase(domain);
    Log(LogLevel::kInfo, "evacuation_ended", {{"failure_domain", domain}});
  }
}

// Logs each evacuated failure domain that has no target and that the settings
// do not name, as its name may be misspelt. An instance that starts learns of
// the targets after the evacuations.
void FleetAgent::LogUnknownEvacuations() {
  if (registry_.all().empty()) {
    return;
  }
  for (const std::string& domain : evacuations_to_check_) {
    const bool has_target =
        std::ranges::any_of(registry_.all(), [&](const auto& item) {
          return item.second->entry.failure_domain == domain;
        });
    if (!has_target && !settings_.regions.contains(domain)) {
      Log(LogLevel::kWarn, "evacuated_domain_unknown",
          {{"failure_domain", domain}});
    }
  }
  evacuations_to_check_.clear();
}

// Logs the allowed regions that are unknown and were not in the configuration
// that was in force before.
void FleetAgent::LogUnknownRegions(const ServingConfig& config) {
  if (settings_.regions.empty()) {
    return;
  }
  DomainSet unknown = UnknownRegions(settings_.regions, config);
  for (const std::string& region : unknown) {
    if (!unknown_regions_.contains(region)) {
      Log(LogLevel::kWarn, "allowed_region_unknown", {{"region", region}});
    }
  }
  unknown_regions_ = std::move(unknown);
}

}  // namespace jackdaw::serving
