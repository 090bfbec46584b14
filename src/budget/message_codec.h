#pragma once

#include <optional>

#include "budget/messages.h"

namespace jackdaw::peer {
class Envelope;
}  // namespace jackdaw::peer

namespace jackdaw {

/// Puts the body of a message about budgets into an envelope.
void ToEnvelope(const BudgetMessage& message, peer::Envelope& envelope);
/// @returns empty when the envelope holds something else
std::optional<BudgetAsk> ToBudgetAsk(const peer::Envelope& envelope);
std::optional<BudgetGrant> ToBudgetGrant(const peer::Envelope& envelope);

}  // namespace jackdaw
