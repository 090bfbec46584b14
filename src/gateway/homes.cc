#include "gateway/homes.h"

#include <algorithm>

#include "http/message.h"

namespace jackdaw::serving {
namespace {

// An empty list allows every region.
bool IsAllowedBy(std::span<const std::string> allowed,
                 std::string_view region) {
  return allowed.empty() || std::ranges::find(allowed, region) != allowed.end();
}

DomainSet KnownRegions(const RegionMap& regions) {
  DomainSet known;
  for (const auto& [domain, region] : regions) {
    known.insert(region);
  }
  return known;
}

std::string_view HostName(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

AllowedDomains::AllowedDomains(const RegionMap& regions,
                               const Route& route,
                               const Workspace* workspace)
    : regions_(&regions) {
  if (regions.empty()) {
    return;
  }
  route_ = route.home_regions;
  if (workspace != nullptr) {
    workspace_ = workspace->home_regions;
  }
}

bool AllowedDomains::Allows(std::string_view failure_domain) const {
  if (all()) {
    return true;
  }
  const auto region = regions_->find(failure_domain);
  return region != regions_->end() && IsAllowedBy(route_, region->second) &&
         IsAllowedBy(workspace_, region->second);
}

DomainSet EntryRegions(const RegionMap& regions,
                       const ServingConfig* config,
                       const CallerLocation& caller) {
  const DomainSet known = KnownRegions(regions);
  if (known.size() < 2) {
    return {};
  }
  DomainSet named;
  const auto region = regions.find(caller.failure_domain);
  if (known.contains(caller.region)) {
    named.insert(caller.region);
  } else if (region != regions.end()) {
    named.insert(region->second);
  }
  if (config == nullptr) {
    return named;
  }
  for (const Route& route : config->routes) {
    if (SameHeaderName(route.host, HostName(caller.host))) {
      named.insert(route.home_regions.begin(), route.home_regions.end());
    }
  }
  return named;
}

std::vector<Endpoint> ChooseEntries(const RegionMap& regions,
                                    std::span<const EntryInstance> instances,
                                    const DomainSet& chosen) {
  std::vector<Endpoint> all;
  std::vector<Endpoint> inside;
  for (const EntryInstance& instance : instances) {
    all.push_back(instance.address);
    const auto region = regions.find(instance.failure_domain);
    if (region != regions.end() && chosen.contains(region->second)) {
      inside.push_back(instance.address);
    }
  }
  return inside.empty() ? all : inside;
}

DomainSet UnknownRegions(const RegionMap& regions,
                         const ServingConfig& config) {
  const DomainSet known = KnownRegions(regions);
  DomainSet unknown;
  const auto add = [&](std::span<const std::string> names) {
    for (const std::string& name : names) {
      if (!known.contains(name)) {
        unknown.insert(name);
      }
    }
  };
  for (const Route& route : config.routes) {
    add(route.home_regions);
  }
  for (const Workspace& workspace : config.workspaces) {
    add(workspace.home_regions);
  }
  return unknown;
}

}  // namespace jackdaw::serving
