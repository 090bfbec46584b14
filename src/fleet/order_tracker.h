#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "gateway/target.h"
#include "platform/order_codec.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// The leader's knowledge of one target since its last report: the models that
/// the target holds or may soon hold, its count of accepted orders, and whether
/// it can take an order.
class OrderTracker {
 public:
  /// Applies a report of the target. Reports are up to some hundred
  /// milliseconds old, so the count of a busy target is not used and is
  /// requested again later.
  void OnReport(const platform::EngineReport& report, Instant now);
  /// Applies the outcome of an order.
  /// @param answer unset if no answer arrived
  void OnOrder(const platform::Order& order,
               std::optional<platform::OrderAnswer> answer,
               Instant now);
  /// A planned change starts, after which the target holds `model`. It counts
  /// as in progress until EndChange or until the time `until`.
  void BeginChange(std::string model, Instant until) {
    planned_model_ = std::move(model);
    planned_until_ = until;
  }
  void EndChange() { planned_until_ = Instant{}; }

  /// Count of orders that the target has accepted; unset while it is unknown.
  std::optional<std::int64_t> accepted_orders() const {
    return accepted_orders_;
  }
  /// Discards the count of accepted orders, so that a report is requested
  /// before the next order.
  void ResetAcceptedOrders() { accepted_orders_.reset(); }
  /// Whether the target cannot take an order now.
  bool Busy(Instant now) const;
  /// Returns the models that the target holds or may soon hold.
  std::set<std::string> HeldModels(const TargetRegistration& entry,
                                   Instant now) const;
  /// Whether a model or an adapter (`model/adapter`) fits into the target's
  /// memory and adapter slots, next to all that it holds or may soon hold.
  bool HasRoom(const EngineSpec& offer,
               const Target& target,
               const std::string& name,
               Instant now) const;

  /// An adapter order to the target is in progress.
  bool adapter_order_in_progress = false;
  /// Time of the last request for each adapter (`model/adapter`).
  std::map<std::string, Instant> adapter_requested_at;

 private:
  std::optional<std::int64_t> accepted_orders_;
  /// Models of the last report and of orders accepted since, which the target's
  /// entry may not show yet.
  std::set<std::string> reported_models_;
  /// Model that the change in progress loads.
  std::string planned_model_;
  /// Model of a load order that was not answered.
  std::string unanswered_load_;
  Instant planned_until_{};
  Instant unanswered_until_{};
  Instant busy_until_{};
};

/// Returns the size of a model or an adapter (`model/adapter`) in MB, or 0 if
/// the offer does not contain it.
double SizeMb(const EngineSpec& offer, std::string_view name);

}  // namespace jackdaw::serving
