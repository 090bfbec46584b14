#pragma once

#include <optional>

#include "budget/messages.h"

namespace jackdaw::peer {
class Envelope;
}  // namespace jackdaw::peer

namespace jackdaw {

/// Writes a budget message into the body of an envelope.
void ToEnvelope(const BudgetMessage& message, peer::Envelope& envelope);
/// Returns the message in an envelope; empty if its body is of another type.
std::optional<BudgetAsk> ToBudgetAsk(const peer::Envelope& envelope);
std::optional<BudgetGrant> ToBudgetGrant(const peer::Envelope& envelope);

}  // namespace jackdaw
