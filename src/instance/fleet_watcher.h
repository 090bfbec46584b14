#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "core/duty.h"
#include "instance/fleet_view.h"
#include "instance/run_state.h"
#include "platform/client.h"
#include "settings/instance_settings.h"
#include "timeline/event_log.h"

namespace jackdaw {

/// Row of the table that holds the configuration in force.
inline constexpr std::string_view kConfigRow = "config/head";

/// A configuration as stored: its document and the operation that wrote it.
struct ConfigHead {
  std::uint64_t version = 0;
  std::string operation;
  std::string document;
};

std::string EncodeConfigHead(const ConfigHead& head);
Result<ConfigHead> DecodeConfigHead(std::string_view value);

/// Keeps the fleet view fresh: polls the configuration row and the platform's
/// list of instances, and announces this instance there.
class FleetWatcher {
 public:
  using OnConfig = std::function<void(FleetConfigPtr)>;

  FleetWatcher(Duty& duty,
               const MonotonicClock& clock,
               const Endpoint& platform,
               FleetViewHolder& view,
               RunState& run_state,
               EventLog& events,
               OnConfig on_config);

  /// Starts polling. @param self entry to announce
  void Start(InstanceEntry self);

  /// Announces at once, after the state of this instance changed.
  boost::asio::awaitable<Result<bool>> AnnounceNow();

  /// Puts a document in force if its version is newer.
  void Apply(const ConfigHead& head);

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> PollConfig();
  boost::asio::awaitable<void> PollInstances();
  void NoteStore(bool reachable);

  Duty& duty_;
  const MonotonicClock& clock_;
  PlatformClient platform_;
  FleetViewHolder& view_;
  RunState& run_state_;
  EventLog& events_;
  OnConfig on_config_;
  InstanceEntry self_;
  std::uint64_t row_version_ = 0;
};

}  // namespace jackdaw
