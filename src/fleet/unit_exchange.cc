#include "fleet/unit_exchange.h"

#include <algorithm>

#include "core/log.h"

namespace jackdaw::serving {
namespace {

constexpr double kMilli = 1000;
// Most units that one message may name; more is malformed.
constexpr std::uint64_t kMaxMilliUnits = 1'000'000'000'000;

std::uint64_t ToMilli(double units) {
  constexpr auto kMost = static_cast<double>(kMaxMilliUnits - 1);
  return static_cast<std::uint64_t>(std::clamp(units * kMilli, 0.0, kMost));
}

double FromMilli(std::uint64_t milli) {
  return static_cast<double>(milli) / kMilli;
}

}  // namespace

UnitExchange::UnitExchange(boost::asio::io_context& context,
                           const BootClock& clock,
                           const FleetAgent& agent,
                           LocalQuotas& quotas,
                           PeerDatagrams& datagrams,
                           std::string self)
    : clock_(clock),
      agent_(agent),
      quotas_(quotas),
      datagrams_(datagrams),
      self_(std::move(self)),
      broker_(
          quotas,
          self_,
          static_cast<std::uint64_t>(clock.Now().time_since_epoch().count()) ^
              std::hash<std::string>{}(self_)),
      timer_(context) {}

// The leader gives parts to live instances that are not draining.
void UnitExchange::UpdateMembers() {
  if (view_id_ == agent_.view().id) {
    return;
  }
  view_id_ = agent_.view().id;
  addresses_.clear();
  std::vector<std::string> names;
  for (const FleetMember& member : agent_.view().members) {
    addresses_[member.name] = member.peer;
    if (member.state != MemberState::kDraining) {
      names.push_back(member.name);
    }
  }
  broker_.SetMembers(std::move(names));
}

void UnitExchange::Charge(std::string_view workspace, double units, Done done) {
  UpdateMembers();
  const std::uint64_t ticket = broker_.Charge(workspace, units, clock_.Now());
  waiting_.emplace(ticket, std::move(done));
  Perform();
}

void UnitExchange::Refund(const QuotaCharge& charge) {
  broker_.Refund(charge, clock_.Now());
  Perform();
}

void UnitExchange::OnMessage(const dispatch::PeerDatagram& message,
                             const Endpoint& sender) {
  const Instant now = clock_.Now();
  dispatch::PeerDatagram reply;
  for (const auto& request : message.units_requests()) {
    Lend(request, sender, reply);
  }
  if (reply.units_grants_size() > 0) {
    datagrams_.Send(reply, sender);
  }
  for (const auto& grant : message.units_grants()) {
    if (grant.milli_units() > kMaxMilliUnits) {
      ++counters_.refused;
      Log(LogLevel::kWarn, "units_refused",
          {{"sender", ToText(sender)}, {"reason", "grant out of range"}});
      continue;
    }
    broker_.OnGrant(
        {grant.id(),
         FromMilli(grant.milli_units()),
         {FromMilli(grant.milli_balance()), FromMilli(grant.milli_rate()),
          FromMilli(grant.milli_capacity())}},
        now);
  }
  for (const auto& units : message.units_returns()) {
    const Loan loan =
        loans_.Return({ToText(sender), units.id()}, units.return_id(),
                      FromMilli(units.milli_units()));
    quotas_.Refund(loan.workspace, loan.units, loan.lent_at, now);
  }
  Perform();
}

// Charges units here for a request at the sender.
void UnitExchange::Lend(const dispatch::UnitsRequest& request,
                        const Endpoint& sender,
                        dispatch::PeerDatagram& reply) {
  const Instant now = clock_.Now();
  if (request.milli_units() > kMaxMilliUnits ||
      !quotas_.IsLimited(request.workspace())) {
    ++counters_.refused;
    Log(LogLevel::kWarn, "units_refused",
        {{"sender", ToText(sender)},
         {"workspace", request.workspace()},
         {"reason", request.milli_units() > kMaxMilliUnits
                        ? "request out of range"
                        : "workspace not limited here"}});
    return;
  }
  loans_.Expire(now);
  const LoanBook::Key key{ToText(sender), request.id()};
  const Loan* known = loans_.Find(key);
  double units = known == nullptr ? 0 : known->units;
  if (known == nullptr) {
    const double asked = FromMilli(request.milli_units());
    units = quotas_.Take(request.workspace(), asked, now);
    if (units > 0) {
      loans_.Add(key, {request.workspace(), units, now});
    }
    ++counters_.served;
    counters_.short_served += units < asked ? 1 : 0;
  }
  const QuotaLevel left = quotas_.Level(request.workspace(), now);
  auto& grant = *reply.add_units_grants();
  grant.set_id(request.id());
  grant.set_milli_units(ToMilli(units));
  grant.set_milli_balance(ToMilli(left.balance));
  grant.set_milli_rate(ToMilli(left.rate));
  grant.set_milli_capacity(ToMilli(left.capacity));
}

// Carries out the broker's actions. A decision may lead to further ones.
void UnitExchange::Perform() {
  for (;;) {
    UnitBroker::Actions actions = broker_.TakeActions();
    for (const UnitsRequest& request : actions.requests) {
      ++counters_.requested;
      dispatch::PeerDatagram message;
      auto& fields = *message.add_units_requests();
      fields.set_id(request.id);
      fields.set_workspace(request.workspace);
      // Rounded up, so that what is charged suffices.
      fields.set_milli_units(ToMilli(request.units) + 1);
      Send(request.holder, message);
    }
    for (const UnitsReturn& units : actions.returns) {
      dispatch::PeerDatagram message;
      auto& fields = *message.add_units_returns();
      fields.set_id(units.id);
      fields.set_return_id(units.return_id);
      fields.set_milli_units(ToMilli(units.units));
      Send(units.holder, message);
    }
    if (actions.decisions.empty()) {
      break;
    }
    for (UnitBroker::Decision& decision : actions.decisions) {
      const auto found = waiting_.find(decision.ticket);
      if (found == waiting_.end()) {
        continue;
      }
      const Done done = std::move(found->second);
      waiting_.erase(found);
      done(std::move(decision.outcome));
    }
  }
  SetTimer();
}

void UnitExchange::Send(const std::string& holder,
                        const dispatch::PeerDatagram& message) {
  const auto address = addresses_.find(holder);
  if (address != addresses_.end()) {
    datagrams_.Send(message, address->second);
  }
}

void UnitExchange::SetTimer() {
  const Instant at = broker_.NextTimeout();
  if (at == timer_at_) {
    return;
  }
  timer_at_ = at;
  timer_.cancel();
  if (at == Instant::max()) {
    return;
  }
  timer_.expires_after(std::max(Micros(0), at - clock_.Now()));
  timer_.async_wait([this](const auto& failure) {
    if (failure) {
      return;
    }
    timer_at_ = Instant::max();
    broker_.OnTime(clock_.Now());
    counters_.unanswered = broker_.timeouts();
    Perform();
  });
}

}  // namespace jackdaw::serving
