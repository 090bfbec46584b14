#include "fleet/engine_ledger.h"

namespace jackdaw::serving {
namespace {

// Time for which an order without an answer may still be carried out.
constexpr Micros kUncertain = 14s;
// Pause before a target that carries out an order is asked again; its reports
// are some hundred milliseconds old.
constexpr Micros kBusyPause = 700ms;

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

void EngineLedger::OnReport(const platform::EngineReport& report, Instant now) {
  reported_ = {report.models.begin(), report.models.end()};
  if (report.busy) {
    busy_until_ = now + kBusyPause;
    orders_.reset();
  } else {
    orders_ = report.orders_accepted;
  }
}

void EngineLedger::OnOrder(const platform::Order& order,
                           std::optional<platform::OrderAnswer> answer,
                           Instant now) {
  if (!answer) {
    orders_.reset();
    uncertain_until_ = now + kUncertain;
    uncertain_ = order.load && order.adapter.empty() ? order.model : "";
    return;
  }
  switch (*answer) {
    case platform::OrderAnswer::kAccepted:
      if (orders_) {
        ++*orders_;
      }
      if (order.adapter.empty()) {
        if (order.load) {
          reported_.insert(order.model);
        } else {
          reported_.erase(order.model);
        }
      }
      break;
    case platform::OrderAnswer::kHolds:
      break;
    case platform::OrderAnswer::kConflict:
      busy_until_ = now + kBusyPause;
      orders_.reset();
      break;
    case platform::OrderAnswer::kFenced:
    case platform::OrderAnswer::kRefused:
      orders_.reset();
      break;
  }
}

bool EngineLedger::Busy(Instant now) const {
  return sending || now < planned_until_ || now < uncertain_until_ ||
         now < busy_until_;
}

std::set<std::string> EngineLedger::Models(const TargetRegistration& entry,
                                           Instant now) const {
  std::set<std::string> models = reported_;
  for (const HeldModel& model : entry.models) {
    models.insert(model.name);
  }
  if (now < planned_until_ && !planned_.empty()) {
    models.insert(planned_);
  }
  if (now < uncertain_until_ && !uncertain_.empty()) {
    models.insert(uncertain_);
  }
  return models;
}

bool EngineLedger::HasRoom(const EngineSpec& offer,
                           const Target& target,
                           const std::string& name,
                           Instant now) const {
  double held = SizeMb(offer, name);
  for (const std::string& model : Models(target.entry, now)) {
    held += model == name ? 0 : SizeMb(offer, model);
  }
  int adapters = name.find('/') == std::string::npos ? 0 : 1;
  for (const std::string& adapter : target.adapters) {
    if (adapter != name) {
      held += SizeMb(offer, adapter);
      ++adapters;
    }
  }
  return held <= offer.weights_mb && adapters <= offer.adapter_slots;
}

}  // namespace jackdaw::serving
