#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/time.h"

namespace jackdaw {

/// Requests that a peer spend tokens of its share for the sender, and transfer
/// part of the share itself.
struct BudgetAsk {
  std::string workspace;
  /// Matches the grant to this request; 0 if no grant is expected.
  std::uint64_t id = 0;
  /// Tokens requested; 0 for none.
  std::int64_t tokens = 0;
  /// Minimum that is of use: the tokens that the first waiting request lacks.
  std::int64_t fewest = 0;
  /// Units that the sender's demand needs, and units that it holds. No transfer
  /// is requested if 0 are needed.
  std::int64_t units_needed = 0;
  std::int64_t units_held = 0;
};

/// Response to a BudgetAsk: tokens taken from the granting instance's bucket.
/// They are lost unless the requester receives them within kGrantTimeout of its
/// request.
struct BudgetGrant {
  std::string workspace;
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
  /// If no tokens were granted, estimated time until they can be; Micros::max()
  /// if the share is too small.
  Micros ready_in{};
};

/// Message about budgets to a peer.
struct BudgetMessage {
  /// Name of the receiver.
  std::string peer;
  std::variant<BudgetAsk, BudgetGrant> body;
};

}  // namespace jackdaw
