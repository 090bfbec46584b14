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

/// What every thread of an instance may read of the fleet; never changed once
/// published.
struct FleetView {
  FleetConfigPtr config;
  /// The configuration document as stored.
  std::string document;
  std::vector<InstanceEntry> instances;
  /// Names of the instances to give to callers: neither leaving nor silent.
  std::set<std::string, std::less<>> offered;
  /// Digests of the keys that may be used.
  std::unordered_set<std::string> live_keys;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

/// The newest view, replaced as a whole.
class FleetViewHolder {
 public:
  FleetViewPtr Get() const { return view_.load(); }
  void Set(FleetViewPtr view) { view_.store(std::move(view)); }

 private:
  std::atomic<FleetViewPtr> view_{std::make_shared<const FleetView>()};
};

}  // namespace jackdaw
