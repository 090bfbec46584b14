#pragma once

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/fleet_config.h"
#include "membership/instance_entry.h"

namespace jackdaw {

/// A snapshot of the fleet's state, readable by every thread of an instance.
/// Never modified once published.
struct FleetView {
  FleetConfigPtr config;
  /// The configuration document as stored.
  std::string document;
  std::vector<InstanceEntry> instances;
  /// Names of the instances to offer to callers: those that are not leaving and
  /// whose heartbeats arrive.
  std::set<std::string, std::less<>> offered;
  /// Digests of the keys that are not withdrawn.
  std::unordered_set<std::string> live_keys;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

/// Holds the newest view, which is replaced atomically as a whole.
class FleetViewHolder {
 public:
  FleetViewPtr Get() const { return view_.load(); }
  void Set(FleetViewPtr view) { view_.store(std::move(view)); }

 private:
  std::atomic<FleetViewPtr> view_{std::make_shared<const FleetView>()};
};

}  // namespace jackdaw
