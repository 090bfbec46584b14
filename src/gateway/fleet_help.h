#pragma once

#include <functional>
#include <string>

#include "gateway/target_board.h"

namespace jackdaw::serving {

/// What a request may ask of the other instances.
class FleetHelp {
 public:
  virtual ~FleetHelp() = default;
  /// Asks other instances for units of a workspace's quota.
  /// @param done called once with the units that were given, maybe 0
  virtual void BorrowUnits(std::string workspace,
                           double units,
                           std::function<void(double)> done) = 0;
  /// Tells the other instances of a request that is sent to a target.
  /// @param tokens prompt tokens that the target probably has to read
  virtual void TellSent(const Target& target,
                        const RequestMetadata& call,
                        std::int64_t tokens) = 0;
  /// Tells the leader soon of a model that is asked for and held nowhere.
  virtual void TellMissing() = 0;
  /// Asks for an adapter to be loaded at a target that holds its model.
  /// @param done called once with the target, or null
  virtual void LoadAdapter(std::string service,
                           std::string model,
                           std::string adapter,
                           std::function<void(TargetPtr)> done) = 0;
};

}  // namespace jackdaw::serving
