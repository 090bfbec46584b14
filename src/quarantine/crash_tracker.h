#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "quarantine/suspect.h"

namespace jackdaw {

/// Tracks requests that may crash targets: those in flight at this instance and
/// the suspects of the whole fleet. A request is identified by its digest; one
/// with an empty digest is not tracked. Pure.
class CrashTracker {
 public:
  /// Returns whether a digest may be dispatched. An empty one always may.
  DispatchPermit Check(Instant now, const std::string& digest) const;

  void OnDispatched(const std::string& digest, std::string_view target);
  void OnFinished(const std::string& digest, std::string_view target);
  /// Returns a target at which this instance runs the digest; empty if none.
  std::string_view RunningTarget(const std::string& digest) const;

  /// Whether this instance runs the digest, or ran it at a target of which it
  /// is not yet known whether it crashed.
  bool IsRunning(const std::string& digest) const {
    return in_flight_.contains(digest);
  }

  /// Handles a broken connection. The digest needs a claim to run until it is
  /// known whether the target crashed.
  void OnConnectionBroken(const std::string& digest);
  /// Ends the effect of one OnConnectionBroken call, once the cause is known.
  void OnDisconnectAssessed(const std::string& digest);

  /// Records that a target crashed with the digest in flight.
  /// @param claimed whether the attempt held a claim
  /// @param until when the record expires
  /// @returns the updated record
  Suspect OnCrash(Instant now,
                  const std::string& digest,
                  std::string_view target,
                  bool claimed,
                  Instant until);
  /// Merges a suspect received from a peer or read from the table service.
  void OnNotice(Instant now, const std::string& digest, const Suspect& suspect);
  /// Removes a suspect that ran to its end under a claim, unless quarantined.
  void OnCleared(const std::string& digest);

  /// Returns the record of a suspect, unless it has expired.
  std::optional<Suspect> Find(Instant now, const std::string& digest) const;
  std::size_t suspects() const { return suspects_.size(); }

 private:
  struct InFlight {
    std::vector<std::string> targets;
    // Broken connections of which it is not known whether they were crashes.
    int unassessed_disconnects = 0;
  };

  void DropExpired(Instant now);

  std::unordered_map<std::string, InFlight> in_flight_;
  std::unordered_map<std::string, Suspect> suspects_;
};

}  // namespace jackdaw
