#pragma once

#include <string>
#include <string_view>

namespace jackdaw {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

/// One member of a structured log line. Never a caller's key.
struct LogField {
  std::string_view name;
  std::string value;
};

/// Sets up logging to standard error. @param format `text` or `json`
/// @param level `trace`, `debug`, `info`, `warn` or `error`
void SetUpLogging(std::string_view process,
                  std::string_view format,
                  std::string_view level);

/// Sets up JSON lines on standard output, written by a thread of their own
/// behind a bounded ring. A full ring drops its oldest lines, which a later
/// line counts; writing never blocks the caller.
void SetUpStandardOutputLogging(std::string_view process,
                                std::string_view level);

/// Writes what still waits; called before the process ends.
void FlushLogging();

/// Writes one line with a message and its fields.
void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields = {});

}  // namespace jackdaw
