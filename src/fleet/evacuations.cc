#include "fleet/evacuations.h"

#include <algorithm>

#include "platform/tables.h"

namespace jackdaw::serving {
namespace {

// Longest name of a failure domain.
constexpr std::size_t kMaxNameBytes = 256;
// Time for which an evacuation is kept whose row the store has lost.
constexpr Micros kLostRowTime = 15s;

bool IsEvacuationRow(const platform::StoredRow& row) {
  return row.at.part.empty() &&
         row.at.key.starts_with(platform::kEvacuationPrefix);
}

DomainSet DomainsOf(const platform::RowSet& rows) {
  DomainSet domains;
  for (const platform::StoredRow& row : rows.rows) {
    if (const auto domain = EvacuatedDomain(row); domain && !row.dropped) {
      domains.emplace(*domain);
    }
  }
  return domains;
}

// Returns the rows of evacuations after a version, the oldest first.
std::vector<const platform::StoredRow*> RowsAfter(const platform::RowSet& rows,
                                                  std::int64_t version) {
  std::vector<const platform::StoredRow*> after;
  for (const platform::StoredRow& row : rows.rows) {
    if (IsEvacuationRow(row) && row.version > version) {
      after.push_back(&row);
    }
  }
  std::ranges::stable_sort(after, {}, &platform::StoredRow::version);
  return after;
}

}  // namespace

std::optional<std::string_view> EvacuatedDomain(
    const platform::StoredRow& row) {
  if (!IsEvacuationRow(row)) {
    return std::nullopt;
  }
  const std::string_view name =
      std::string_view(row.at.key).substr(platform::kEvacuationPrefix.size());
  if (name.empty() || name.size() > kMaxNameBytes) {
    return std::nullopt;
  }
  return name;
}

// A table of which only changes are known in a new epoch is read again as a
// whole, so changes of another epoch are ignored.
Evacuations::Changes Evacuations::OnRows(const platform::RowSet& rows,
                                         bool whole,
                                         Instant now) {
  Changes changes;
  const TableVersion version{rows.epoch, rows.version};
  const bool restored = rows.epoch > version_.epoch;
  if (whole ? version < version_ : rows.epoch != version_.epoch) {
    return changes;
  }
  if (restored) {
    OnStoreRestored(rows, now, changes);
  }
  for (const platform::StoredRow* row : RowsAfter(rows, version_.number)) {
    if (EvacuatedDomain(*row)) {
      Apply(*row, changes);
    } else if (!row->dropped) {
      ++changes.skipped;
    }
  }
  if (whole) {
    EndMissing(rows, changes);
  }
  version_.number = std::max(version_.number, version.number);
  return changes;
}

// Versions of the new epoch do not compare with those of the former one, so all
// rows of the snapshot are new.
void Evacuations::OnStoreRestored(const platform::RowSet& rows,
                                  Instant now,
                                  Changes& changes) {
  version_ = {rows.epoch, 0};
  const DomainSet present = DomainsOf(rows);
  for (auto& [domain, evacuation] : evacuations_) {
    if (!present.contains(domain)) {
      evacuation.kept_until = now + kLostRowTime;
      changes.kept.push_back(domain);
    }
  }
}

void Evacuations::Apply(const platform::StoredRow& row, Changes& changes) {
  const std::string domain(*EvacuatedDomain(row));
  const auto found = evacuations_.find(domain);
  if (!row.dropped) {
    if (found == evacuations_.end()) {
      changes.begun.push_back(domain);
    }
    evacuations_[domain] = Evacuation{};
  } else if (found != evacuations_.end()) {
    evacuations_.erase(found);
    changes.ended.push_back(domain);
  }
}

// The operator has removed the rows that a snapshot lacks.
void Evacuations::EndMissing(const platform::RowSet& rows, Changes& changes) {
  const DomainSet present = DomainsOf(rows);
  std::erase_if(evacuations_, [&](const auto& item) {
    if (present.contains(item.first) || item.second.kept_until) {
      return false;
    }
    changes.ended.push_back(item.first);
    return true;
  });
}

Evacuations::Changes Evacuations::Expire(Instant now) {
  Changes changes;
  std::erase_if(evacuations_, [&](const auto& item) {
    const std::optional<Instant>& until = item.second.kept_until;
    if (!until || now < *until) {
      return false;
    }
    changes.ended.push_back(item.first);
    return true;
  });
  return changes;
}

DomainSet Evacuations::domains() const {
  DomainSet domains;
  for (const auto& [domain, evacuation] : evacuations_) {
    domains.insert(domain);
  }
  return domains;
}

}  // namespace jackdaw::serving
