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
  Instant& latest_request = answered_requests_[std::string(peer)];
  latest_request = std::max(latest_request, asked_at);
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
  return std::max(until, ValidUntilInOutage(now));
}

// Returns until when the configuration may be acted on because the store is
// down for all instances; a past time if that is not established. It is
// established while a peer of every failure domain, and half of all peers or
// kMaxOutageQuorum of them, have responded to a request of the last
// kConfigValidityTime, and none of them had a newer confirmation. An instance
// without peers always deems the store down.
Instant ConfigValidity::ValidUntilInOutage(Instant now) const {
  std::map<std::string_view, Instant> newest_by_domain;
  std::vector<Instant> request_times;
  std::size_t peer_count = 0;
  for (const auto& instance : instances_) {
    if (instance.name == name_) {
      continue;
    }
    ++peer_count;
    Instant& newest = newest_by_domain[instance.failure_domain];
    const auto found = answered_requests_.find(instance.name);
    if (found != answered_requests_.end()) {
      newest = std::max(newest, found->second);
      request_times.push_back(found->second);
    }
  }
  Instant until = now + kConfigValidityTime;
  for (const auto& [domain, newest] : newest_by_domain) {
    until = std::min(until, newest + kConfigValidityTime);
  }
  const std::size_t needed = std::min(kMaxOutageQuorum, (peer_count + 1) / 2);
  if (request_times.size() < needed) {
    return Instant{};
  }
  if (needed > 0) {
    std::ranges::sort(request_times, std::greater<>());
    until = std::min(until, request_times[needed - 1] + kConfigValidityTime);
  }
  return until;
}

}  // namespace jackdaw
