#pragma once

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "http/endpoint.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// Region of each failure domain of the deployment.
using RegionMap = std::map<std::string, std::string, std::less<>>;
/// Names of failure domains or regions.
using DomainSet = std::set<std::string, std::less<>>;

/// The failure domains whose targets a request may reach, from the allowed
/// regions of its route and of its workspace, which both apply. A failure
/// domain of unknown region is in none of them. In a deployment whose settings
/// name no region, every failure domain is allowed.
class AllowedDomains {
 public:
  /// Allows every failure domain.
  AllowedDomains() = default;
  /// @param regions must outlive the object, as must `route` and `workspace`
  /// @param workspace null if the request has none
  AllowedDomains(const RegionMap& regions,
                 const Route& route,
                 const Workspace* workspace);

  bool Allows(std::string_view failure_domain) const;
  /// Whether every failure domain is allowed.
  bool all() const { return route_.empty() && workspace_.empty(); }

 private:
  const RegionMap* regions_ = nullptr;
  std::span<const std::string> route_;
  std::span<const std::string> workspace_;
};

/// What a caller states when it asks which instances to use.
struct CallerLocation {
  std::string host;
  std::string region;
  std::string failure_domain;
};

/// Returns the regions whose instances the caller is to use: its own, and the
/// allowed regions of the routes of its host. Empty if all instances may be
/// used, which holds where there are not several regions.
/// @param config null before one was read
DomainSet EntryRegions(const RegionMap& regions,
                       const ServingConfig* config,
                       const CallerLocation& caller);

/// An instance that accepts callers.
struct EntryInstance {
  Endpoint address;
  std::string_view failure_domain;
};

/// Returns the addresses of the instances in the given regions; those of all
/// instances if none is there or no region is given.
std::vector<Endpoint> ChooseEntries(const RegionMap& regions,
                                    std::span<const EntryInstance> instances,
                                    const DomainSet& chosen);

/// Returns the allowed regions of routes and workspaces that are not the region
/// of any failure domain.
DomainSet UnknownRegions(const RegionMap& regions, const ServingConfig& config);

}  // namespace jackdaw::serving
