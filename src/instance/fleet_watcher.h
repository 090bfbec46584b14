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

/// Key of the row that holds the configuration in force.
inline constexpr std::string_view kConfigRow = "config/head";

/// A configuration as stored: its version, its document and the id of the
/// operation that wrote it.
struct PublishedConfig {
  std::uint64_t version = 0;
  std::string operation;
  std::string document;
};

std::string EncodePublishedConfig(const PublishedConfig& head);
Result<PublishedConfig> DecodePublishedConfig(std::string_view value);

/// Time for which keys may be used after a poll of the configuration has ended.
/// It must be longer than a poll that times out. Together with the time that
/// open streams take to check their key, it must stay below the 5 s within
/// which a withdrawal takes effect.
inline constexpr Micros kKeyValidity = 4500ms;

/// Keeps the fleet view up to date: polls the configuration row and the rows
/// of the instances, and writes the row of this instance.
class FleetWatcher {
 public:
  /// Applies a configuration. If it returns false, the call is repeated at the
  /// next poll.
  using ConfigCallback = std::function<bool(FleetConfigPtr)>;

  FleetWatcher(Duty& duty,
               const MonotonicClock& clock,
               const Endpoint& platform,
               FleetViewHolder& view,
               RunState& run_state,
               EventLog& events,
               ConfigCallback on_config);

  /// Starts polling. @param self row content that announces this instance
  void Start(InstanceEntry self);

  /// Writes the row of this instance now, with its current state.
  /// @returns whether the write was committed, or the error of the store
  boost::asio::awaitable<Result<bool>> AnnounceNow();

  /// Puts a configuration in force if its version is newer.
  void Apply(const PublishedConfig& head);

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
  /// Whether the configuration in force has yet to be accepted by the callback.
  bool publish_pending_ = false;
  /// Next time at which an exception in the configuration expires, in
  /// milliseconds since the Unix epoch; 0 if none does.
  std::int64_t next_expiry_ms_ = 0;
};

}  // namespace jackdaw
