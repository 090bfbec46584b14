#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::logread {

/// One log record of a process.
struct LogRecord {
  /// UTC time with microseconds, as written; sorts chronologically as text.
  std::string time;
  std::string process;
  std::string event;
  boost::json::object fields;

  /// Returns a text field, or an empty string if it is absent.
  std::string Text(std::string_view name) const;
  /// Returns a field that holds a number as text, or 0 if it is absent.
  std::int64_t Number(std::string_view name) const;
};

/// Parses one line. Text before the record, such as the prefix of a log
/// collector, is skipped.
/// @returns nullopt for a line without a record
std::optional<LogRecord> ParseRecord(std::string_view line);

/// Reads all records of a stream and appends them.
/// @returns the number of lines without a record
std::size_t ReadRecords(std::istream& in, std::vector<LogRecord>& records);

/// Sorts records of several processes by time.
void SortByTime(std::vector<LogRecord>& records);

/// Converts the time of a record to milliseconds since the Unix epoch.
/// @returns 0 if the text does not have the length of a record time
std::int64_t TimeMillis(std::string_view time);

}  // namespace jackdaw::logread
