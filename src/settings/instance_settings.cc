#include "settings/instance_settings.h"

#include <array>
#include <span>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

constexpr std::int64_t kMaxBodyBytes = 64LL * 1024 * 1024;
constexpr std::int64_t kDefaultBodyBytes = 1024LL * 1024;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::int64_t kDefaultConnections = 4096;
constexpr std::int64_t kLeastMemoryMb = 48;
constexpr std::int64_t kMostMemoryMb = 1'048'576;
constexpr std::int64_t kDefaultMemoryMb = 120;

Endpoint ReadEndpoint(ObjectReader& reader, std::string_view key) {
  const std::string text = reader.Text(key);
  if (text.empty()) {
    return {};
  }
  const Result<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint) {
    reader.Fail(key, endpoint.error().message + "; " + endpoint.error().remedy);
    return {};
  }
  return endpoint.value();
}

std::string ReadChoice(ObjectReader& reader,
                       std::string_view key,
                       std::span<const std::string_view> choices) {
  std::string text = reader.TextOr(key, choices.front());
  std::string listed;
  for (const auto choice : choices) {
    if (text == choice) {
      return text;
    }
    listed += listed.empty() ? "" : ", ";
    listed += choice;
  }
  reader.Fail(key, "must be one of: " + listed);
  return {};
}

}  // namespace

Result<InstanceSettings> ParseInstanceSettings(std::string_view document) {
  constexpr std::array<std::string_view, 2> kFormats{"text", "json"};
  constexpr std::array<std::string_view, 5> kLevels{"info", "debug", "warn",
                                                    "error", "trace"};
  BOOST_OUTCOME_TRY(const auto value, ParseJson(document));
  ObjectReader reader(value, "");
  InstanceSettings settings;
  settings.name = reader.Text("name");
  settings.failure_domain = reader.Text("failure_domain");
  settings.entry = ReadEndpoint(reader, "entry");
  settings.operators = ReadEndpoint(reader, "operators");
  settings.peer = ReadEndpoint(reader, "peer");
  settings.platform = ReadEndpoint(reader, "platform");
  settings.log_format = ReadChoice(reader, "log_format", kFormats);
  settings.log_level = ReadChoice(reader, "log_level", kLevels);
  settings.body_bytes =
      reader.IntegerOr("body_bytes", 1024, kMaxBodyBytes, kDefaultBodyBytes);
  settings.connections =
      reader.IntegerOr("connections", 16, kMaxConnections, kDefaultConnections);
  settings.memory_mb = reader.IntegerOr("memory_mb", kLeastMemoryMb,
                                        kMostMemoryMb, kDefaultMemoryMb);
  BOOST_OUTCOME_TRY(reader.Finish());
  return settings;
}

}  // namespace jackdaw
