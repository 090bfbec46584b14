#include "membership/view_freshness.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Age of the store's confirmation above which peers are asked.
constexpr Micros kAskAfter = 1500ms;
// Peers asked in one round.
constexpr std::size_t kAskedPerRound = 3;
// Most other instances whose word together replaces the store's; more would
// cost a node too many messages.
constexpr std::size_t kMaxVouchers = 24;
// Rounds in which each of them is asked once.
constexpr std::size_t kVouchRounds = 5;

}  // namespace

void ViewFreshness::OnVersion(std::uint64_t version) {
  CheckInvariant(version >= version_, "the view's version never goes back");
  version_ = version;
}

void ViewFreshness::OnMembers(std::vector<std::string> others) {
  others_ = std::move(others);
  std::erase_if(vouched_, [&](const auto& entry) {
    return std::find(others_.begin(), others_.end(), entry.first) ==
           others_.end();
  });
}

void ViewFreshness::OnStoreRead(Instant asked_at, std::uint64_t version) {
  if (version <= version_) {
    store_confirmed_ = std::max(store_confirmed_, asked_at);
  }
}

// A peer with a newer version confirms nothing here: its document comes first.
void ViewFreshness::OnPeerAnswer(std::string_view peer,
                                 Instant asked_at,
                                 const PeerEvidence& evidence) {
  if (evidence.version > version_) {
    return;
  }
  if (evidence.confirmed) {
    peer_confirmed_ =
        std::max(peer_confirmed_, asked_at - evidence.confirmed_age);
  }
  if (evidence.writes_settled) {
    Instant& vouched = vouched_[std::string(peer)];
    vouched = std::max(vouched, asked_at);
  }
}

PeerEvidence ViewFreshness::Evidence(Instant now) const {
  PeerEvidence evidence;
  evidence.version = version_;
  evidence.writes_settled = version_ >= own_newest_;
  const Instant at = ConfirmedAt();
  evidence.confirmed = at != Instant{};
  evidence.confirmed_age = evidence.confirmed ? now - at : Micros{};
  return evidence;
}

// Moment before which none of the others, nor this instance, wrote a version
// that is not known here.
Instant ViewFreshness::VouchedAt() const {
  if (version_ < own_newest_ || others_.empty() ||
      others_.size() > kMaxVouchers) {
    return Instant{};
  }
  Instant oldest = Instant::max();
  for (const auto& name : others_) {
    const auto found = vouched_.find(name);
    oldest =
        std::min(oldest, found == vouched_.end() ? Instant{} : found->second);
  }
  return oldest;
}

Instant ViewFreshness::ConfirmedAt() const {
  return version_ == 0
             ? Instant{}
             : std::max({store_confirmed_, peer_confirmed_, VouchedAt()});
}

std::vector<std::string> ViewFreshness::PeersToAsk(Instant now) {
  if (others_.empty() || now - store_confirmed_ < kAskAfter) {
    return {};
  }
  std::size_t count = kAskedPerRound;
  if (others_.size() <= kMaxVouchers) {
    count = std::max(count, (others_.size() + kVouchRounds - 1) / kVouchRounds);
  }
  std::vector<std::string> asked;
  for (std::size_t i = 0; i < std::min(count, others_.size()); ++i) {
    asked.push_back(others_[next_peer_++ % others_.size()]);
  }
  return asked;
}

}  // namespace jackdaw
