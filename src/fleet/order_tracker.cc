#include "fleet/order_tracker.h"

namespace jackdaw::serving {
namespace {

// Time within which a target may still execute an order that was not answered.
constexpr Micros kUnansweredOrderLifetime = 14s;
// Delay before a target that is executing an order is tried again. Its reports
// are some hundred milliseconds old.
constexpr Micros kBusyRetryDelay = 700ms;

}  // namespace

double SizeMb(const EngineSpec& offer, std::string_view name) {
  const auto slash = name.find('/');
  for (const ModelSpec& item : offer.models) {
    if (item.name == name.substr(0, slash)) {
      return slash == std::string_view::npos ? item.weights_mb
                                             : item.adapter_mb;
    }
  }
  return 0;
}

void OrderTracker::OnReport(const platform::EngineReport& report, Instant now) {
  reported_models_ = {report.models.begin(), report.models.end()};
  if (report.busy) {
    busy_until_ = now + kBusyRetryDelay;
    accepted_orders_.reset();
  } else {
    accepted_orders_ = report.orders_accepted;
  }
}

void OrderTracker::OnOrder(const platform::Order& order,
                           std::optional<platform::OrderAnswer> answer,
                           Instant now) {
  if (!answer) {
    accepted_orders_.reset();
    unanswered_until_ = now + kUnansweredOrderLifetime;
    unanswered_load_ = order.load && order.adapter.empty() ? order.model : "";
    return;
  }
  switch (*answer) {
    case platform::OrderAnswer::kAccepted:
      if (accepted_orders_) {
        ++*accepted_orders_;
      }
      if (order.adapter.empty()) {
        if (order.load) {
          reported_models_.insert(order.model);
        } else {
          reported_models_.erase(order.model);
        }
      }
      break;
    case platform::OrderAnswer::kAlreadyDone:
      break;
    case platform::OrderAnswer::kConflict:
      busy_until_ = now + kBusyRetryDelay;
      accepted_orders_.reset();
      break;
    case platform::OrderAnswer::kFenced:
    case platform::OrderAnswer::kRefused:
      accepted_orders_.reset();
      break;
  }
}

bool OrderTracker::Busy(Instant now) const {
  return adapter_order_in_progress || now < planned_until_ ||
         now < unanswered_until_ || now < busy_until_;
}

std::set<std::string> OrderTracker::HeldModels(const TargetRegistration& entry,
                                               Instant now) const {
  std::set<std::string> models = reported_models_;
  for (const HeldModel& model : entry.models) {
    models.insert(model.name);
  }
  if (now < planned_until_ && !planned_model_.empty()) {
    models.insert(planned_model_);
  }
  if (now < unanswered_until_ && !unanswered_load_.empty()) {
    models.insert(unanswered_load_);
  }
  return models;
}

bool OrderTracker::HasRoom(const EngineSpec& offer,
                           const Target& target,
                           const std::string& name,
                           Instant now) const {
  double used_mb = SizeMb(offer, name);
  for (const std::string& model : HeldModels(target.entry, now)) {
    used_mb += model == name ? 0 : SizeMb(offer, model);
  }
  int adapters = name.find('/') == std::string::npos ? 0 : 1;
  for (const std::string& adapter : target.adapters) {
    if (adapter != name) {
      used_mb += SizeMb(offer, adapter);
      ++adapters;
    }
  }
  return used_mb <= offer.weights_mb && adapters <= offer.adapter_slots;
}

}  // namespace jackdaw::serving
