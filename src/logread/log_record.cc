#include "logread/log_record.h"

#include <algorithm>
#include <charconv>
#include <ctime>

namespace jackdaw::logread {
namespace {

constexpr std::string_view kRecordStart = "{\"time\"";
// Length of `2026-01-31T08:00:00.000000Z`.
constexpr std::size_t kTimeLength = 27;

int ParseDigits(std::string_view text, std::size_t from, std::size_t count) {
  int value = 0;
  std::from_chars(text.data() + from, text.data() + from + count, value);
  return value;
}

}  // namespace

std::string LogRecord::Text(std::string_view name) const {
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::int64_t LogRecord::Number(std::string_view name) const {
  const std::string text = Text(name);
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::optional<LogRecord> ParseRecord(std::string_view line) {
  const auto begin = line.find(kRecordStart);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  line.remove_prefix(begin);
  boost::system::error_code failure;
  boost::json::value value = boost::json::parse(
      boost::json::string_view(line.data(), line.size()), failure);
  if (failure || !value.is_object()) {
    return std::nullopt;
  }
  LogRecord record;
  record.fields = std::move(value.get_object());
  record.time = record.Text("time");
  record.process = record.Text("process");
  record.event = record.Text("message");
  return record;
}

std::size_t ReadRecords(std::istream& in, std::vector<LogRecord>& records) {
  std::size_t skipped = 0;
  std::string line;
  while (std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (auto record = ParseRecord(line)) {
      records.push_back(std::move(*record));
    } else {
      ++skipped;
    }
  }
  return skipped;
}

void SortByTime(std::vector<LogRecord>& records) {
  std::stable_sort(
      records.begin(), records.end(),
      [](const LogRecord& a, const LogRecord& b) { return a.time < b.time; });
}

std::int64_t TimeMillis(std::string_view time) {
  if (time.size() != kTimeLength) {
    return 0;
  }
  std::tm parts{};
  parts.tm_year = ParseDigits(time, 0, 4) - 1900;
  parts.tm_mon = ParseDigits(time, 5, 2) - 1;
  parts.tm_mday = ParseDigits(time, 8, 2);
  parts.tm_hour = ParseDigits(time, 11, 2);
  parts.tm_min = ParseDigits(time, 14, 2);
  parts.tm_sec = ParseDigits(time, 17, 2);
  return static_cast<std::int64_t>(::timegm(&parts)) * 1000 +
         ParseDigits(time, 20, 3);
}

}  // namespace jackdaw::logread
