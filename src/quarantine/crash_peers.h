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

/// What the other instances said of a suspect.
struct PeerAnswers {
  /// Whether each listed instance answered.
  bool all_answered = false;
  /// Whether any of them runs it now.
  bool running = false;
};

/// Tells the other instances of suspects and asks whether they run them. All
/// members run on the thread of the peer service.
class CrashPeers {
 public:
  /// Registers the handlers of its messages at `peers`, before that starts.
  CrashPeers(Duty& duty,
             std::string name,
             FleetViewHolder& view,
             DecisionThread& decisions,
             PeerService& peers);

  /// Tells each listed instance and waits for their answers.
  /// @param limit longest time to wait, in microseconds
  boost::asio::awaitable<PeerAnswers> Tell(std::string digest,
                                           Suspect suspect,
                                           Micros limit);
  /// Tells each listed instance that a suspect ran whole.
  void TellCleared(const std::string& digest);

 private:
  struct Question {
    explicit Question(Duty& duty) : timer(duty.context()) {}
    std::set<std::string, std::less<>> awaited;
    bool running = false;
    boost::asio::steady_timer timer;
  };

  boost::asio::awaitable<void> Answer(std::string asker,
                                      std::uint64_t ask_id,
                                      std::string digest,
                                      Suspect suspect,
                                      bool cleared);
  void OnNotice(const peer::Envelope& envelope);
  void OnAnswer(const peer::Envelope& envelope);

  Duty& duty_;
  std::string name_;
  FleetViewHolder& view_;
  DecisionThread& decisions_;
  PeerService& peers_;
  std::uint64_t next_ask_ = 1;
  std::map<std::uint64_t, Question*> questions_;
};

}  // namespace jackdaw
