#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "membership/instance_entry.h"

namespace jackdaw {

/// Judges until when an instance may act on its configuration without another
/// word. A read of the store, or a peer's that the peer tells of, confirms it
/// for a few seconds. Without one, an instance stops, unless the peers that
/// answer it show that the store is down for all: then nobody can change the
/// configuration either.
class ConfigValidity {
 public:
  explicit ConfigValidity(std::string name) : name_(std::move(name)) {}

  /// The configuration in force was the newest at this moment.
  void OnConfirmed(Instant at);
  /// A peer answered. @param asked_at when it was asked
  /// @param confirmed_at newest moment at which the peer knew that the same
  /// configuration was the newest
  void OnPeerReply(std::string_view peer,
                   Instant asked_at,
                   Instant confirmed_at);
  void OnInstances(const std::vector<InstanceEntry>& instances) {
    instances_ = instances;
  }

  /// Newest moment at which the configuration was known to be the newest.
  Instant confirmed_at() const { return confirmed_at_; }
  /// Whether peers are to be asked.
  bool NeedsPeerProbes(Instant now) const;
  /// Deadline for acting on the configuration.
  Instant ValidUntil(Instant now) const;

 private:
  Instant OutageUntil(Instant now) const;

  std::string name_;
  std::vector<InstanceEntry> instances_;
  Instant confirmed_at_{};
  // When each peer that answered had been asked.
  std::map<std::string, Instant, std::less<>> answered_;
};

}  // namespace jackdaw
