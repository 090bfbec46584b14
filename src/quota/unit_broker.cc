#include "quota/unit_broker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace jackdaw::serving {
namespace {

// Time after which a request is sent once more, as a datagram may be lost; that
// after which a holder's answer is overdue; and that for which the holder is
// then passed over.
constexpr Micros kResendInterval = 35ms;
constexpr Micros kGrantTimeout = 80ms;
constexpr Micros kSilentPeriod = 700ms;
// Longest time for which a request waits for answers, and for the holders to
// gain units.
constexpr Micros kMaxWait = 500ms;
constexpr Micros kMaxUnitsWait = 150ms;
// Time after a refusal for which no request of the workspace waits for units.
constexpr Micros kRefusingPeriod = 300ms;
// Time for which units may be spent after they were requested: the window of a
// quota counts from when they were charged.
constexpr Micros kBorrowedLifetime = 500ms;
// Time for which the late answer to a request that was given up is expected.
constexpr Micros kAbandonedLifetime = 5s;
// Time for which an answer tells what the holder has: parts may move.
constexpr Micros kEstimateLifetime = 2s;
// A holder with less than this is not asked.
constexpr double kMinUnits = 1;
// Limits of the time after which a caller may come back.
constexpr double kMinRetrySeconds = 0.05;
constexpr double kMaxRetrySeconds = 30;
// Rounding errors of sums of units.
constexpr double kRounding = 1e-6;

double Seconds(Micros span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void UnitBroker::SetMembers(std::vector<std::string> names) {
  members_ = std::move(names);
  for (auto& [workspace, queue] : queues_) {
    queue.holders.clear();
  }
}

std::uint64_t UnitBroker::Charge(std::string_view workspace,
                                 double units,
                                 Instant now) {
  const std::uint64_t ticket = next_ticket_++;
  if (!quotas_.IsLimited(workspace)) {
    actions_.decisions.push_back({ticket, {true, {}, now}});
    return ticket;
  }
  const std::string name(workspace);
  WorkspaceQueue& queue = queues_[name];
  queue.waiting.push_back({ticket, units, now + kMaxWait});
  Advance(name, queue, now);
  return ticket;
}

void UnitBroker::Refund(const QuotaCharge& charge, Instant now) {
  quotas_.Refund(charge.workspace, charge.own_units, charge.taken_at, now);
  for (const BorrowedUnits& part : charge.borrowed) {
    Return(part);
  }
}

void UnitBroker::Return(const BorrowedUnits& part) {
  if (part.units > 0) {
    actions_.returns.push_back(
        {part.holder, part.id, random_.Next(), part.units});
  }
}

// Only the answer to a pending request brings units, and only one that was
// given up is returned: an answer that arrives twice does neither.
void UnitBroker::OnGrant(const UnitsGrant& grant, Instant now) {
  for (auto& [workspace, queue] : queues_) {
    if (!queue.pending || queue.pending->request.id != grant.id) {
      continue;
    }
    const PendingRequest pending = *queue.pending;
    queue.pending.reset();
    queue.estimates[pending.request.holder] = {grant.left, now};
    if (grant.units > 0) {
      queue.borrowed.push_back({pending.request.holder, grant.id, grant.units,
                                pending.sent_at + kBorrowedLifetime});
    }
    Advance(workspace, queue, now);
    return;
  }
  const auto abandoned = abandoned_.find(grant.id);
  if (abandoned != abandoned_.end()) {
    Return({abandoned->second.holder, grant.id, grant.units, now});
    silent_until_.erase(abandoned->second.holder);
    abandoned_.erase(abandoned);
  }
}

void UnitBroker::OnTime(Instant now) {
  for (auto& [workspace, queue] : queues_) {
    if (queue.resume_at <= now) {
      queue.resume_at = Instant::max();
      queue.asked.clear();
      Advance(workspace, queue, now);
    }
    if (queue.pending && queue.pending->resend_at <= now) {
      queue.pending->resend_at = Instant::max();
      actions_.requests.push_back(queue.pending->request);
    }
    if (queue.pending && queue.pending->timeout_at <= now) {
      const UnitsRequest& request = queue.pending->request;
      silent_until_[request.holder] = now + kSilentPeriod;
      abandoned_[request.id] = {request.holder, now};
      queue.pending.reset();
      ++timeouts_;
      Advance(workspace, queue, now);
    }
  }
  std::erase_if(abandoned_, [&](const auto& item) {
    return now - item.second.at > kAbandonedLifetime;
  });
}

Instant UnitBroker::NextTimeout() const {
  Instant next = Instant::max();
  for (const auto& [workspace, queue] : queues_) {
    next = std::min(next, queue.resume_at);
    if (queue.pending) {
      next =
          std::min({next, queue.pending->resend_at, queue.pending->timeout_at});
    }
  }
  return next;
}

UnitBroker::Actions UnitBroker::TakeActions() {
  return std::exchange(actions_, {});
}

double UnitBroker::Borrowed(const WorkspaceQueue& queue) {
  double units = 0;
  for (const BorrowedUnits& part : queue.borrowed) {
    units += part.units;
  }
  return units;
}

// Returns what was borrowed and may be used only up to a time.
void UnitBroker::ReturnBorrowed(WorkspaceQueue& queue, Instant lapsed_before) {
  std::erase_if(queue.borrowed, [&](const BorrowedUnits& part) {
    if (part.usable_until >= lapsed_before) {
      return false;
    }
    Return(part);
    return true;
  });
}

// Decides on the waiting requests as far as the units go; then requests more,
// or refuses the first.
void UnitBroker::Advance(const std::string& workspace,
                         WorkspaceQueue& queue,
                         Instant now) {
  ReturnBorrowed(queue, now);
  while (!queue.waiting.empty() && !queue.pending &&
         queue.resume_at == Instant::max()) {
    const Waiting& first = queue.waiting.front();
    const double missing =
        first.units - Borrowed(queue) - quotas_.Level(workspace, now).balance;
    if (missing <= kRounding) {
      Grant(workspace, queue, now);
      continue;
    }
    LookUpHolders(workspace, queue);
    const auto holder = ChooseHolder(queue, missing, now);
    if (holder && now < first.give_up_at) {
      SendRequest(workspace, queue, *holder, now);
      continue;
    }
    const Instant units_at = UnitsAt(workspace, queue, missing, now);
    if (!WaitForUnits(queue, units_at, now)) {
      Refuse(queue, missing, units_at, now);
    }
  }
  if (queue.waiting.empty()) {
    ReturnBorrowed(queue, Instant::max());
  }
}

// Borrowed units are spent first, as they cannot be kept.
void UnitBroker::Grant(const std::string& workspace,
                       WorkspaceQueue& queue,
                       Instant now) {
  const Waiting first = queue.waiting.front();
  queue.waiting.pop_front();
  queue.asked.clear();
  QuotaCharge charge;
  charge.workspace = workspace;
  charge.taken_at = now;
  double missing = first.units;
  while (missing > kRounding && !queue.borrowed.empty()) {
    BorrowedUnits& part = queue.borrowed.front();
    BorrowedUnits used = part;
    used.units = std::min(missing, part.units);
    part.units -= used.units;
    missing -= used.units;
    charge.borrowed.push_back(std::move(used));
    if (part.units <= kRounding) {
      queue.borrowed.pop_front();
    }
  }
  charge.own_units = quotas_.Take(workspace, missing, now);
  actions_.decisions.push_back({first.ticket, {true, std::move(charge), now}});
}

// Returns the time at which all holders together will have the units.
// @param missing units that this instance lacks
Instant UnitBroker::UnitsAt(const std::string& workspace,
                            const WorkspaceQueue& queue,
                            double missing,
                            Instant now) const {
  for (const std::string& holder : queue.holders) {
    missing -= EstimatedBalance(queue, holder, now).value_or(0);
  }
  const double rate = std::max(1.0, quotas_.FleetRate(workspace));
  const double seconds =
      std::clamp(missing / rate, kMinRetrySeconds, kMaxRetrySeconds);
  return now + Micros(static_cast<std::int64_t>(seconds * 1e6));
}

// Lets the first request wait for units, once.
// @returns false if it is not to wait
bool UnitBroker::WaitForUnits(WorkspaceQueue& queue,
                              Instant units_at,
                              Instant now) const {
  Waiting& first = queue.waiting.front();
  if (first.waited || units_at - now > kMaxUnitsWait ||
      now - queue.refused_at < kRefusingPeriod) {
    return false;
  }
  first.waited = true;
  queue.resume_at = units_at;
  return true;
}

// @param missing units that this instance lacks
void UnitBroker::Refuse(WorkspaceQueue& queue,
                        double missing,
                        Instant units_at,
                        Instant now) {
  ChargeOutcome outcome;
  outcome.retry_at = units_at;
  outcome.missing = missing;
  outcome.holders_asked = queue.asked.size();
  actions_.decisions.push_back(
      {queue.waiting.front().ticket, std::move(outcome)});
  queue.waiting.pop_front();
  queue.asked.clear();
  queue.refused_at = now;
}

void UnitBroker::SendRequest(const std::string& workspace,
                             WorkspaceQueue& queue,
                             const std::string& holder,
                             Instant now) {
  // All, though this instance has some: what it has stays for later requests,
  // while the fullest holder would lose what it gains.
  double units = -Borrowed(queue);
  for (const Waiting& waiting : queue.waiting) {
    units += waiting.units;
  }
  queue.asked.insert(holder);
  const UnitsRequest request{holder, random_.Next(), workspace, units};
  queue.pending = {request, now, now + kResendInterval, now + kGrantTimeout};
  actions_.requests.push_back(request);
}

// Returns the units that a holder probably has; nothing if it is not known.
std::optional<double> UnitBroker::EstimatedBalance(const WorkspaceQueue& queue,
                                                   const std::string& holder,
                                                   Instant now) const {
  const auto silent = silent_until_.find(holder);
  if (silent != silent_until_.end() && now < silent->second) {
    return 0;
  }
  const auto found = queue.estimates.find(holder);
  if (found == queue.estimates.end() ||
      now - found->second.at > kEstimateLifetime) {
    return std::nullopt;
  }
  const QuotaLevel& level = found->second.level;
  const double grown =
      level.balance + level.rate * Seconds(now - found->second.at);
  return std::min(level.capacity, grown);
}

// Chooses the holder that has most, and none if all together have too little.
// Holders whose balance is not known come first, in random order.
std::optional<std::string> UnitBroker::ChooseHolder(const WorkspaceQueue& queue,
                                                    double missing,
                                                    Instant now) {
  constexpr double kUnknown = std::numeric_limits<double>::infinity();
  double sum = 0;
  double most = kMinUnits;
  std::uint64_t equal = 0;
  std::optional<std::string> chosen;
  for (const std::string& holder : queue.holders) {
    if (queue.asked.contains(holder)) {
      continue;
    }
    const double balance =
        EstimatedBalance(queue, holder, now).value_or(kUnknown);
    sum += balance;
    if (balance < most) {
      continue;
    }
    equal = balance > most ? 1 : equal + 1;
    most = balance;
    if (random_.OneIn(equal)) {
      chosen = holder;
    }
  }
  return sum < missing ? std::nullopt : chosen;
}

void UnitBroker::LookUpHolders(const std::string& workspace,
                               WorkspaceQueue& queue) {
  if (!queue.holders.empty()) {
    return;
  }
  for (const std::size_t i : RankHolders(PoolOf(workspace), members_)) {
    if (members_[i] != self_) {
      queue.holders.push_back(members_[i]);
    }
  }
}

}  // namespace jackdaw::serving
