#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "core/duty.h"
#include "instance/fleet_view.h"
#include "instance/run_state.h"
#include "platform/table_store.h"
#include "settings/instance_settings.h"
#include "timeline/event_log.h"

namespace jackdaw {

/// Row of the table that holds the configuration in force.
inline constexpr std::string_view kConfigRow = "config/head";

/// A configuration as stored: its document and the operation that wrote it.
struct StoredConfig {
  std::uint64_t version = 0;
  std::string operation;
  std::string document;
};

std::string EncodeStoredConfig(const StoredConfig& head);
Result<StoredConfig> DecodeStoredConfig(std::string_view value);

/// Time for which keys may be used after a look for a newer view has ended.
/// Longer than a look without an answer takes; with the time that open streams
/// take to notice, below the five seconds in which a withdrawal takes effect.
inline constexpr Micros kKeyValidity = 4500ms;

/// Keeps the fleet view fresh: polls the configuration row and the rows that
/// list the instances, and announces this instance there.
class FleetWatcher {
 public:
  /// Takes a configuration; asked again later when it returns false.
  using ConfigCallback = std::function<bool(FleetConfigPtr)>;

  FleetWatcher(Duty& duty,
               const MonotonicClock& clock,
               const Endpoint& platform,
               FleetViewHolder& view,
               RunState& run_state,
               EventLog& events,
               ConfigCallback on_config);

  /// Starts polling. @param self entry to announce
  void Start(InstanceEntry self);

  /// Announces at once, after the state of this instance changed.
  boost::asio::awaitable<Result<bool>> AnnounceNow();

  /// Puts a document in force if its version is newer.
  void Apply(const StoredConfig& head);

 private:
  boost::asio::awaitable<void> RunConfig();
  boost::asio::awaitable<void> RunInstances();
  boost::asio::awaitable<void> PollConfig();
  boost::asio::awaitable<void> PollInstances();
  void UpdateStoreReachable(bool reachable);
  bool IsListed() const;
  void PublishConfig();
  void ConfirmConfig(Instant at);

  Duty& duty_;
  const MonotonicClock& clock_;
  serving::platform::TableStore platform_;
  FleetViewHolder& view_;
  RunState& run_state_;
  EventLog& events_;
  ConfigCallback on_config_;
  InstanceEntry self_;
  std::uint64_t row_version_ = 0;
  std::uint64_t store_version_ = 0;
  /// Whether the configuration in force is still to be taken.
  bool publish_pending_ = false;
  /// When the next exception ends, in milliseconds since the Unix epoch.
  std::int64_t next_expiry_ms_ = 0;
};

}  // namespace jackdaw
