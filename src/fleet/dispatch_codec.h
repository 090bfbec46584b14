#pragma once

#include <vector>

#include "gateway/target_registry.h"
#include "proto/dispatch.pb.h"

namespace jackdaw::serving {

/// Writes the notice of a request that was sent to a target. What only the
/// forecast needs is left out for targets without one.
void EncodeDispatch(const Target& target,
                    const RequestMetadata& call,
                    const SentRequest& sent,
                    dispatch::Dispatch& out);
/// Applies the notice of another instance.
void ApplyDispatch(const dispatch::Dispatch& notice,
                   TargetRegistry& registry,
                   Instant now);

void EncodeLoadReport(const LoadReport& load, dispatch::LoadReport& out);
/// Returns the load reports of a message; those that no target can have made
/// are left out.
std::vector<LoadReport> DecodeLoadReports(
    const dispatch::PeerDatagram& message);

}  // namespace jackdaw::serving
