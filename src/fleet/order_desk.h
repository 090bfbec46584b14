#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "fleet/engine_ledger.h"
#include "fleet/leadership.h"
#include "fleet/load_budget.h"
#include "fleet/model_plan.h"
#include "gateway/target_board.h"
#include "http/client.h"
#include "platform/order_codec.h"

namespace jackdaw::serving {

/// The leader's orders to targets. Each order names the count of orders that
/// the target has accepted, so one without an answer cannot be carried out
/// after a later one; until then what it would load counts as held.
class OrderDesk {
 public:
  OrderDesk(HttpClient& http,
            TargetBoard& board,
            const Leadership& leadership,
            const MonotonicClock& clock,
            const BootClock& boot_clock,
            std::string holder);

  /// Targets that hold an adapter; it is loaded where none does.
  /// @returns ids of targets, empty where it could not be loaded
  boost::asio::awaitable<std::vector<std::string>>
  PlaceAdapter(Service service, std::string model, std::string adapter);

  /// What the targets of a service hold or may come to hold.
  std::vector<EngineView> Views(const Service& service) const;
  /// Loads that may begin now from the weight store.
  int LoadsFree(const EngineSpec& offer) const;
  /// Carries out a planned change; returns when it is done or has failed.
  boost::asio::awaitable<void> RunMove(Service service, ModelMove move);
  /// Orders sent, and loads begun from the weight store, since the start.
  std::uint64_t orders_sent() const { return orders_sent_; }
  std::uint64_t loads_begun() const { return load_budget_.begun(); }
  /// The instance has become the leader: what the last one ordered is unknown.
  void OnTerm(Instant now);

 private:
  /// What the desk knows of one incarnation of a target.
  struct Desk {
    std::int64_t born_ms = -1;
    EngineLedger ledger;
  };

  using Answer = std::optional<platform::OrderAnswer>;

  EngineLedger& LedgerOf(const Target& target);
  boost::asio::awaitable<Answer> Send(TargetPtr target,
                                      EngineSpec offer,
                                      platform::Order order);
  boost::asio::awaitable<Answer> SendOnce(TargetPtr target,
                                          platform::Order order);
  boost::asio::awaitable<Answer> Repeat(TargetPtr target,
                                        platform::Order order);
  boost::asio::awaitable<bool> MakeAdapterRoom(TargetPtr target,
                                               EngineSpec offer,
                                               std::string name);
  boost::asio::awaitable<bool> Refresh(TargetPtr target);
  boost::asio::awaitable<bool> AwaitModel(TargetPtr target,
                                          std::string model,
                                          bool held,
                                          Instant deadline);
  boost::asio::awaitable<bool> LoadAdapterAt(TargetPtr target,
                                             EngineSpec offer,
                                             std::string model,
                                             std::string adapter);
  boost::asio::awaitable<void> Pause(Micros span);
  TargetPtr ChooseAdapterHost(const Service& service,
                              const std::string& model) const;
  std::optional<std::string> AdapterToUnload(const Target& target);
  std::vector<std::string> HoldersOf(const Service& service,
                                     const std::string& name) const;

  HttpClient& http_;
  TargetBoard& board_;
  const Leadership& leadership_;
  const MonotonicClock& clock_;
  const BootClock& boot_clock_;
  std::string holder_;
  std::map<std::string, Desk> desks_;
  std::set<std::string> adapters_loading_;
  LoadBudget load_budget_;
  std::uint64_t orders_sent_ = 0;
};

}  // namespace jackdaw::serving
