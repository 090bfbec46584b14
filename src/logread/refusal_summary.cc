#include "logread/refusal_summary.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace jackdaw::logread {
namespace {

bool IsCounted(const LogRecord& record, const TimeRange& span) {
  if (record.event != "request" || record.Text("outcome") == "answered") {
    return false;
  }
  return (span.from.empty() || record.time >= span.from) &&
         (span.to.empty() || record.time < span.to);
}

}  // namespace

std::vector<RefusalGroup> SummarizeRefusals(
    const std::vector<LogRecord>& records,
    const TimeRange& span) {
  using Key = std::tuple<std::string, std::string, std::string, std::string>;
  std::map<Key, RefusalGroup> groups;
  for (const LogRecord& record : records) {
    if (!IsCounted(record, span)) {
      continue;
    }
    RefusalGroup& group =
        groups[Key(record.Text("outcome"), record.Text("reason"),
                   record.Text("workspace"), record.process)];
    if (group.count == 0) {
      group = {record.Text("outcome"),
               record.Text("reason"),
               record.Text("workspace"),
               record.process,
               0,
               record.Text("id")};
    }
    ++group.count;
  }
  std::vector<RefusalGroup> sorted;
  sorted.reserve(groups.size());
  for (auto& [key, group] : groups) {
    sorted.push_back(std::move(group));
  }
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const RefusalGroup& a, const RefusalGroup& b) {
                     return a.count > b.count;
                   });
  return sorted;
}

std::string RefusalText(const std::vector<RefusalGroup>& groups) {
  std::string text = "count  outcome  reason  workspace  instance  example\n";
  for (const RefusalGroup& group : groups) {
    text += std::to_string(group.count) + "  " + group.outcome + "  " +
            group.reason + "  " +
            (group.workspace.empty() ? "-" : group.workspace) + "  " +
            group.instance + "  " + group.example + "\n";
  }
  return text;
}

boost::json::value RefusalJson(const std::vector<RefusalGroup>& groups) {
  boost::json::array array;
  for (const RefusalGroup& group : groups) {
    array.push_back({{"count", group.count},
                     {"outcome", group.outcome},
                     {"reason", group.reason},
                     {"workspace", group.workspace},
                     {"instance", group.instance},
                     {"example", group.example}});
  }
  return array;
}

}  // namespace jackdaw::logread
