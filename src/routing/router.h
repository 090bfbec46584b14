#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"
#include "core/time.h"
#include "routing/target_report.h"

namespace jackdaw {

/// What a request needs of a target.
struct RouteNeed {
  /// Model, empty for a plain service.
  std::string_view model;
  /// Plain service, empty for a model.
  std::string_view service;
  /// Targets already tried for this request.
  std::span<const std::string> excluded;
  /// Target to take where it can serve the request; empty for none.
  std::string_view preferred = {};
};

/// A target picked for a request.
struct PickedTarget {
  std::string name;
  std::string address;
  /// Incarnation that the target last reported, 0 where not known.
  std::int64_t incarnation = 0;
};

/// Chooses the target of each request: the one with the least expected work
/// among those that can serve it, from the last report plus own dispatches.
class Router {
 public:
  void OnConfig(const FleetConfig& config);
  void OnReport(Instant now,
                std::string_view target,
                const TargetReport& report);
  /// A report or a connection failed.
  void OnFailure(Instant now, std::string_view target);

  /// @returns the target, or nothing where none can serve the request now
  std::optional<PickedTarget> Pick(Instant now, const RouteNeed& need) const;

  void OnDispatched(std::string_view target);
  void OnFinished(std::string_view target);

  /// Names and addresses of all configured targets, for polling.
  std::vector<PickedTarget> Targets() const;

 private:
  struct State {
    std::string address;
    TargetKind kind = TargetKind::kEngine;
    std::int64_t outstanding = 0;
    std::int64_t reported_work = 0;
    std::int64_t incarnation = 0;
    Instant down_until{};
    bool leaving = false;
    bool reported = false;
    std::vector<std::string> models;
  };

  std::map<std::string, State, std::less<>> targets_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_model_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_service_;
};

}  // namespace jackdaw
