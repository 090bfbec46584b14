#pragma once

#include "decisions/decision_thread.h"
#include "instance/fleet_view.h"
#include "instance/metrics.h"
#include "instance/run_state.h"
#include "once/intent_store.h"
#include "placement/demand_tracker.h"
#include "placement/placement_agent.h"
#include "quarantine/crash_guard.h"
#include "record/refusal_log.h"
#include "settings/instance_settings.h"
#include "targets/target_client.h"
#include "timeline/event_log.h"

namespace jackdaw {

/// The components of an instance that its services use. All of them outlive
/// the services.
struct InstanceContext {
  const InstanceSettings& settings;
  const MonotonicClock& clock;
  RunState& run_state;
  FleetViewHolder& view;
  Metrics& metrics;
  EventLog& events;
  DecisionThread& decisions;
  TargetClient& relay;
  IntentStore& intents;
  RefusalLog& refusals;
  CrashGuard& crashes;
  DemandTracker& demand;
  PlacementAgent& placement;
};

}  // namespace jackdaw
