#include "fleet/member_rows.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Age from which on a row is removed. By then the parts of the quotas that the
// member held have lapsed.
constexpr Micros kRowLifetime = 60s;
// Rows removed at a time. A transaction takes 100 entries, of which each row
// needs two and the lease one.
constexpr std::size_t kMaxRows = 49;

}  // namespace

bool MemberRows::OnRow(const std::string& key,
                       std::int64_t version,
                       Instant now) {
  Row& row = rows_[key];
  if (version <= row.version) {
    return false;
  }
  row = {version, now};
  return true;
}

void MemberRows::SetWritten(const std::string& key, Instant written_at) {
  rows_[key].written_at = written_at;
}

void MemberRows::Retain(const std::set<std::string>& present) {
  std::erase_if(
      rows_, [&](const auto& item) { return !present.contains(item.first); });
}

std::vector<MemberRows::OldRow> MemberRows::Old(Instant now) const {
  std::vector<OldRow> old;
  for (const auto& [key, row] : rows_) {
    if (old.size() == kMaxRows) {
      break;
    }
    if (now - row.written_at > kRowLifetime) {
      old.push_back({key, row.version});
    }
  }
  return old;
}

}  // namespace jackdaw::serving
