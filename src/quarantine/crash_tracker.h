#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "quarantine/suspect.h"

namespace jackdaw {

/// What one instance knows of requests that may crash targets: digests in
/// flight here, and suspects of the whole fleet. Pure.
class CrashTracker {
 public:
  /// Whether a digest may run now. An empty digest is always free.
  DispatchPermit Check(Instant now, const std::string& digest) const;

  void OnDispatched(const std::string& digest, std::string_view target);
  void OnFinished(const std::string& digest, std::string_view target);
  /// Target at which the digest runs here now, empty where it does not run.
  std::string_view RunningTarget(const std::string& digest) const;

  /// Whether the digest runs here, or ran here at a target of which it is not
  /// yet known whether it crashed.
  bool IsRunning(const std::string& digest) const {
    return in_flight_.contains(digest);
  }

  /// The connection of a run broke: until it is known whether the target
  /// crashed, the digest runs only under a claim.
  void OnConnectionBroken(const std::string& digest);
  /// Ends what OnConnectionBroken began.
  void OnBreakResolved(const std::string& digest);

  /// A target crashed with the digest in flight. @param claimed whether the
  /// run held a claim @returns what is known now
  Suspect OnCrash(Instant now,
                  const std::string& digest,
                  std::string_view target,
                  bool claimed,
                  Instant until);
  /// Another instance or the table service told of a suspect.
  void OnNotice(Instant now, const std::string& digest, const Suspect& suspect);
  /// The digest ran whole under a claim.
  void OnCleared(const std::string& digest);

  std::optional<Suspect> Find(Instant now, const std::string& digest) const;
  std::size_t suspects() const { return suspects_.size(); }

 private:
  struct InFlight {
    std::vector<std::string> targets;
    int unresolved_breaks = 0;
  };

  void DropExpired(Instant now);

  std::unordered_map<std::string, InFlight> in_flight_;
  std::unordered_map<std::string, Suspect> suspects_;
};

}  // namespace jackdaw
