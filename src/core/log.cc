#include "core/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/json.hpp>
#include <memory>
#include <optional>

#include "core/line_budget.h"

namespace jackdaw {
namespace {

// Lines that may wait for the thread that writes them.
constexpr std::size_t kLogRing = 4096;

// Lines of one kind that an instance on the platform writes in a second.
constexpr std::int64_t kLinesPerSecond = 150;

bool json_format = false;
// Bounds the lines of an instance on the platform, whose one event loop is the
// only thread that logs; unset elsewhere.
std::optional<LineBudget> line_budget;
std::size_t overruns_told = 0;
std::string process_name;

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kTrace:
      return spdlog::level::trace;
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarn:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::string FormatText(std::string_view message,
                       std::initializer_list<LogField> fields) {
  std::string line(message);
  for (const auto& field : fields) {
    line += " ";
    line += field.name;
    line += "=";
    line += boost::json::serialize(boost::json::value(field.value));
  }
  return line;
}

std::string FormatJson(std::string_view message,
                       std::initializer_list<LogField> fields) {
  boost::json::object object{{"process", process_name}, {"message", message}};
  for (const auto& field : fields) {
    object[field.name] = field.value;
  }
  const std::string text = boost::json::serialize(object);
  return text.substr(1);
}

// Successes and failures of one event are counted apart, so that the many
// do not crowd out the few.
std::string BudgetKind(std::string_view message,
                       std::initializer_list<LogField> fields) {
  std::string kind(message);
  for (const LogField& field : fields) {
    if (field.name == "outcome") {
      kind += "/" + field.value;
    }
  }
  return kind;
}

void Write(LogLevel level,
           std::string_view message,
           std::initializer_list<LogField> fields) {
  spdlog::log(
      ToSpdlog(level), "{}",
      json_format ? FormatJson(message, fields) : FormatText(message, fields));
}

// Says how many lines were left out, by the bound or by a full ring.
void TellDropped(Instant now) {
  for (const LineBudget::Dropped& dropped : line_budget->TakeDropped(now)) {
    Write(LogLevel::kWarn, "log_lines_dropped",
          {{"kind", dropped.kind}, {"count", std::to_string(dropped.count)}});
  }
  const std::size_t overruns = spdlog::thread_pool()->overrun_counter();
  if (overruns != overruns_told) {
    Write(LogLevel::kWarn, "log_lines_dropped",
          {{"kind", "ring"},
           {"count", std::to_string(overruns - overruns_told)}});
    overruns_told = overruns;
  }
}

}  // namespace

void SetUpLogging(std::string_view process,
                  std::string_view format,
                  std::string_view level) {
  json_format = format == "json";
  process_name = process;
  auto logger = std::make_shared<spdlog::logger>(
      process_name, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_pattern(json_format
                          ? R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v)"
                          : "%Y-%m-%dT%H:%M:%S.%eZ %l %n %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(std::string(level)));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void SetUpStandardOutputLogging(std::string_view process,
                                std::string_view level) {
  json_format = true;
  process_name = process;
  line_budget.emplace(kLinesPerSecond);
  spdlog::init_thread_pool(kLogRing, 1);
  auto logger = std::make_shared<spdlog::async_logger>(
      process_name, std::make_shared<spdlog::sinks::stdout_sink_mt>(),
      spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v)",
                      spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(std::string(level)));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void FlushLogging() {
  line_budget.reset();
  spdlog::shutdown();
}

void Log(LogLevel level,
         std::string_view message,
         std::initializer_list<LogField> fields) {
  if (!spdlog::should_log(ToSpdlog(level))) {
    return;
  }
  if (line_budget) {
    const Instant now =
        std::chrono::time_point_cast<Micros>(std::chrono::system_clock::now());
    TellDropped(now);
    if (!line_budget->Allow(BudgetKind(message, fields), now)) {
      return;
    }
  }
  Write(level, message, fields);
}

}  // namespace jackdaw
