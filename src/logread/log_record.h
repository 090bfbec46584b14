#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::logread {

/// One line of a process's log.
struct LogRecord {
  /// As written: UTC with microseconds; compares in order of time.
  std::string time;
  std::string process;
  std::string event;
  boost::json::object fields;

  /// A text field. @returns empty when absent
  std::string Text(std::string_view name) const;
  /// A field that holds a number as text. @returns 0 when absent
  std::int64_t Number(std::string_view name) const;
};

/// Reads one line. What stands before the record, such as a prefix that a
/// collector adds, is skipped.
/// @returns nothing for a line that holds no record
std::optional<LogRecord> ParseRecord(std::string_view line);

/// Reads all records of a stream and appends them.
/// @returns the number of lines that held none
std::size_t ReadRecords(std::istream& in, std::vector<LogRecord>& records);

/// Sorts records of several processes by time.
void SortByTime(std::vector<LogRecord>& records);

/// Milliseconds since the Unix epoch of a record's time; 0 where unreadable.
std::int64_t TimeMillis(std::string_view time);

}  // namespace jackdaw::logread
