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

/// What the leader knows of the orders of one target since it last asked it:
/// what the target holds or may come to hold, and whether it may be ordered.
class OrderTracker {
 public:
  /// The target reported its state. Its values are somewhat old; one that is
  /// busy is asked again.
  void OnReport(const platform::EngineReport& report, Instant now);
  /// An order was answered. @param answer unset where no answer came
  void OnOrder(const platform::Order& order,
               std::optional<platform::OrderAnswer> answer,
               Instant now);
  /// A planned change begins, after which the target holds `model`; it ends
  /// at `until` at the latest.
  void BeginChange(std::string model, Instant until) {
    planned_model_ = std::move(model);
    planned_until_ = until;
  }
  void EndChange() { planned_until_ = Instant{}; }

  /// Orders accepted so far; unset until the target reported.
  std::optional<std::int64_t> accepted_orders() const {
    return accepted_orders_;
  }
  /// The count of orders is to be asked for before the next one.
  void ResetAcceptedOrders() { accepted_orders_.reset(); }
  /// Whether no order is to be sent now.
  bool Busy(Instant now) const;
  /// HeldModels that the target holds or may come to hold.
  std::set<std::string> HeldModels(const TargetEntry& entry, Instant now) const;
  /// Whether a model or an adapter (`model/adapter`) fits beside all that the
  /// target holds or may come to hold.
  bool HasRoom(const EngineOffer& offer,
               const Target& target,
               const std::string& name,
               Instant now) const;

  bool sending = false;
  /// When each adapter was last asked for.
  std::map<std::string, Instant> adapter_requested_at;

 private:
  std::optional<std::int64_t> accepted_orders_;
  /// HeldModels of the last report and of accepted orders that the entry does
  /// not show yet.
  std::set<std::string> reported_models_;
  /// Model that a change under way brings.
  std::string planned_model_;
  /// Model of a load without an answer.
  std::string unanswered_load_;
  Instant planned_until_{};
  Instant unanswered_until_{};
  Instant busy_until_{};
};

/// Size of a model or an adapter (`model/adapter`), 0 where it is not offered.
double SizeMb(const EngineOffer& offer, std::string_view name);

}  // namespace jackdaw::serving
