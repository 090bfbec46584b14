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
#include "peer/peer_link.h"
#include "settings/instance_settings.h"
#include "timeline/event_log.h"

namespace jackdaw {

/// Exchanges heartbeats with peers and relays configurations: an instance
/// that lags behind a peer's version asks that peer for the document.
class PeerService {
 public:
  using ApplyConfig =
      std::function<void(std::uint64_t version, std::string document)>;

  /// @param duty thread that runs the service, also that of `apply`
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

 private:
  boost::asio::awaitable<void> Run();
  void Receive(const std::string& bytes);
  void SendHeartbeats();
  std::string AddressOf(std::string_view peer) const;

  Duty& duty_;
  const MonotonicClock& clock_;
  std::string name_;
  std::uint64_t incarnation_;
  FleetViewHolder& view_;
  RunState& run_state_;
  EventLog& events_;
  ApplyConfig apply_;
  PeerLink link_;
  std::size_t next_peer_ = 0;
  std::map<std::string, Instant, std::less<>> heard_;
};

}  // namespace jackdaw
