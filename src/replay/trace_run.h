#pragma once

#include "core/error.h"
#include "replay/figures.h"
#include "replay/trace.h"

namespace jackdaw {

/// Policies that a trace is replayed with.
enum class TracePolicy : std::uint8_t {
  /// Round-robin routing and equal shares.
  kBaseline,
  /// What the daemon runs.
  kDaemon,
};

/// Replays a trace through the decision code of eight instances under a
/// virtual clock, against small fakes of the engines.
/// @returns the figures, or kNotFound for an unknown deployment
Result<Figures> RunTrace(const Trace& trace, TracePolicy policy);

}  // namespace jackdaw
