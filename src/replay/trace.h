#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/random.h"

namespace jackdaw {

/// What happens at one moment of a recorded trace.
struct TraceEvent {
  enum class Kind : std::uint8_t {
    kRequest,
    /// A target ends; the requests on it fail.
    kTargetDown,
    kTargetUp,
    /// The target list reports the target as leaving.
    kTargetLeaving,
    kKeyWithdrawn,
    kInstanceDown,
  };
  Kind kind = Kind::kRequest;
  /// Milliseconds since the start of the trace.
  std::int64_t at_ms = 0;
  /// Target, instance or workspace that the event concerns.
  std::string name;
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  /// Instance that the request comes in at.
  std::int64_t instance = 0;
};

/// Shape of a deployment that traces are generated for.
struct TraceShape {
  std::string_view deployment;
  std::int64_t engines = 0;
  std::int64_t domains = 0;
  std::int64_t models = 0;
  std::int64_t workspaces = 0;
  std::int64_t requests_per_s = 0;
};

/// Shapes of both customers. @returns null for an unknown deployment
const TraceShape* FindTraceShape(std::string_view deployment);

/// A whole trace: the deployment it belongs to and its events in time order.
struct Trace {
  std::string deployment;
  std::vector<TraceEvent> events;
};

/// Generates a trace: each model's demand moves up to tenfold and back, the
/// first workspace is the largest, and a fault strikes in the middle.
/// @param fault `none`, `target-down`, `domain-down`, `target-leaving`,
/// `key-withdrawn`, `instance-down` or `burst` (a workspace sends five times)
Trace GenerateTrace(const TraceShape& shape,
                    std::string_view fault,
                    std::int64_t seconds,
                    std::uint64_t seed);

/// JSON lines: a first line that names the deployment, then one event a line.
std::string EncodeTrace(const Trace& trace);
Result<Trace> DecodeTrace(std::string_view text);

}  // namespace jackdaw
