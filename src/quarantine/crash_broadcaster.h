#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <string>

#include "core/duty.h"
#include "decisions/decisions.h"
#include "instance/fleet_view.h"
#include "peer/peer_service.h"
#include "quarantine/suspect.h"

namespace jackdaw {

/// What the other instances said of a suspect.
struct PeerAnswers {
  /// Whether each listed instance answered.
  bool all_answered = false;
  /// Whether any of them runs it now.
  bool running = false;
};

/// Tells the other instances of suspects and asks whether they run them. All
/// members run on the thread of the peer service.
class CrashBroadcaster {
 public:
  /// Registers the handlers of its messages at `peers`, before that starts.
  CrashBroadcaster(Duty& thread,
                   std::string name,
                   FleetViewHolder& view,
                   Decisions& decisions,
                   PeerService& peers);

  /// Tells each listed instance and waits for their answers.
  /// @param limit longest time to wait, in microseconds
  boost::asio::awaitable<PeerAnswers> Broadcast(std::string digest,
                                                Suspect suspect,
                                                Micros timeout);
  /// Tells each listed instance that a suspect ran whole.
  void BroadcastCleared(const std::string& digest);

 private:
  struct PendingQuery {
    explicit PendingQuery(Duty& thread) : timer(thread.context()) {}
    std::set<std::string, std::less<>> awaiting;
    bool running = false;
    boost::asio::steady_timer timer;
  };

  boost::asio::awaitable<void> SendAnswer(std::string requester,
                                          std::uint64_t ask_id,
                                          std::string digest,
                                          Suspect suspect,
                                          bool cleared);
  void OnNotice(const peer::Envelope& envelope);
  void OnAnswer(const peer::Envelope& envelope);

  Duty& thread_;
  std::string name_;
  FleetViewHolder& view_;
  Decisions& decisions_;
  PeerService& peers_;
  std::uint64_t next_ask_id_ = 1;
  std::map<std::uint64_t, PendingQuery*> pending_;
};

}  // namespace jackdaw
