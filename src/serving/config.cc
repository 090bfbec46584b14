#include "serving/config.h"

#include <algorithm>

#include "core/digest.h"
#include "http/message.h"

namespace jackdaw::serving {
namespace {

// Returns the host without its port.
std::string_view HostName(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

const Route* ServingConfig::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const Route* found = nullptr;
  for (const Route& route : routes) {
    if (!path.starts_with(route.prefix) ||
        !SameHeaderName(route.host, HostName(host))) {
      continue;
    }
    if (found == nullptr || route.prefix.size() > found->prefix.size()) {
      found = &route;
    }
  }
  return found;
}

const Service* ServingConfig::FindService(std::string_view name) const {
  const auto found = std::find_if(
      services.begin(), services.end(),
      [&](const Service& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

const Workspace* ServingConfig::FindWorkspace(std::string_view name) const {
  const auto found = std::find_if(
      workspaces.begin(), workspaces.end(),
      [&](const Workspace& workspace) { return workspace.name == name; });
  return found == workspaces.end() ? nullptr : &*found;
}

const Workspace* ServingConfig::FindOwner(std::string_view key) const {
  const auto found = key_owners.find(KeyDigest(key));
  return found == key_owners.end() ? nullptr : &workspaces[found->second];
}

std::string KeyDigest(std::string_view key) {
  return Sha256Hex(key);
}

}  // namespace jackdaw::serving
