#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "core/clock.h"
#include "core/duty.h"
#include "instance/fleet_view.h"
#include "instance/run_state.h"
#include "membership/membership.h"
#include "peer/peer_link.h"
#include "settings/instance_settings.h"
#include "timeline/event_log.h"

namespace jackdaw::peer {
class Envelope;
}  // namespace jackdaw::peer

namespace jackdaw {

/// Exchanges heartbeats with peers and relays configurations: an instance whose
/// configuration is older than that of a peer requests the document from that
/// peer. Other subsystems register handlers for their messages.
class PeerService {
 public:
  /// Called on the thread of the service for each message of one body case.
  using Handler = std::function<void(const peer::Envelope&)>;
  using ApplyConfig =
      std::function<void(std::uint64_t version, std::string document)>;

  /// @param duty thread that runs the service and calls `apply`
  /// @param apply called with each configuration that a peer sends
  PeerService(Duty& duty,
              const MonotonicClock& clock,
              std::string name,
              std::uint64_t incarnation,
              FleetViewHolder& view,
              RunState& run_state,
              EventLog& events,
              ApplyConfig apply);

  /// @returns the bound address, or kAddressInUse
  Result<std::string> Start(std::string_view address);
  void Stop() { link_.Stop(); }

  /// Registers the handler of one body case of the Envelope in peer.proto; only
  /// before Start. @param body_case value of Envelope::BodyCase
  void RegisterHandler(int body_case, Handler handler);

  /// Sends an envelope to an instance by name, from any thread; sets its
  /// sender, incarnation and hybrid logical timestamp. @returns false if the
  /// instance is not known or the queue is full; true does not guarantee
  /// delivery
  bool Send(std::string_view peer, peer::Envelope envelope);

  /// Requests the configuration of a peer; on the thread of the service.
  void RequestConfig(std::string_view peer);

 private:
  boost::asio::awaitable<void> Run();
  void Enqueue(std::string bytes);
  void Receive(const std::string& bytes);
  void SendHeartbeats();
  std::string AddressOf(std::string_view peer) const;
  void HandleHeartbeat(const peer::Envelope& envelope);
  void PublishMembership();
  void HandleConfigMessage(const peer::Envelope& envelope);

  Duty& duty_;
  const MonotonicClock& clock_;
  std::string name_;
  std::uint64_t incarnation_;
  FleetViewHolder& view_;
  RunState& run_state_;
  EventLog& events_;
  ApplyConfig apply_;
  /// Bytes of received messages that wait for the thread of the service.
  std::atomic<std::size_t> waiting_bytes_{0};
  PeerLink link_;
  std::map<int, Handler> handlers_;
  Membership membership_;
  std::map<std::string, MemberState, std::less<>> reported_states_;
};

}  // namespace jackdaw
