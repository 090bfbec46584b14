#include "quarantine/suspect.h"

#include <algorithm>

namespace jackdaw {
namespace {

// Number of crashed targets at which a request is quarantined.
constexpr std::size_t kQuarantineThreshold = 2;

}  // namespace

void Suspect::Merge(const Suspect& other) {
  for (const auto& target : other.targets) {
    AddCrash(target, false);
  }
  until = std::max(until, other.until);
  quarantined = quarantined || other.quarantined;
}

void Suspect::AddCrash(std::string target, bool claimed) {
  if (std::find(targets.begin(), targets.end(), target) == targets.end()) {
    targets.push_back(std::move(target));
  }
  quarantined =
      quarantined || claimed || targets.size() >= kQuarantineThreshold;
}

}  // namespace jackdaw
