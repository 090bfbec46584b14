#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "membership/instance_entry.h"

namespace jackdaw {

/// Determines until when an instance may act on its configuration. A read of
/// the store that finds no newer version confirms it for kConfigValidityTime.
/// A confirmation that a peer reports counts as well. Without a confirmation
/// the instance stops acting on the configuration, unless the peers that
/// respond show that the store is down for all instances: then the
/// configuration cannot change either.
class ConfigValidity {
 public:
  explicit ConfigValidity(std::string name) : name_(std::move(name)) {}

  /// Records that the configuration in force was the newest at time `at`.
  void OnConfirmed(Instant at);
  /// Records the response of a peer. @param asked_at time of the request
  /// @param confirmed_at latest time at which the peer knew the same
  /// configuration to be the newest
  void OnPeerReply(std::string_view peer,
                   Instant asked_at,
                   Instant confirmed_at);
  void OnInstances(const std::vector<InstanceEntry>& instances) {
    instances_ = instances;
  }

  /// Latest time at which the configuration was known to be the newest.
  Instant confirmed_at() const { return confirmed_at_; }
  /// Returns whether peers are to be probed for a newer confirmation.
  bool NeedsPeerProbes(Instant now) const;
  /// Returns the deadline for acting on the configuration.
  Instant ValidUntil(Instant now) const;

 private:
  Instant ValidUntilInOutage(Instant now) const;

  std::string name_;
  std::vector<InstanceEntry> instances_;
  Instant confirmed_at_{};
  // Send time of the latest request that each peer has responded to.
  std::map<std::string, Instant, std::less<>> answered_requests_;
};

}  // namespace jackdaw
