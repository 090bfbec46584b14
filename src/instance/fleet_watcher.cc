#include "instance/fleet_watcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "config/expiry.h"
#include "core/log.h"
#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Interval between two reads of the configuration row, and of the instances.
constexpr auto kPollInterval = std::chrono::milliseconds(500);
// Timeout of one request to the platform.
constexpr Micros kPlatformTimeout = 2s;
static_assert(kPollInterval + kPlatformTimeout < kKeyValidity);

std::shared_ptr<FleetView> CopyView(const FleetViewHolder& holder) {
  return std::make_shared<FleetView>(*holder.Get());
}

}  // namespace

std::string EncodePublishedConfig(const PublishedConfig& head) {
  return boost::json::serialize(
      boost::json::object{{"version", head.version},
                          {"operation", head.operation},
                          {"document", head.document}});
}

Result<PublishedConfig> DecodePublishedConfig(std::string_view value) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(value));
  ObjectReader reader(parsed, "");
  PublishedConfig head;
  head.version =
      static_cast<std::uint64_t>(reader.Integer("version", 1, 1LL << 52));
  head.operation = reader.Text("operation");
  head.document = reader.Text("document");
  BOOST_OUTCOME_TRY(reader.Finish());
  return head;
}

FleetWatcher::FleetWatcher(Duty& duty,
                           const MonotonicClock& clock,
                           const Endpoint& platform,
                           FleetViewHolder& view,
                           RunState& run_state,
                           EventLog& events,
                           ConfigCallback on_config)
    : duty_(duty),
      clock_(clock),
      platform_(duty.context(), clock, platform),
      view_(view),
      run_state_(run_state),
      events_(events),
      on_config_(std::move(on_config)) {}

void FleetWatcher::Start(InstanceEntry self) {
  self_ = std::move(self);
  asio::co_spawn(duty_.context(), RunConfig(), asio::detached);
  asio::co_spawn(duty_.context(), RunInstances(), asio::detached);
}

// The configuration is read in a loop of its own, so that a slow read of the
// instances never lets the validity of the keys expire.
asio::awaitable<void> FleetWatcher::RunConfig() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    co_await PollConfig();
    PublishConfig();
    run_state_.keys_valid_until_us =
        (clock_.Now() + kKeyValidity).time_since_epoch().count();
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> FleetWatcher::RunInstances() {
  asio::steady_timer timer(duty_.context());
  for (;;) {
    co_await PollInstances();
    if (!IsListed()) {
      static_cast<void>(co_await AnnounceNow());
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<Result<bool>> FleetWatcher::AnnounceNow() {
  self_.state =
      run_state_.leaving ? InstanceState::kLeaving : InstanceState::kLive;
  Transaction write;
  write.writes.push_back({std::string(kInstancePrefix) + self_.name,
                          std::string(EncodeInstance(self_))});
  Result<Commit> done = co_await platform_.Transact(
      std::move(write), clock_.Now() + kPlatformTimeout);
  co_return done ? Result<bool>(done.value().committed)
                 : Result<bool>(done.error());
}

void FleetWatcher::UpdateStoreReachable(bool reachable) {
  if (run_state_.store_reachable.exchange(reachable) != reachable) {
    events_.Add(reachable ? EventKind::kStoreUp : EventKind::kStoreDown, {}, {},
                {}, {});
    Log(reachable ? LogLevel::kInfo : LogLevel::kWarn,
        reachable ? "platform reachable" : "platform unreachable");
  }
}

asio::awaitable<void> FleetWatcher::PollConfig() {
  ReadQuery query;
  query.keys.emplace_back(kConfigRow);
  query.newer_than = row_version_;
  const Instant asked_at = clock_.Now();
  Result<std::vector<Row>> rows = co_await platform_.Read(
      std::move(query), clock_.Now() + kPlatformTimeout);
  UpdateStoreReachable(rows.has_value());
  if (!rows) {
    co_return;
  }
  if (rows.value().empty()) {
    ConfirmConfig(asked_at);
    co_return;
  }
  const Row& row = rows.value().front();
  const auto head = DecodePublishedConfig(row.value);
  if (!head) {
    Log(LogLevel::kError, "cannot decode the configuration row",
        {{"reason", head.error().Line()}});
    co_return;
  }
  row_version_ = row.version;
  store_version_ = head.value().version;
  Apply(head.value());
  ConfirmConfig(asked_at);
}

// Records that the configuration in force was the newest one at time `at`. Does
// nothing if the version that was read could not be parsed, or has not reached
// the decision thread yet.
void FleetWatcher::ConfirmConfig(Instant at) {
  const FleetConfigPtr config = view_.Get()->config;
  if (!publish_pending_ && config && config->version >= store_version_) {
    run_state_.config_confirmed_us = at.time_since_epoch().count();
  }
}

// Passes the configuration to the decision thread if it is new, if that
// thread's queue was full at the last try, or if an exception in it has
// expired.
void FleetWatcher::PublishConfig() {
  const FleetConfigPtr config = view_.Get()->config;
  const std::int64_t now_ms = ToMillis(clock_.Now());
  const bool expired = next_expiry_ms_ != 0 && now_ms >= next_expiry_ms_;
  if (config && (publish_pending_ || expired)) {
    publish_pending_ = !on_config_(config);
    next_expiry_ms_ = NextExpiry(*config, now_ms);
  }
}

void FleetWatcher::Apply(const PublishedConfig& head) {
  auto view = CopyView(view_);
  if (view->config && view->config->version >= head.version) {
    return;
  }
  auto parsed = ParseFleetConfig(head.document, head.version);
  if (!parsed) {
    Log(LogLevel::kError, "cannot parse the configuration",
        {{"reason", parsed.error().Line()}});
    return;
  }
  view->config = std::make_shared<const FleetConfig>(std::move(parsed.value()));
  view->document = head.document;
  view->live_keys.clear();
  for (const auto& key : view->config->keys) {
    if (!key.withdrawn) {
      view->live_keys.insert(key.digest);
    }
  }
  view_.Set(std::move(view));
  publish_pending_ = true;
  PublishConfig();
  events_.Add(EventKind::kConfigApplied, {}, {}, {},
              "version " + std::to_string(head.version));
  Log(LogLevel::kInfo, "configuration applied",
      {{"version", std::to_string(head.version)}});
  if (!run_state_.ready.exchange(true)) {
    events_.Add(EventKind::kReady, {}, {}, {}, {});
  }
}

// Whether the stored row of this instance matches its current state.
bool FleetWatcher::IsListed() const {
  const FleetViewPtr view = view_.Get();
  const InstanceState state =
      run_state_.leaving ? InstanceState::kLeaving : InstanceState::kLive;
  return std::ranges::any_of(view->instances, [&](const InstanceEntry& entry) {
    return entry.name == self_.name && entry.state == state &&
           entry.incarnation == self_.incarnation;
  });
}

asio::awaitable<void> FleetWatcher::PollInstances() {
  ReadQuery query;
  query.prefixes.emplace_back(kInstancePrefix);
  Result<std::vector<Row>> rows = co_await platform_.Read(
      std::move(query), clock_.Now() + kPlatformTimeout);
  if (!rows) {
    co_return;
  }
  auto view = CopyView(view_);
  view->instances.clear();
  for (const auto& row : rows.value()) {
    auto entry = DecodeInstance(row.value);
    if (entry) {
      view->instances.push_back(std::move(entry.value()));
    } else {
      Log(LogLevel::kError, "cannot decode the row of an instance",
          {{"row", row.key}, {"reason", entry.error().Line()}});
    }
  }
  view_.Set(std::move(view));
}

}  // namespace jackdaw
