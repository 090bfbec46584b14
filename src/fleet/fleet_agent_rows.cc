// Rows of configuration and targets, from the store or relayed by the leader.
#include "core/log.h"
#include "fleet/fleet_agent.h"
#include "fleet/relayed_target.h"
#include "platform/config_row.h"
#include "platform/tables.h"
#include "platform/target_row.h"

namespace jackdaw::serving {
namespace {

// Largest document of a configuration that a heartbeat's answer carries; a link
// of 10 Mbit/s needs a third of the time that the heartbeat has for it.
constexpr std::size_t kMaxLostConfigBytes = 160UL * 1024;

}  // namespace

// Only rows that were read are relayed: a heartbeat reply carries their values
// as JSON text, which takes no others.
// @param whole the rows are a snapshot of the table
void FleetAgent::OnConfigRows(const platform::RowSet& rows, bool whole) {
  OnEvacuationChanges(evacuations_.OnRows(rows, whole, clock_.Now()));
  platform::RowSet readable = rows;
  for (platform::StoredRow& row : readable.rows) {
    if (EvacuatedDomain(row)) {
      row.value.clear();
    }
  }
  std::erase_if(readable.rows, [&](const platform::StoredRow& row) {
    if (EvacuatedDomain(row)) {
      return false;
    }
    if (row.at.key != platform::kConfigKey || row.dropped) {
      return row.at.key != platform::kConfigKey;
    }
    const ConfigOutcome outcome = TakeConfig(row.value);
    if (outcome != ConfigOutcome::kUnreadable) {
      store_lost_config_ = outcome == ConfigOutcome::kOlder;
    }
    return outcome == ConfigOutcome::kUnreadable;
  });
  if (whole) {
    config_replica_.OnSnapshot(readable, clock_.Now());
  } else {
    config_replica_.OnChanges(readable, clock_.Now());
  }
}

// Puts a configuration in force unless a later one is.
FleetAgent::ConfigOutcome FleetAgent::TakeConfig(std::string_view document) {
  auto config = platform::DecodeConfig(document);
  if (!config) {
    Log(LogLevel::kError, "config_unreadable",
        {{"error", config.error().Line()}});
    return ConfigOutcome::kUnreadable;
  }
  const std::int64_t version = config.value().version;
  if (config_ != nullptr && version <= config_->version) {
    return version == config_->version ? ConfigOutcome::kInForce
                                       : ConfigOutcome::kOlder;
  }
  LogQuotas(config.value());
  LogUnknownRegions(config.value());
  config_ = std::make_shared<const ServingConfig>(std::move(config.value()));
  config_document_ = document;
  quotas_.OnConfig(*config_, boot_clock_.Now());
  registry_.SetColdLimits(config_->services, settings_.cold_overshoot,
                          settings_.cold_slack);
  Log(LogLevel::kInfo, "config_taken",
      {{"version", std::to_string(version)},
       {"from", following_ ? leadership_.lease().holder : "store"},
       {"routes", std::to_string(config_->routes.size())},
       {"workspaces", std::to_string(config_->workspaces.size())}});
  return ConfigOutcome::kInForce;
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

// @param from_leader the rows were relayed and may be compact
std::vector<TargetRow> FleetAgent::DecodeTargets(const platform::RowSet& rows,
                                                 bool from_leader) const {
  std::vector<TargetRow> targets;
  for (const platform::StoredRow& row : rows.rows) {
    TargetRow target;
    target.id = row.at.key;
    target.version = row.version;
    if (!row.dropped) {
      target.complete = !from_leader || !IsRelayedTarget(row.value);
      auto entry = target.complete
                       ? platform::DecodeTarget(row.at.key, row.value)
                       : DecodeRelayedTarget(row.at.key, row.value);
      target.readable = static_cast<bool>(entry);
      if (entry) {
        target.entry = std::move(entry.value());
        target.entry.row_epoch = rows.epoch;
        target.entry.row_version = row.version;
      } else {
        Log(LogLevel::kWarn, "target_row_skipped",
            {{"target", row.at.key}, {"error", entry.error().Line()}});
      }
    }
    targets.push_back(std::move(target));
  }
  return targets;
}

// Returns the rows as they are relayed: one that names no target counts as
// deleted, so that followers drop the target that it named before.
platform::RowSet FleetAgent::RelayedRows(platform::RowSet rows,
                                         std::span<const TargetRow> targets) {
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (!targets[i].readable) {
      rows.rows[i].dropped = true;
      rows.rows[i].value.clear();
    }
  }
  std::erase_if(rows.rows, [](const platform::StoredRow& row) {
    return row.at.key.empty();
  });
  return rows;
}

// Applies rows of the targets to the replica and to the registry.
// @param whole the rows are a snapshot of the table
// @param from_leader the rows were relayed
void FleetAgent::OnTargetRows(const platform::RowSet& rows,
                              bool whole,
                              bool from_leader) {
  const Instant now = clock_.Now();
  const std::int64_t known_epoch = target_replica_.version().epoch;
  if (rows.epoch < known_epoch) {
    return;
  }
  if (rows.epoch > known_epoch) {
    target_feed_.OnStoreRestored(now);
  }
  const std::vector<TargetRow> targets = DecodeTargets(rows, from_leader);
  const platform::RowSet relayed = RelayedRows(rows, targets);
  if (whole) {
    target_replica_.OnSnapshot(relayed, now);
    OnTargetChanges(target_feed_.OnSnapshot(targets, now));
  } else {
    target_replica_.OnChanges(relayed, now);
    OnTargetChanges(target_feed_.OnChanges(targets, now));
  }
  // The next expiry may be another.
  expiry_timer_.cancel();
}

void FleetAgent::OnTargetChanges(const TargetFeed::Changes& changes) {
  for (const TargetRegistration& entry : changes.updated) {
    const bool changed = registry_.Update(entry);
    registry_.OnColdRow(entry, clock_.Now());
    if (!changed) {
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
  registry_.LogCold(clock_.Now());
}

}  // namespace jackdaw::serving
