#include "ctl/refusals_command.h"

#include <charconv>
#include <ctime>
#include <map>
#include <optional>

#include "core/clock.h"
#include "ctl/printing.h"
#include "http/message.h"
#include "record/refusal_query.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Pages read for one command; a narrower range shows the rest.
constexpr int kMaxPages = 1000;
// Records that one command shows.
constexpr std::size_t kMaxRecords = 100'000;

std::optional<std::int64_t> UnitMillis(char unit) {
  switch (unit) {
    case 's':
      return 1000;
    case 'm':
      return 60'000;
    case 'h':
      return 3'600'000;
    case 'd':
      return 86'400'000;
    default:
      return std::nullopt;
  }
}

std::string TimeText(std::int64_t millis) {
  const auto seconds = static_cast<std::time_t>(millis / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const std::size_t size =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text, size};
}

Result<std::string> Target(const CommandLine& line, std::int64_t now_ms) {
  std::string target = "/v1/refusals?workspace=" + EncodeQuery(line.workspace) +
                       "&kind=" + EncodeQuery(line.kind) +
                       "&instance=" + EncodeQuery(line.instance);
  if (!line.from.empty()) {
    BOOST_OUTCOME_TRY(const auto from, ParseTime(line.from, now_ms));
    target += "&from_ms=" + std::to_string(from);
  }
  BOOST_OUTCOME_TRY(const auto to, line.to.empty()
                                       ? Result<std::int64_t>(now_ms + 1)
                                       : ParseTime(line.to, now_ms));
  return target + "&to_ms=" + std::to_string(to);
}

void AddRanges(const json::value& page, std::vector<NumberRange>& ranges) {
  for (const auto& item : page.at("ranges").as_array()) {
    const json::object& range = item.as_object();
    ranges.push_back({{std::string(range.at("instance").as_string()),
                       range.at("incarnation").to_number<std::uint64_t>()},
                      range.at("first").to_number<std::uint64_t>(),
                      range.at("last").to_number<std::uint64_t>()});
  }
}

// Gaps at the end of an incarnation; those between records are found over
// all pages together.
void AddTailGaps(const json::value& page,
                 std::map<std::string, json::value>& tails) {
  for (const auto& gap : page.at("gaps").as_array()) {
    if (gap.at("lost").is_string()) {
      tails[json::serialize(gap.at("instance")) +
            json::serialize(gap.at("incarnation"))] = gap;
    }
  }
}

// Rows for people: times as text, digests cut short.
json::array ForPeople(const json::array& records) {
  json::array rows;
  for (const auto& record : records) {
    const json::object& from = record.as_object();
    json::object row;
    if (const auto* when = from.if_contains("when_ms"); when != nullptr) {
      row["when"] = TimeText(when->to_number<std::int64_t>());
    } else {
      row["when"] = "-";
    }
    for (const std::string_view member :
         {"kind", "ran", "workspace", "instance", "request_id", "lost",
          "reason"}) {
      if (const auto* value = from.if_contains(member); value != nullptr) {
        row[member] = *value;
      }
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace

Result<std::int64_t> ParseTime(std::string_view text, std::int64_t now_ms) {
  const Error bad{ErrorKind::kInvalidSetting,
                  "'" + std::string(text) + "' is not a time",
                  "write 2026-01-31T08:00:00Z, milliseconds, or -90m"};
  std::int64_t number = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const std::string_view rest(end, text.data() + text.size());
  if (failure == std::errc() && rest.empty()) {
    return number;
  }
  if (failure == std::errc() && number <= 0 && rest.size() == 1) {
    const auto unit = UnitMillis(rest[0]);
    return unit ? Result<std::int64_t>(now_ms + number * *unit)
                : Result<std::int64_t>(bad);
  }
  std::tm parts{};
  const std::string copy(text);
  const char* parsed = strptime(copy.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  if (parsed == nullptr || *parsed != '\0') {
    return bad;
  }
  return static_cast<std::int64_t>(timegm(&parts)) * 1000;
}

Result<std::string> ShowRefusals(const OperatorClient& client,
                                 const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto target,
                    Target(line, ToMillis(MonotonicClock().Now())));
  json::array records;
  std::vector<NumberRange> ranges;
  std::map<std::string, json::value> tails;
  std::string after;
  for (int i = 0; i < kMaxPages && records.size() < kMaxRecords; ++i) {
    BOOST_OUTCOME_TRY(
        auto page, client.Call("GET", target + "&after=" + EncodeQuery(after)));
    auto& found = page.at("refusals").as_array();
    records.insert(records.end(), found.begin(), found.end());
    AddRanges(page, ranges);
    AddTailGaps(page, tails);
    const auto* next = page.as_object().if_contains("next");
    after = next == nullptr ? std::string() : std::string(next->as_string());
    if (after.empty()) {
      break;
    }
  }
  const json::array gaps = FindGaps(std::move(ranges));
  records.insert(records.end(), gaps.begin(), gaps.end());
  for (const auto& [owner, gap] : tails) {
    records.push_back(gap);
  }
  if (line.json) {
    return json::serialize(json::object{{"refusals", std::move(records)},
                                        {"more_after", after}}) +
           "\n";
  }
  const std::string rest =
      after.empty() ? "" : "there is more; narrow --from and --to\n";
  return (records.empty() ? "none\n" : TableText(ForPeople(records))) + rest;
}

}  // namespace jackdaw
