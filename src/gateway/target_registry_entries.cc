// Entries of targets, as the store names them.
#include <algorithm>

#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

bool SameModels(const TargetRegistration& a, const TargetRegistration& b) {
  return std::equal(a.models.begin(), a.models.end(), b.models.begin(),
                    b.models.end(), [](const HeldModel& x, const HeldModel& y) {
                      return x.name == y.name && x.version == y.version;
                    });
}

}  // namespace

bool TargetRegistry::Update(const TargetRegistration& entry) {
  TargetPtr& target = targets_[entry.id];
  const bool restarted =
      target != nullptr && target->entry.born_ms != entry.born_ms;
  if (restarted && entry.born_ms < target->entry.born_ms) {
    return false;
  }
  if (target == nullptr || restarted ||
      target->entry.address != entry.address) {
    if (target != nullptr) {
      target->ended = true;
      RememberNotice(*target);
      std::erase_if(replaced_, [](const auto& old) { return old.expired(); });
      replaced_.push_back(target);
    }
    target = std::make_shared<Target>();
    target->restarted = restarted;
    RestoreNotice(*target, entry);
    by_digest_[TargetDigest(entry.id)] = target;
  }
  const bool leaving =
      entry.state == TargetState::kDraining || target->notice.leaving();
  const bool changed = target->entry.id.empty() || target->leaving != leaving ||
                       !SameModels(target->entry, entry);
  target->leaving = leaving;
  target->entry = entry;
  const auto work = work_.find(entry.service);
  target->uses_forecast =
      forecast_load_ || (work != work_.end() && work->second.reports_speed);
  ApplyColdLimits(*target);
  MarkEvacuated(*target);
  for (const HeldModel& model : entry.models) {
    for (const std::string& adapter : model.adapters) {
      target->adapters.insert(model.name + "/" + adapter);
    }
  }
  std::erase_if(target->adapters, [&](const std::string& name) {
    return !target->HoldsModel(
        std::string_view(name).substr(0, name.find('/')));
  });
  return changed;
}

void TargetRegistry::Remove(std::string_view id) {
  const auto found = targets_.find(std::string(id));
  if (found != targets_.end()) {
    found->second->leaving = true;
    found->second->ended = true;
    RememberNotice(*found->second);
    by_digest_.erase(TargetDigest(id));
    targets_.erase(found);
  }
}

// The time is kept by failure domain, as targets there may register again
// during the evacuation.
// Targets of a domain that returns to service may have become cold meanwhile.
void TargetRegistry::SetEvacuated(const DomainSet& domains, Instant now) {
  DomainSet ended;
  for (const std::string& domain : evacuated_domains_) {
    if (!domains.contains(domain)) {
      ended.insert(domain);
    }
  }
  evacuated_domains_ = domains;
  for (const auto& [id, target] : targets_) {
    MarkEvacuated(*target);
    const Micros cold_time = ColdTime(target->entry.service);
    if (ended.contains(target->entry.failure_domain) && cold_time > Micros(0)) {
      MarkCold(*target, now + cold_time, now);
    }
  }
  for (const std::weak_ptr<Target>& old : replaced_) {
    if (const TargetPtr target = old.lock()) {
      MarkEvacuated(*target);
    }
  }
}

void TargetRegistry::MarkEvacuated(Target& target) const {
  const std::string& domain = target.entry.failure_domain;
  target.evacuated = evacuated_domains_.contains(domain);
}

TargetPtr TargetRegistry::Find(std::string_view id) const {
  const auto found = targets_.find(std::string(id));
  return found == targets_.end() ? nullptr : found->second;
}

std::vector<TargetPtr> TargetRegistry::Usable(std::string_view service) const {
  std::vector<TargetPtr> usable;
  for (const auto& [id, target] : targets_) {
    if (!target->leaving && !target->evacuated &&
        target->entry.service == service) {
      usable.push_back(target);
    }
  }
  return usable;
}

}  // namespace jackdaw::serving
