#include "budget/config_validity.h"

#include <algorithm>

#include "budget/timing.h"

namespace jackdaw {
namespace {

// Age of the latest confirmation from which peers are probed.
constexpr Micros kProbeAge = 2s;
// Upper bound on the number of peers whose responses establish an outage.
constexpr std::size_t kMaxOutageQuorum = 8;

}  // namespace

void ConfigValidity::OnConfirmed(Instant at) {
  confirmed_at_ = std::max(confirmed_at_, at);
}

void ConfigValidity::OnPeerReply(std::string_view peer,
                                 Instant asked_at,
                                 Instant confirmed_at) {
  OnConfirmed(confirmed_at);
  Instant& answered_ask = answered_[std::string(peer)];
  answered_ask = std::max(answered_ask, asked_at);
}

bool ConfigValidity::NeedsPeerProbes(Instant now) const {
  return now - confirmed_at_ >= kProbeAge;
}

Instant ConfigValidity::ValidUntil(Instant now) const {
  const Instant until = confirmed_at_ + kConfigValidityTime;
  // Before its first read an instance has no configuration to act on.
  if (until > now || confirmed_at_ == Instant{}) {
    return until;
  }
  return std::max(until, OutageUntil(now));
}

// Returns the deadline if the store is down for all instances. That holds when
// peers of every failure domain, and half of all peers or kMaxOutageQuorum of
// them, have responded to a request of the last kConfigValidityTime, and none
// of them had a newer confirmation.
Instant ConfigValidity::OutageUntil(Instant now) const {
  std::map<std::string_view, Instant> domains;
  std::vector<Instant> answers;
  std::size_t peer_count = 0;
  for (const auto& instance : instances_) {
    if (instance.name == name_) {
      continue;
    }
    ++peer_count;
    Instant& newest = domains[instance.failure_domain];
    const auto found = answered_.find(instance.name);
    if (found != answered_.end()) {
      newest = std::max(newest, found->second);
      answers.push_back(found->second);
    }
  }
  Instant until = now + kConfigValidityTime;
  for (const auto& [domain, newest] : domains) {
    until = std::min(until, newest + kConfigValidityTime);
  }
  const std::size_t needed = std::min(kMaxOutageQuorum, (peer_count + 1) / 2);
  if (answers.size() < needed) {
    return Instant{};
  }
  if (needed > 0) {
    std::ranges::sort(answers, std::greater<>());
    until = std::min(until, answers[needed - 1] + kConfigValidityTime);
  }
  return until;
}

}  // namespace jackdaw
