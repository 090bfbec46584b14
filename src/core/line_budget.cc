#include "core/line_budget.h"

namespace jackdaw {
namespace {

std::int64_t SecondOf(Instant now) {
  return ToMillis(now) / 1000;
}

}  // namespace

bool LineBudget::Allow(std::string_view kind, Instant now) {
  auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    found = kinds_.emplace(std::string(kind), Count{}).first;
  }
  Count& count = found->second;
  if (count.second != SecondOf(now)) {
    count.second = SecondOf(now);
    count.written = 0;
  }
  if (count.written >= per_second_) {
    ++count.dropped;
    return false;
  }
  ++count.written;
  return true;
}

std::vector<LineBudget::Dropped> LineBudget::TakeDropped(Instant now) {
  std::vector<Dropped> dropped;
  if (told_second_ == SecondOf(now)) {
    return dropped;
  }
  told_second_ = SecondOf(now);
  for (auto& [kind, count] : kinds_) {
    if (count.dropped > 0) {
      dropped.push_back({kind, count.dropped});
      count.dropped = 0;
    }
  }
  return dropped;
}

}  // namespace jackdaw
