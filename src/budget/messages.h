#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/time.h"

namespace jackdaw {

/// Asks a peer to spend tokens of its share for the asker, and for part of
/// the share itself.
struct BudgetAsk {
  std::string workspace;
  std::uint64_t id = 0;
  /// Tokens wanted, and the fewest that are of use; 0 for none.
  std::int64_t tokens = 0;
  std::int64_t fewest = 0;
  /// Units that the asker's demand needs, and those it has; 0 needed for none.
  std::int64_t units_needed = 0;
  std::int64_t units_held = 0;
};

/// Answer to a BudgetAsk: tokens taken from the sender's bucket. They are
/// lost unless the asker uses them in time.
struct BudgetGrant {
  std::string workspace;
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
  /// Where nothing was granted, time until it could be.
  Micros ready_in{};
};

/// A message to a peer.
struct BudgetMessage {
  std::string peer;
  std::variant<BudgetAsk, BudgetGrant> body;
};

}  // namespace jackdaw
