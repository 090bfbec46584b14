#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "gateway/target_registry.h"
#include "quota/unit_broker.h"

namespace jackdaw::serving {

/// Whether a request may be sent to a target that has named a limit.
struct SendPermission {
  bool granted = false;
  /// Time by which the request must have left if it is; applies to targets
  /// whose requests of each second are bounded.
  Instant use_until = Instant::max();
  /// Time at which the caller may come back if it is not.
  Instant retry_at{};
};

/// Calls to the other instances on behalf of a request.
class FleetClient {
 public:
  virtual ~FleetClient() = default;
  /// Charges units of a workspace's quota, here or at other instances.
  /// @param done called once, perhaps before this returns
  virtual void ChargeUnits(std::string_view workspace,
                           double units,
                           std::function<void(ChargeOutcome)> done) = 0;
  /// Returns the units of a request that has not run.
  virtual void RefundUnits(const QuotaCharge& charge) = 0;
  /// Notifies the other instances of a request that is sent to a target.
  virtual void AnnounceDispatch(const Target& target,
                                const RequestMetadata& call,
                                const SentRequest& sent) = 0;
  /// Notifies the other instances of a request that is sent to a target whose
  /// requests of each second are bounded.
  /// @param granted the leader was asked for it
  virtual void AnnounceSend(const Target& target, bool granted) = 0;
  /// Sends the next heartbeat to the leader now instead of at the next
  /// interval: a model that no target holds has come into demand, or a target
  /// has announced that it leaves.
  virtual void SendHeartbeatNow() = 0;
  /// Requests that an adapter is loaded at a target that holds its model.
  /// @param done called once with the target, or with null on failure
  virtual void LoadAdapter(std::string service,
                           std::string model,
                           std::string adapter,
                           std::function<void(TargetPtr)> done) = 0;
  /// Asks the leader for permission to send one request to a target that has
  /// named a limit.
  /// @param done called once
  virtual void RequestSend(TargetPtr target,
                           std::function<void(SendPermission)> done) = 0;
};

}  // namespace jackdaw::serving
