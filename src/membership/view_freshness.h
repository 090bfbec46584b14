#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace jackdaw {

/// Longest age of the view at which a key may still be used. Below the five
/// seconds in which a withdrawal takes effect, by the time that open streams
/// take to notice.
inline constexpr Micros kFreshnessBound = 4500ms;

/// What a peer says of its view in answer to a question.
struct PeerEvidence {
  /// Version that the peer has in force.
  std::uint64_t version = 0;
  /// Whether the peer's version is confirmed, and how long ago it was.
  bool confirmed = false;
  Micros confirmed_age{};
  /// Every version that the peer wrote to the store is at most `version`.
  bool writes_settled = false;
};

/// Decides whether the view of the configuration is fresh enough to use keys.
/// A moment is confirmed when no newer version was committed before it. It is
/// confirmed by a read of the store; by a peer whose own version is confirmed;
/// or by every other instance saying that it has written no newer version, as
/// only instances write. All moments are of the own clock: a confirmation
/// counts from when it was asked for, whenever the answer comes. Pure.
class ViewFreshness {
 public:
  /// Version in force here.
  void OnVersion(std::uint64_t version);

  /// Names of all other instances that may write the configuration.
  void OnMembers(std::vector<std::string> others);

  /// The store showed a version. @param asked_at moment before the read
  void OnStoreRead(Instant asked_at, std::uint64_t version);

  /// A peer answered. @param asked_at moment before the question was sent
  void OnPeerAnswer(std::string_view peer,
                    Instant asked_at,
                    const PeerEvidence& evidence);

  /// Newest version that this instance may itself have written.
  void OnOwnWrites(std::uint64_t newest) { own_newest_ = newest; }

  /// What to tell a peer that asks.
  PeerEvidence Evidence(Instant now) const;

  /// Latest confirmed moment; the epoch when there is none.
  Instant ConfirmedAt() const;

  /// Until when keys may be used, as far as is known now.
  Instant ValidUntil() const {
    return ConfirmedAt() == Instant{} ? Instant{}
                                      : ConfirmedAt() + kFreshnessBound;
  }

  std::uint64_t version() const { return version_; }

  /// Peers to ask in this round; none while the store confirms the view.
  std::vector<std::string> PeersToAsk(Instant now);

 private:
  Instant VouchedAt() const;

  std::uint64_t version_ = 0;
  std::vector<std::string> others_;
  std::map<std::string, Instant, std::less<>> vouched_;
  Instant store_confirmed_{};
  Instant peer_confirmed_{};
  std::uint64_t own_newest_ = 0;
  std::size_t next_peer_ = 0;
};

}  // namespace jackdaw
