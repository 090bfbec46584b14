#include "budget/confirmation.h"

#include <algorithm>

#include "budget/terms.h"

namespace jackdaw {
namespace {

// Age of the newest confirmation from which peers are asked.
constexpr Micros kAskPeersTime = 2s;
// Most peers that have to answer for an outage to be believed.
constexpr std::size_t kOutagePeers = 8;

}  // namespace

void Confirmation::OnConfirmed(Instant at) {
  confirmed_at_ = std::max(confirmed_at_, at);
}

void Confirmation::OnReply(std::string_view peer,
                           Instant asked_at,
                           Instant confirmed_at) {
  OnConfirmed(confirmed_at);
  Instant& answered = answered_[std::string(peer)];
  answered = std::max(answered, asked_at);
}

bool Confirmation::NeedsPeers(Instant now) const {
  return now - confirmed_at_ >= kAskPeersTime;
}

Instant Confirmation::Until(Instant now) const {
  const Instant until = confirmed_at_ + kConfirmTime;
  // Before its first read an instance has nothing to act on.
  if (until > now || confirmed_at_ == Instant{}) {
    return until;
  }
  return std::max(until, OutageUntil(now));
}

// An outage for all is believed when peers of every failure domain, and half
// of all peers or enough of them, answered lately, and still no confirmation
// has come from any.
Instant Confirmation::OutageUntil(Instant now) const {
  std::map<std::string_view, Instant> domains;
  std::vector<Instant> answers;
  std::size_t others = 0;
  for (const auto& instance : instances_) {
    if (instance.name == name_) {
      continue;
    }
    ++others;
    Instant& newest = domains[instance.failure_domain];
    const auto found = answered_.find(instance.name);
    if (found != answered_.end()) {
      newest = std::max(newest, found->second);
      answers.push_back(found->second);
    }
  }
  Instant until = now + kConfirmTime;
  for (const auto& [domain, newest] : domains) {
    until = std::min(until, newest + kConfirmTime);
  }
  const std::size_t needed = std::min(kOutagePeers, (others + 1) / 2);
  if (answers.size() < needed) {
    return Instant{};
  }
  if (needed > 0) {
    std::ranges::sort(answers, std::greater<>());
    until = std::min(until, answers[needed - 1] + kConfirmTime);
  }
  return until;
}

}  // namespace jackdaw
