#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/clock.h"
#include "core/error.h"
#include "settings/instance_settings.h"

namespace jackdaw {

/// Addresses that an instance bound.
struct BoundAddresses {
  std::string entry;
  std::string operators;
  std::string peer;
};

/// One instance: all its threads and what joins them.
class Instance {
 public:
  explicit Instance(InstanceSettings settings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Binds all addresses and starts all threads.
  /// @returns the bound addresses, or kAddressInUse
  Result<BoundAddresses> Start();

  /// Begins a graceful shutdown; returns at once. Safe from any thread.
  void BeginDrain();

  /// Waits until a graceful shutdown has finished.
  void WaitDrained();

 private:
  struct Components;
  std::unique_ptr<Components> components_;
};

}  // namespace jackdaw
