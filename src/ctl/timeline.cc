#include "ctl/timeline.h"

#include <algorithm>
#include <ctime>
#include <map>

#include "timeline/hybrid_clock.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

std::string TextOf(const json::object& event, std::string_view member) {
  const auto* value = event.if_contains(member);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

HybridTimestamp StampOf(const json::object& event) {
  const auto* value = event.if_contains("stamp");
  return value == nullptr ? 0 : value->to_number<HybridTimestamp>();
}

bool Matches(const json::object& event, const TimelineFilter& filter) {
  const auto same = [&](std::string_view member, const std::string& wanted) {
    return wanted.empty() || TextOf(event, member) == wanted;
  };
  return same("request", filter.request) &&
         same("workspace", filter.workspace) && same("target", filter.target);
}

std::string ClockText(std::int64_t millis) {
  const auto seconds = static_cast<std::time_t>(millis / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const std::size_t size =
      std::strftime(text, sizeof(text), "%H:%M:%S", &parts);
  const std::string rest = std::to_string(1000 + millis % 1000);
  return std::string(text, size) + "." + rest.substr(1);
}

std::string Padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

}  // namespace

std::vector<json::object> MergeEvents(std::span<const json::value> documents,
                                      const TimelineFilter& filter) {
  std::vector<json::object> merged;
  for (const auto& document : documents) {
    for (const auto& item : document.at("events").as_array()) {
      json::object event = item.as_object();
      if (Matches(event, filter)) {
        event["process"] = document.at("process");
        merged.push_back(std::move(event));
      }
    }
  }
  std::stable_sort(merged.begin(), merged.end(),
                   [](const json::object& a, const json::object& b) {
                     return StampOf(a) < StampOf(b);
                   });
  return merged;
}

std::string TimelineText(std::span<const json::object> events) {
  std::string text;
  for (const auto& event : events) {
    text += ClockText(TimestampMillis(StampOf(event))) + " " +
            Padded(TextOf(event, "process"), 8) + " " +
            Padded(TextOf(event, "kind"), 18);
    for (const std::string_view member :
         {"request", "workspace", "target", "detail"}) {
      if (const std::string value = TextOf(event, member); !value.empty()) {
        text += " " + value;
      }
    }
    text += "\n";
  }
  return text;
}

std::string TimelineChrome(std::span<const json::object> events) {
  std::map<std::string, int> rows;
  std::map<std::string, HybridTimestamp> admitted;
  json::array trace;
  for (const auto& event : events) {
    const std::string process = TextOf(event, "process");
    const int row =
        rows.emplace(process, static_cast<int>(rows.size()) + 1).first->second;
    const std::string request = TextOf(event, "request");
    const std::string kind = TextOf(event, "kind");
    const HybridTimestamp stamp = StampOf(event);
    const std::int64_t micros = TimestampMillis(stamp) * 1000;
    if (kind == "request-admitted") {
      admitted[request] = stamp;
    }
    const auto begun = admitted.find(request);
    if (kind == "request-finished" && begun != admitted.end()) {
      const std::int64_t start = TimestampMillis(begun->second) * 1000;
      trace.push_back(json::object{{"name", request},
                                   {"ph", "X"},
                                   {"pid", row},
                                   {"tid", 1},
                                   {"ts", start},
                                   {"dur", micros - start},
                                   {"args", event}});
    }
    trace.push_back(json::object{{"name", kind},
                                 {"ph", "i"},
                                 {"s", "p"},
                                 {"pid", row},
                                 {"tid", 1},
                                 {"ts", micros},
                                 {"args", event}});
  }
  for (const auto& [process, row] : rows) {
    trace.push_back(json::object{{"name", "process_name"},
                                 {"ph", "M"},
                                 {"pid", row},
                                 {"args", json::object{{"name", process}}}});
  }
  return json::serialize(json::object{{"traceEvents", std::move(trace)}});
}

}  // namespace jackdaw
