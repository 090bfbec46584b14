#include "deployment.h"

#define XXH_INLINE_ALL
#include <unistd.h>
#include <xxhash.h>

#include <boost/json.hpp>
#include <sstream>

namespace review {
namespace {

constexpr int kSlots = 32;
constexpr std::chrono::seconds kStartTime{20};
constexpr int kPromptTokens = 3000;
constexpr int kOutputTokens = 1000;
constexpr std::size_t kMaxInstances = 1000;

// The addresses of a run: a net of its own in 127.0.0.0/8.
std::string NetOfRun() {
  const int id = static_cast<int>(::getpid());
  return "127." + std::to_string(64 + id / 250 % 128) + "." +
         std::to_string(1 + id % 250) + ".";
}

}  // namespace

Deployment::Deployment(Record& record,
                       const Quota& quota,
                       std::chrono::milliseconds work)
    : record_(record), quota_(quota) {
  instances_.reserve(kMaxInstances);
  for (int i = 1; i <= 3; ++i) {
    engines_.push_back(std::make_unique<Engine>(
        "app-" + std::to_string(i), "pairing-app", "zone-" + std::to_string(i),
        kSlots, work, store_, record_));
  }
  std::ostringstream config;
  config << R"({"version":10,"routes":[{"name":"profile-read","hostname":")"
         << kHost << R"(","prefix":"/lookup/","type":"safe","max-attempts":2,)"
         << R"("timeout-ms":1200,"target-latency-ms":150,"priority":2,)"
         << R"("service":"pairing-app"},{"name":"booking","hostname":")"
         << kHost << R"(","prefix":"/booking/","type":"unsafe",)"
         << R"("max-attempts":1,"timeout-ms":15000,"target-latency-ms":150,)"
         << R"("priority":2,"service":"pairing-app"}],)"
         << R"("services":[{"name":"pairing-app",)"
         << R"("health-path":"/healthz","max-connections":96}],"tenants":[)";
  for (int i = 0; i < kTenants; ++i) {
    config << (i == 0 ? "" : ",") << R"({"name":")" << Tenant(i)
           << R"(","api-keys":["key-)" << Tenant(i) << R"("],"rate-per-s":)"
           << quota.rate_per_s << R"(,"burst":)" << quota.burst
           << R"(,"unit":"tokens","plain-tokens":200})";
  }
  config << R"(],)"
         << R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
         << R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
  store_.Put("op", "config", config.str());
}

Instance& Deployment::AddInstance(const std::string& name,
                                  const std::string& zone) {
  const std::string ip =
      NetOfRun() + std::to_string(1 + instances_.size() % 250);
  const std::size_t door = store_.AddDoor("127.0.0.1");
  return instances_.emplace_back(name, zone, ip, store_.DoorAddress(door),
                                 folder_.path(), bounds_);
}

bool Deployment::StartAll() {
  for (Instance& instance : instances_) {
    instance.Start();
  }
  return WaitFor(kStartTime, [&] {
    for (const Instance& instance : instances_) {
      if (!instance.Ready()) {
        return false;
      }
    }
    return Leader().has_value();
  });
}

std::optional<std::size_t> Deployment::Leader() const {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].Metric("leads") == 1) {
      return i;
    }
  }
  return std::nullopt;
}

LoadShape Deployment::Shape(const std::string& tenant,
                            double per_second) const {
  LoadShape shape;
  shape.host = kHost;
  shape.path = kPath;
  shape.key = "key-" + tenant;
  shape.tenant = tenant;
  shape.prompt_tokens = kPromptTokens;
  shape.output_tokens = kOutputTokens;
  shape.per_second = per_second;
  return shape;
}

// The table of the parts lists, for each of 64 pools, eight parts with their
// holders; a tenant belongs to a pool by the digest of its name.
std::map<std::string, int> Deployment::PartsOf(
    const std::string& tenant) const {
  constexpr std::size_t kPools = 64;
  constexpr std::size_t kPartsPerPool = 8;
  std::map<std::string, int> held;
  boost::system::error_code failure;
  const auto table =
      boost::json::parse(store_.Get("jackdawhill", "parts"), failure);
  if (failure) {
    return held;
  }
  const auto& names = table.at("names").get_array();
  const auto& parts = table.at("parts").get_array();
  const std::size_t pool = XXH64(tenant.data(), tenant.size(), 0) % kPools;
  for (std::size_t i = 0; i < kPartsPerPool; ++i) {
    const auto holder =
        parts.at(pool * kPartsPerPool + i).at(1).to_number<std::int64_t>();
    if (holder >= 0) {
      ++held[std::string(
          names.at(static_cast<std::size_t>(holder)).get_string())];
    }
  }
  return held;
}

double Deployment::QuotaBound() const {
  return (static_cast<double>(quota_.rate_per_s) * bounds_.quota_window_s +
          quota_.burst) *
             (1 + bounds_.quota_overshoot) +
         bounds_.quota_slack;
}

bool BreaksQuota(Deployment& deployment, const std::string& tenant) {
  const FullestWindow fullest =
      FindFullestWindow(deployment.record().attempts(), tenant,
                        deployment.bounds().quota_window_s * 1000.0);
  std::ostringstream line;
  line << "fullest window of " << deployment.bounds().quota_window_s
       << " s: from " << fullest.from_ms << " ms, " << fullest.units
       << " tokens; the rule allows " << deployment.QuotaBound();
  deployment.record().Note(line.str());
  const bool broken =
      static_cast<double>(fullest.units) > deployment.QuotaBound();
  deployment.record().Note(broken ? "QUOTA broken" : "QUOTA held");
  return broken;
}

}  // namespace review
