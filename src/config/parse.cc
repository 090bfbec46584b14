#include <set>

#include "config/check.h"
#include "config/fleet_config.h"
#include "core/object_reader.h"

namespace jackdaw {
namespace {

constexpr std::int64_t kMaxMemoryMb = 10'000'000;
constexpr std::int64_t kMaxAccelerators = 1024;
constexpr std::int64_t kMaxTimeMs = 1LL << 52;
constexpr std::size_t kDigestDigits = 64;
constexpr std::size_t kMaxDomainBytes = 256;

Error Invalid(const std::string& path, const std::string& what) {
  return {ErrorKind::kInvalidSetting, path + ": " + what,
          "correct this member and apply again"};
}

std::string At(std::string_view list, std::size_t index) {
  return "/" + std::string(list) + "/" + std::to_string(index);
}

void ReadOne(ObjectReader& reader, Workspace& item) {
  item.name = reader.Text("name");
}

void ReadOne(ObjectReader& reader, Key& item) {
  item.id = reader.Text("id");
  item.workspace = reader.Text("workspace");
  item.digest = reader.Text("digest");
  item.withdrawn = reader.FlagOr("withdrawn", false);
  if (item.digest.size() != kDigestDigits) {
    reader.Fail("digest", "must be a SHA-256 of 64 hexadecimal digits");
  }
}

void ReadOne(ObjectReader& reader, Target& item) {
  item.name = reader.Text("name");
  item.address = reader.Text("address");
  item.failure_domain = reader.TextOr("failure_domain", "default");
  const std::string kind = reader.TextOr("kind", "engine");
  if (kind != "engine" && kind != "plain") {
    reader.Fail("kind", "must be \"engine\" or \"plain\"");
  }
  item.kind = kind == "plain" ? TargetKind::kPlain : TargetKind::kEngine;
  item.memory_mb = reader.IntegerOr("memory_mb", 0, kMaxMemoryMb, 0);
  item.accelerators = reader.IntegerOr("accelerators", 1, kMaxAccelerators, 1);
  item.checks_fence = reader.FlagOr("checks_fence", true);
}

void ReadOne(ObjectReader& reader, Model& item) {
  item.name = reader.Text("name");
  item.memory_mb = reader.IntegerOr("memory_mb", 0, kMaxMemoryMb, 0);
  item.version = reader.IntegerOr("version", 1, 1'000'000, 1);
}

void ReadOne(ObjectReader& reader, Adapter& item) {
  item.name = reader.Text("name");
  item.model = reader.Text("model");
  item.memory_mb = reader.IntegerOr("memory_mb", 0, kMaxMemoryMb, 0);
}

void ReadOne(ObjectReader& reader, Deployment& item) {
  item.name = reader.Text("name");
  item.models = reader.TextsOr("models");
  item.targets = reader.TextsOr("targets");
}

void ReadOne(ObjectReader& reader, Route& item) {
  item.method = reader.TextOr("method", "POST");
  item.path = reader.Text("path");
  item.idempotent = reader.FlagOr("idempotent", false);
  item.open = reader.FlagOr("open", false);
}

void ReadOne(ObjectReader& reader, Exception& item) {
  item.scope = reader.Text("scope");
  item.setting = reader.Text("setting");
  const SettingRow* row = FindSetting(item.setting);
  if (row == nullptr) {
    reader.Fail("setting", "is not a known setting");
    return;
  }
  item.value = reader.Integer("value", row->low, row->high);
  item.reason = reader.Text("reason");
  item.expires_ms = reader.IntegerOr("expires_ms", 0, kMaxTimeMs, 0);
}

void ReadOne(ObjectReader& reader, Evacuation& item) {
  item.failure_domain = reader.Text("failure_domain");
  if (item.failure_domain.empty() ||
      item.failure_domain.size() > kMaxDomainBytes) {
    reader.Fail("failure_domain",
                "must have 1 to " + std::to_string(kMaxDomainBytes) + " bytes");
  }
}

template <typename T>
Result<std::vector<T>> ReadList(ObjectReader& parent, std::string_view list);

template <typename T>
Result<T> ReadItem(const boost::json::value& value, const std::string& path) {
  ObjectReader reader(value, path);
  T item;
  ReadOne(reader, item);
  BOOST_OUTCOME_TRY(reader.Finish());
  return item;
}

template <>
Result<Service> ReadItem<Service>(const boost::json::value& value,
                                  const std::string& path) {
  ObjectReader reader(value, path);
  Service item;
  item.name = reader.Text("name");
  item.targets = reader.TextsOr("targets");
  BOOST_OUTCOME_TRY(item.routes, ReadList<Route>(reader, "routes"));
  BOOST_OUTCOME_TRY(reader.Finish());
  return item;
}

template <typename T>
Result<std::vector<T>> ReadList(ObjectReader& parent, std::string_view list) {
  std::vector<T> items;
  const auto values = parent.ItemsOr(list);
  for (std::size_t i = 0; i < values.size(); ++i) {
    BOOST_OUTCOME_TRY(
        auto item,
        ReadItem<T>(values[i], parent.PathOf(list) + "/" + std::to_string(i)));
    items.push_back(std::move(item));
  }
  return items;
}

using Names = std::set<std::string, std::less<>>;

template <typename T>
Result<Names> UniqueNames(const std::vector<T>& items, std::string_view list) {
  Names names;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!names.insert(items[i].name).second) {
      return Invalid(At(list, i), "'" + items[i].name + "' stands twice");
    }
  }
  return names;
}

Result<void> CheckKnown(const Names& known,
                        const std::vector<std::string>& names,
                        const std::string& path) {
  for (const auto& name : names) {
    if (!known.contains(name)) {
      return Invalid(path, "'" + name + "' is not defined");
    }
  }
  return success();
}

// A model must fit at least one target of each deployment that offers it.
Result<void> CheckFits(const FleetConfig& config) {
  for (std::size_t i = 0; i < config.deployments.size(); ++i) {
    const auto& deployment = config.deployments[i];
    std::int64_t largest = 0;
    for (const auto& target : config.targets) {
      for (const auto& name : deployment.targets) {
        largest =
            name == target.name ? std::max(largest, target.memory_mb) : largest;
      }
    }
    for (const auto& model : config.models) {
      for (const auto& name : deployment.models) {
        if (name == model.name && model.memory_mb > largest) {
          return Invalid(
              At("deployments", i),
              "model '" + name + "' needs " + std::to_string(model.memory_mb) +
                  " MB and fits no target of '" + deployment.name + "'");
        }
      }
    }
  }
  return success();
}

Result<void> CheckReferences(const FleetConfig& config) {
  BOOST_OUTCOME_TRY(const auto workspaces,
                    UniqueNames(config.workspaces, "workspaces"));
  BOOST_OUTCOME_TRY(const auto targets, UniqueNames(config.targets, "targets"));
  BOOST_OUTCOME_TRY(const auto models, UniqueNames(config.models, "models"));
  BOOST_OUTCOME_TRY(UniqueNames(config.adapters, "adapters"));
  BOOST_OUTCOME_TRY(UniqueNames(config.deployments, "deployments"));
  BOOST_OUTCOME_TRY(UniqueNames(config.services, "services"));
  for (std::size_t i = 0; i < config.keys.size(); ++i) {
    BOOST_OUTCOME_TRY(CheckKnown(workspaces, {config.keys[i].workspace},
                                 At("keys", i) + "/workspace"));
  }
  for (std::size_t i = 0; i < config.adapters.size(); ++i) {
    BOOST_OUTCOME_TRY(CheckKnown(models, {config.adapters[i].model},
                                 At("adapters", i) + "/model"));
  }
  for (std::size_t i = 0; i < config.deployments.size(); ++i) {
    const auto& deployment = config.deployments[i];
    const std::string path = At("deployments", i);
    BOOST_OUTCOME_TRY(CheckKnown(models, deployment.models, path + "/models"));
    BOOST_OUTCOME_TRY(
        CheckKnown(targets, deployment.targets, path + "/targets"));
  }
  for (std::size_t i = 0; i < config.services.size(); ++i) {
    BOOST_OUTCOME_TRY(CheckKnown(targets, config.services[i].targets,
                                 At("services", i) + "/targets"));
  }
  return CheckFits(config);
}

Result<void> ReadDefaults(ObjectReader& parent, FleetConfig& config) {
  const boost::json::value* value = parent.Any("defaults");
  if (value == nullptr) {
    return success();
  }
  ObjectReader reader(*value, "/defaults");
  if (const auto* object = value->if_object(); object != nullptr) {
    for (const auto& member : *object) {
      const std::string name(member.key());
      if (const SettingRow* row = FindSetting(name); row != nullptr) {
        config.defaults[name] = reader.Integer(name, row->low, row->high);
      }
    }
  }
  return reader.Finish();
}

}  // namespace

Result<FleetConfig> ParseFleetConfig(std::string_view document,
                                     std::uint64_t version) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(document));
  ObjectReader reader(value, "");
  FleetConfig config;
  config.version = version;
  BOOST_OUTCOME_TRY(ReadDefaults(reader, config));
  BOOST_OUTCOME_TRY(config.exceptions,
                    ReadList<Exception>(reader, "exceptions"));
  BOOST_OUTCOME_TRY(config.workspaces,
                    ReadList<Workspace>(reader, "workspaces"));
  BOOST_OUTCOME_TRY(config.keys, ReadList<Key>(reader, "keys"));
  BOOST_OUTCOME_TRY(config.targets, ReadList<Target>(reader, "targets"));
  BOOST_OUTCOME_TRY(config.models, ReadList<Model>(reader, "models"));
  BOOST_OUTCOME_TRY(config.adapters, ReadList<Adapter>(reader, "adapters"));
  BOOST_OUTCOME_TRY(config.deployments,
                    ReadList<Deployment>(reader, "deployments"));
  BOOST_OUTCOME_TRY(config.services, ReadList<Service>(reader, "services"));
  BOOST_OUTCOME_TRY(config.evacuations,
                    ReadList<Evacuation>(reader, "evacuations"));
  BOOST_OUTCOME_TRY(reader.Finish());
  BOOST_OUTCOME_TRY(CheckReferences(config));
  BOOST_OUTCOME_TRY(CheckConsistency(config));
  return config;
}

}  // namespace jackdaw
