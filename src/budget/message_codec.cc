#include "budget/message_codec.h"

#include "proto/peer.pb.h"

namespace jackdaw {
namespace {

void Put(const BudgetAsk& ask, peer::Envelope& envelope) {
  auto& to = *envelope.mutable_budget_ask();
  to.set_workspace(ask.workspace);
  to.set_id(ask.id);
  to.set_tokens(ask.tokens);
  to.set_fewest(ask.fewest);
  to.set_units_needed(ask.units_needed);
  to.set_units_held(ask.units_held);
}

void Put(const BudgetGrant& grant, peer::Envelope& envelope) {
  auto& to = *envelope.mutable_budget_grant();
  to.set_workspace(grant.workspace);
  to.set_id(grant.id);
  to.set_tokens(grant.tokens);
  to.set_ready_in_us(grant.ready_in.count());
}

}  // namespace

void ToEnvelope(const BudgetMessage& message, peer::Envelope& envelope) {
  std::visit([&](const auto& body) { Put(body, envelope); }, message.body);
}

std::optional<BudgetAsk> ToBudgetAsk(const peer::Envelope& envelope) {
  if (!envelope.has_budget_ask()) {
    return std::nullopt;
  }
  const auto& from = envelope.budget_ask();
  return BudgetAsk{from.workspace(), from.id(),           from.tokens(),
                   from.fewest(),    from.units_needed(), from.units_held()};
}

std::optional<BudgetGrant> ToBudgetGrant(const peer::Envelope& envelope) {
  if (!envelope.has_budget_grant()) {
    return std::nullopt;
  }
  const auto& from = envelope.budget_grant();
  return BudgetGrant{from.workspace(), from.id(), from.tokens(),
                     Micros(from.ready_in_us())};
}

}  // namespace jackdaw
