#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engine.h"
#include "fleet.h"
#include "load.h"

namespace review {

/// A small deployment: a store, three engines of a plain service and instances
/// in three zones, with limited tenants.
class Deployment {
 public:
  static constexpr const char* kHost = "app.example";
  static constexpr const char* kPath = "/lookup/profile";
  /// Of a route whose requests may run once at most.
  static constexpr const char* kUnsafePath = "/booking/new";
  static constexpr int kTenants = 12;

  /// Quota of the tenant, in tokens.
  struct Quota {
    int rate_per_s = 100000;
    int burst = 10000;
  };

  /// @param work time that an engine takes for a request
  Deployment(Record& record,
             const Quota& quota,
             std::chrono::milliseconds work = std::chrono::milliseconds(10));

  /// Adds an instance that is not started yet, and a door of the store for it.
  Instance& AddInstance(const std::string& name, const std::string& zone);
  /// Starts all instances and waits until they are ready and one leads.
  bool StartAll();
  /// Returns the index of the instance that says it leads, if there is one.
  std::optional<std::size_t> Leader() const;
  /// Names of the tenants, which all have the same quota.
  static std::string Tenant(int i) { return "school-" + std::to_string(i + 1); }
  /// Returns the load of clients of a tenant at one instance.
  LoadShape Shape(const std::string& tenant, double per_second) const;
  /// Returns the parts of a tenant's quota that each instance holds, by name.
  std::map<std::string, int> PartsOf(const std::string& tenant) const;
  /// The quota's bound on the units of a window.
  double QuotaBound() const;

  Store& store() { return store_; }
  const Bounds& bounds() const { return bounds_; }
  std::vector<Instance>& instances() { return instances_; }
  Record& record() { return record_; }

 private:
  Record& record_;
  Quota quota_;
  Bounds bounds_;
  TemporaryFolder folder_;
  Store store_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<Instance> instances_;
};

/// Notes the fullest window of a tenant and returns whether it breaks the
/// quota's bound.
bool BreaksQuota(Deployment& deployment, const std::string& tenant);

}  // namespace review
