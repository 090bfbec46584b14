#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "gateway/domain_preference.h"
#include "gateway/homes.h"
#include "gateway/target.h"
#include "serving/config.h"
#include "serving/request_metadata.h"

namespace jackdaw::serving {

using TargetPtr = std::shared_ptr<Target>;

/// Criteria for the choice of a target.
struct TargetQuery {
  std::string_view service;
  const RequestMetadata* call = nullptr;
  /// Engine of the service; null for a plain service, which has no inference
  /// engine.
  const EngineSpec* engine = nullptr;
  /// Targets that must not be chosen.
  std::span<const TargetPtr> excluded;
  /// Time left to the latency objective of the request.
  Micros objective{};
  /// Failure domains that the targets may be in.
  AllowedDomains homes;
};

/// Whether a target was chosen, or why not.
enum class PickOutcome : std::uint8_t {
  kChosen,
  /// The service has no usable target, or all that could serve the request are
  /// excluded.
  kNoTarget,
  /// The service has targets, but none holds the model.
  kNoModel,
  /// Targets hold the model, but none is known to hold the adapter.
  kNoAdapter,
  /// All that could serve the request have asked for rest.
  kResting,
  /// All that could serve the request have a limit, and this instance may
  /// not send to them without asking.
  kLimited,
  /// All that could serve the request hold as much as their memory allows.
  kFull,
  /// All targets of the service are in evacuated failure domains.
  kEvacuated,
  /// No target in the allowed regions can serve the request, but others can.
  kNoHome,
};

/// Whether a target of the service may be chosen for a request, or why not.
enum class Availability : std::uint8_t {
  kUsable,
  kModelNotHeld,
  kResting,
  kExcluded,
  kAdapterNotHeld,
  kLimited,
  kFull,
  kEvacuated,
  /// Outside the allowed regions; it could serve the request there.
  kOutsideHomes,
  /// The same, without the model.
  kOutsideHomesWithoutModel,
};

/// The chosen target, with the figures behind the choice.
struct TargetPick {
  PickOutcome outcome = PickOutcome::kNoTarget;
  /// The chosen target; for kLimited the one to ask for, null if asking does
  /// not help.
  TargetPtr target;
  /// Expected time to the first byte plus penalties, in milliseconds.
  double cost_ms = 0;
  int candidates = 0;
  /// Why the request stays in the failure domain or leaves it.
  DomainReason domain = DomainReason::kStays;
  /// For kResting and kFull, and for kLimited once it was asked for: time at
  /// which the caller may come back.
  Instant retry_at{};
};

}  // namespace jackdaw::serving
