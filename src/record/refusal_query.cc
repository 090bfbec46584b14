#include "record/refusal_query.h"

#include <algorithm>
#include <tuple>

namespace jackdaw {
namespace {

namespace json = boost::json;

// Limits of one page. The last object may exceed them, since it is added whole.
constexpr std::size_t kMaxPageRecords = 1000;
constexpr std::size_t kMaxPageBytes = 1024UL * 1024;
constexpr std::size_t kMaxPageObjects = 500;

std::string_view TextOf(const json::object& record, std::string_view member) {
  const auto* value = record.if_contains(member);
  return value != nullptr && value->is_string()
             ? std::string_view(value->get_string())
             : std::string_view();
}

json::object MakeGapRecord(const RecordOwner& owner,
                           json::value lost,
                           std::string reason) {
  return {{"instance", owner.instance},
          {"incarnation", owner.incarnation},
          {"kind", "gap"},
          {"lost", std::move(lost)},
          {"reason", std::move(reason)}};
}

}  // namespace

json::array FindGaps(std::vector<NumberRange> ranges) {
  std::sort(ranges.begin(), ranges.end(), [](const auto& a, const auto& b) {
    return std::tie(a.owner, a.first) < std::tie(b.owner, b.first);
  });
  json::array gaps;
  for (std::size_t i = 1; i < ranges.size(); ++i) {
    const auto& before = ranges[i - 1];
    const auto& after = ranges[i];
    if (before.owner == after.owner && after.first > before.last + 1) {
      gaps.push_back(MakeGapRecord(
          after.owner, after.first - before.last - 1,
          "records " + std::to_string(before.last + 1) + " to " +
              std::to_string(after.first - 1) + " are not stored"));
    }
  }
  return gaps;
}

json::object MakeTailGap(const RecordOwner& owner, std::uint64_t last) {
  return MakeGapRecord(owner, "unknown",
                       "the instance ended without notice; records after " +
                           std::to_string(last) + " may be missing");
}

bool RefusalPage::ShouldRead(std::string_view name) const {
  const auto parts = ParseBatchName(name);
  return parts && (query_.instance.empty() ||
                   parts.value().owner.instance == query_.instance);
}

bool RefusalPage::Matches(const json::object& record) const {
  const auto* when = record.if_contains("when_ms");
  if (when == nullptr || !when->is_int64() ||
      when->get_int64() < query_.from_ms || when->get_int64() >= query_.to_ms) {
    return false;
  }
  const std::string_view kind = TextOf(record, "kind");
  if (kind == "start") {
    return false;
  }
  // Lost records may belong to any workspace and kind, so a gap matches all.
  const bool gap = kind == "gap";
  const auto matches = [](std::string_view wanted, std::string_view found) {
    return wanted.empty() || wanted == found;
  };
  return matches(query_.instance, TextOf(record, "instance")) &&
         (gap || (matches(query_.workspace, TextOf(record, "workspace")) &&
                  matches(query_.kind, kind)));
}

void RefusalPage::Add(std::string_view name, std::string_view lines) {
  const auto parts = ParseBatchName(name);
  if (!parts) {
    return;
  }
  ranges_.push_back(
      {parts.value().owner, parts.value().first, LastNumber(lines)});
  while (!lines.empty()) {
    const std::string_view line = lines.substr(0, lines.find('\n'));
    lines.remove_prefix(std::min(lines.size(), line.size() + 1));
    boost::system::error_code failure;
    json::value record = json::parse(line, failure);
    if (!failure && record.is_object() && Matches(record.get_object())) {
      bytes_ += line.size();
      records_.push_back(std::move(record));
    }
  }
}

bool RefusalPage::full() const {
  return records_.size() >= kMaxPageRecords || bytes_ >= kMaxPageBytes ||
         ranges_.size() >= kMaxPageObjects;
}

}  // namespace jackdaw
