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
class EngineLedger {
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
  void Begin(std::string model, Instant until) {
    planned_ = std::move(model);
    planned_until_ = until;
  }
  void End() { planned_until_ = Instant{}; }

  /// Orders accepted so far; unset until the target reported.
  std::optional<std::int64_t> orders() const { return orders_; }
  /// The count of orders is to be asked for before the next one.
  void ForgetOrders() { orders_.reset(); }
  /// Whether no order is to be sent now.
  bool Busy(Instant now) const;
  /// Models that the target holds or may come to hold.
  std::set<std::string> Models(const TargetRegistration& entry,
                               Instant now) const;
  /// Whether a model or an adapter (`model/adapter`) fits beside all that the
  /// target holds or may come to hold.
  bool HasRoom(const EngineSpec& offer,
               const Target& target,
               const std::string& name,
               Instant now) const;

  bool sending = false;
  /// When each adapter was last asked for.
  std::map<std::string, Instant> adapter_asked;

 private:
  std::optional<std::int64_t> orders_;
  /// Models of the last report and of accepted orders that the entry does not
  /// show yet.
  std::set<std::string> reported_;
  /// Model that a change under way brings.
  std::string planned_;
  /// Model of a load without an answer.
  std::string uncertain_;
  Instant planned_until_{};
  Instant uncertain_until_{};
  Instant busy_until_{};
};

/// Size of a model or an adapter (`model/adapter`), 0 where it is not offered.
double SizeMb(const EngineSpec& offer, std::string_view name);

}  // namespace jackdaw::serving
