#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "http/endpoint.h"

namespace jackdaw::serving {

/// Whether a target accepts new requests, as it states itself.
enum class TargetState : std::uint8_t { kReady, kDraining };

/// A model that a target holds in its accelerator memory.
struct HeldModel {
  std::string name;
  std::int64_t version = 0;
  std::vector<std::string> adapters;
};

/// Longest time for which a target is taken to be cold.
inline constexpr Micros kMaxColdTime = std::chrono::hours(1);

/// Row that a target registers for itself in the platform's store.
struct TargetRegistration {
  std::string id;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  TargetState state = TargetState::kReady;
  /// Start time in Unix milliseconds; distinguishes incarnations of one id.
  std::int64_t born_ms = 0;
  int slots = 0;
  std::vector<HeldModel> models;
  /// Models whose weights are on the target's disk or in its host memory, so
  /// that loading them uses no shared resource such as the weight store.
  std::vector<std::string> near_models;
  /// Orders that the target has accepted since its start.
  std::int64_t orders_accepted = 0;
  /// Time for which the target goes on to be cold, from the time at which this
  /// version of the row was first read; nothing if the row does not say it.
  std::optional<Micros> cold_remaining;
  /// Epoch of the store, and version of the row in it.
  std::int64_t row_epoch = 0;
  std::int64_t row_version = 0;
};

}  // namespace jackdaw::serving
