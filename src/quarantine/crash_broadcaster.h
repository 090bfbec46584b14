#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <string>

#include "core/duty.h"
#include "decisions/decision_thread.h"
#include "instance/fleet_view.h"
#include "peer/peer_service.h"
#include "quarantine/suspect.h"

namespace jackdaw {

/// Combined answers of the peers about a suspect.
struct PeerAnswers {
  /// Whether every listed peer answered.
  bool all_answered = false;
  /// Whether any of them runs the suspect.
  bool running = false;
};

/// Notifies peers of suspects and queries whether they run them. All members
/// must be called on the thread of the peer service.
class CrashBroadcaster {
 public:
  /// Registers message handlers with `peers`, which must not have started.
  /// @param name name of this instance
  CrashBroadcaster(Duty& thread,
                   std::string name,
                   FleetViewHolder& view,
                   DecisionThread& decisions,
                   PeerService& peers);

  /// Notifies every listed peer of a suspect and waits for the answers.
  /// @param timeout longest wait
  boost::asio::awaitable<PeerAnswers> Broadcast(std::string digest,
                                                Suspect suspect,
                                                Micros timeout);
  /// Notifies every listed peer that a suspect ran to its end under a claim.
  void BroadcastCleared(const std::string& digest);

 private:
  // A broadcast that waits for answers.
  struct PendingQuery {
    explicit PendingQuery(Duty& thread) : timer(thread.context()) {}
    // Peers that have not answered.
    std::set<std::string, std::less<>> awaiting;
    bool running = false;
    boost::asio::steady_timer timer;
  };

  // Records a suspect received from a peer and answers whether it runs here.
  // @param query_id 0 when no answer is expected
  boost::asio::awaitable<void> SendAnswer(std::string requester,
                                          std::uint64_t query_id,
                                          std::string digest,
                                          Suspect suspect,
                                          bool cleared);
  void OnNotice(const peer::Envelope& envelope);
  void OnAnswer(const peer::Envelope& envelope);

  Duty& thread_;
  std::string name_;
  FleetViewHolder& view_;
  DecisionThread& decisions_;
  PeerService& peers_;
  std::uint64_t next_query_id_ = 1;
  std::map<std::uint64_t, PendingQuery*> pending_;
};

}  // namespace jackdaw
