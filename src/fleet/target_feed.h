#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "serving/target_registration.h"

namespace jackdaw::serving {

/// A row about a target: its entry, or that it is gone or cannot be read.
struct TargetRow {
  std::string id;
  std::int64_t version = 0;
  bool readable = false;
  TargetRegistration entry;
};

/// Decides which targets are there, from the rows of the store. An entry that
/// is missing right after an outage may have lapsed meanwhile, so the target
/// is kept until a live one would have registered again.
class TargetFeed {
 public:
  struct Changes {
    std::vector<TargetRegistration> updated;
    std::vector<std::string> removed;
  };

  /// The store answers again after an outage.
  void OnStoreBack(Instant now) { back_at_ = now; }
  /// All rows as of one moment.
  Changes OnWhole(const std::vector<TargetRow>& rows, Instant now);
  /// Rows that changed.
  Changes OnChanges(const std::vector<TargetRow>& rows, Instant now);
  /// Removes what was kept and has not come back.
  /// @returns ids of targets to be removed
  std::vector<std::string> Expire(Instant now);
  /// Moment at which Expire has something to do; unset where nothing waits.
  bool waiting() const { return !missing_.empty(); }

 private:
  void Take(const TargetRow& row, Instant now, Changes& changes);
  void OnMissing(const std::string& id, Instant now, Changes& changes);

  Instant back_at_{};
  std::map<std::string, std::int64_t> known_;
  std::map<std::string, Instant> missing_;
};

}  // namespace jackdaw::serving
