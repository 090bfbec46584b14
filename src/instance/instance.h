#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/error.h"
#include "settings/instance_settings.h"

namespace jackdaw {

/// Addresses to which an instance has bound its servers.
struct BoundAddresses {
  std::string entry;
  std::string operators;
  std::string peer;
};

/// One instance: owns all its threads and components.
class Instance {
 public:
  explicit Instance(InstanceSettings settings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Binds all addresses and starts all threads.
  /// @returns the bound addresses, or kAddressInUse
  Result<BoundAddresses> Start();

  /// Begins a graceful shutdown and returns at once. May be called from any
  /// thread.
  void BeginDrain();

  /// Waits until a graceful shutdown has finished.
  void WaitDrained();

 private:
  struct Components;
  std::unique_ptr<Components> components_;
};

}  // namespace jackdaw
