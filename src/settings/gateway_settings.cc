#include "settings/gateway_settings.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/object_reader.h"

namespace jackdaw::serving {
namespace {

// Largest time that a setting may name.
constexpr std::int64_t kMostMs = 3600'000;
// Ratios are written in thousandths.
constexpr double kMilli = 1000;

Endpoint ReadEndpoint(ObjectReader& reader, std::string_view key) {
  const auto endpoint = ParseEndpoint(reader.Text(key));
  if (!endpoint) {
    reader.Fail(key, "is not an IP number and a port");
    return {};
  }
  return endpoint.value();
}

Micros ReadMs(ObjectReader& reader, std::string_view key) {
  return std::chrono::milliseconds(reader.Integer(key, 1, kMostMs));
}

// A ratio, which JSON may write as a whole number or not.
double ReadRatio(ObjectReader& reader, std::string_view key, double most) {
  const auto* value = reader.Any(key);
  if (value == nullptr || !value->is_number()) {
    reader.Fail(key, "is not a number");
    return 0;
  }
  const double ratio = value->to_number<double>();
  if (ratio < 0 || ratio > most) {
    reader.Fail(key, "is out of range");
  }
  return ratio;
}

// Null or 0 stand for a limit that is not known.
std::optional<double> ReadLink(ObjectReader& reader, std::string_view key) {
  constexpr double kMaxLinkMbps = 1e6;
  const auto* value = reader.Any(key);
  if (value == nullptr || value->is_null()) {
    return std::nullopt;
  }
  const double link = ReadRatio(reader, key, kMaxLinkMbps);
  return link > 0 ? std::optional(link) : std::nullopt;
}

}  // namespace

bool IsGatewaySettings(std::string_view document) {
  const auto value = ParseJson(document);
  return value && value.value().is_object() &&
         value.value().get_object().contains("store");
}

Result<GatewaySettings> ParseGatewaySettings(std::string_view document) {
  BOOST_OUTCOME_TRY(const boost::json::value value, ParseJson(document));
  ObjectReader reader(value, "");
  GatewaySettings settings;
  settings.name = reader.Text("name");
  settings.failure_domain = reader.Text("failure_domain");
  settings.entry = ReadEndpoint(reader, "entry");
  settings.ready = ReadEndpoint(reader, "ready");
  settings.directory = ReadEndpoint(reader, "directory");
  settings.peer = ReadEndpoint(reader, "peer");
  settings.store = ReadEndpoint(reader, "store");
  settings.metrics = ReadEndpoint(reader, "metrics");
  settings.log_level = reader.TextOr("log_level", settings.log_level);
  settings.stop_time = ReadMs(reader, "stop_ms");
  settings.lease_time = ReadMs(reader, "lease_ms");
  settings.directory_time = ReadMs(reader, "directory_ms");
  settings.retries.ratio = ReadRatio(reader, "retry_ratio", kMilli);
  settings.retries.extra = ReadRatio(reader, "retry_extra", 1e9);
  settings.retries.window = ReadMs(reader, "retry_window_ms");
  settings.quotas.overshoot = ReadRatio(reader, "quota_overshoot", kMilli);
  settings.quotas.slack = ReadRatio(reader, "quota_slack", 1e12);
  settings.link_mbps = ReadLink(reader, "link_mbps");
  BOOST_OUTCOME_TRY(reader.Finish());
  return settings;
}

}  // namespace jackdaw::serving
