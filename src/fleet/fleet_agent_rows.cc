// Rows of configuration and targets, from the store or relayed by the leader.
#include "core/log.h"
#include "fleet/fleet_agent.h"
#include "platform/config_row.h"
#include "platform/tables.h"
#include "platform/target_row.h"

namespace jackdaw::serving {
namespace {

// Largest document of a configuration that a heartbeat's answer carries; a link
// of 10 Mbit/s needs a third of the time that the heartbeat has for it.
constexpr std::size_t kMaxLostConfigBytes = 160UL * 1024;

}  // namespace

void FleetAgent::OnConfigRows(const platform::RowSet& rows) {
  for (const platform::StoredRow& row : rows.rows) {
    if (row.at.key == platform::kConfigKey && !row.dropped) {
      store_lost_config_ = !TakeConfig(row.value);
    }
  }
}

// Applies a configuration unless it is older than the one in force.
// @returns false if it is older
bool FleetAgent::TakeConfig(std::string_view document) {
  auto config = platform::DecodeConfig(document);
  if (!config) {
    Log(LogLevel::kError, "config_unreadable",
        {{"error", config.error().Line()}});
    return true;
  }
  const std::int64_t version = config.value().version;
  if (config_ != nullptr && version <= config_->version) {
    return version == config_->version;
  }
  LogQuotas(config.value());
  config_ = std::make_shared<const ServingConfig>(std::move(config.value()));
  config_document_ = document;
  quotas_.OnConfig(*config_, clock_.Now());
  Log(LogLevel::kInfo, "config_taken",
      {{"version", std::to_string(version)},
       {"from", following_ ? leadership_.lease().holder : "store"},
       {"routes", std::to_string(config_->routes.size())},
       {"workspaces", std::to_string(config_->workspaces.size())}});
  return true;
}

// Returns the document of the configuration in force for an instance that has
// an older one and cannot read it from the store; else nothing.
// @param known_version version that the instance has in force
std::string FleetAgent::ConfigLostByStore(std::int64_t known_version) const {
  const bool lacks = store_lost_config_ && known_version >= 0 &&
                     known_version < config_->version;
  return lacks && config_document_.size() <= kMaxLostConfigBytes
             ? config_document_
             : std::string();
}

// Logs the quotas that are new or changed.
void FleetAgent::LogQuotas(const ServingConfig& config) const {
  for (const Workspace& workspace : config.workspaces) {
    const Workspace* old =
        config_ == nullptr ? nullptr : config_->FindWorkspace(workspace.name);
    if (old != nullptr && old->rate == workspace.rate &&
        old->burst == workspace.burst) {
      continue;
    }
    Log(LogLevel::kInfo, "quota",
        {{"workspace", workspace.name},
         {"rate", std::to_string(workspace.rate)},
         {"burst", std::to_string(workspace.burst)},
         {"config", std::to_string(config.version)}});
  }
}

std::vector<TargetRow> FleetAgent::DecodeTargets(
    const platform::RowSet& rows) const {
  std::vector<TargetRow> targets;
  for (const platform::StoredRow& row : rows.rows) {
    TargetRow target;
    target.id = row.at.key;
    target.version = row.version;
    if (!row.dropped) {
      auto entry = platform::DecodeTarget(row.at.key, row.value);
      target.readable = static_cast<bool>(entry);
      if (entry) {
        target.entry = std::move(entry.value());
      } else {
        Log(LogLevel::kWarn, "target_row_skipped",
            {{"target", row.at.key}, {"error", entry.error().Line()}});
      }
    }
    targets.push_back(std::move(target));
  }
  return targets;
}

// Applies rows of the targets to the replica and to the registry.
// @param whole the rows are a snapshot of the table
void FleetAgent::OnTargetRows(const platform::RowSet& rows, bool whole) {
  const Instant now = clock_.Now();
  const std::int64_t known_epoch = target_replica_.version().epoch;
  if (rows.epoch < known_epoch) {
    return;
  }
  if (rows.epoch > known_epoch) {
    target_feed_.OnStoreRestored(now);
  }
  const auto targets = DecodeTargets(rows);
  if (whole) {
    target_replica_.OnSnapshot(rows, now);
    OnTargetChanges(target_feed_.OnSnapshot(targets, now));
  } else {
    target_replica_.OnChanges(rows, now);
    OnTargetChanges(target_feed_.OnChanges(targets, now));
  }
}

void FleetAgent::OnTargetChanges(const TargetFeed::Changes& changes) {
  for (const TargetRegistration& entry : changes.updated) {
    if (!registry_.Update(entry)) {
      continue;
    }
    std::string models;
    for (const HeldModel& model : entry.models) {
      models += models.empty() ? "" : ",";
      models += model.name;
    }
    Log(LogLevel::kInfo, "target",
        {{"id", entry.id},
         {"service", entry.service},
         {"state", entry.state == TargetState::kReady ? "ready" : "draining"},
         {"address", ToText(entry.address)},
         {"failure_domain", entry.failure_domain},
         {"models", models}});
  }
  for (const std::string& id : changes.removed) {
    if (const TargetPtr target = registry_.Find(id)) {
      connections_.CloseIdle(*target);
    }
    registry_.Remove(id);
    Log(LogLevel::kInfo, "target_gone", {{"id", id}});
  }
}

}  // namespace jackdaw::serving
