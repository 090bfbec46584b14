#include "settings/gateway_settings.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/object_reader.h"
#include "platform/contracts.h"

namespace jackdaw::serving {
namespace {

// Largest time that a setting may name.
constexpr std::int64_t kMostMs = 3600'000;
// Bounds of the memory and the descriptors that settings may name. Below the
// lower ones an instance could not serve one request of the largest size beside
// its own state.
constexpr std::int64_t kLeastMemoryMb = 48;
constexpr std::int64_t kMostMemoryMb = 1'048'576;
constexpr std::int64_t kLeastDescriptors = 128;
constexpr std::int64_t kMostDescriptors = 1'000'000;
// Ratios are written in thousandths.
constexpr double kMilli = 1000;
// Largest slack of the bound of a cold target, in requests.
constexpr double kMaxSlack = 1e6;

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

double ReadRatioOr(ObjectReader& reader,
                   std::string_view key,
                   double most,
                   double fallback) {
  return reader.Any(key) == nullptr ? fallback : ReadRatio(reader, key, most);
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

// Reads the region of each failure domain. The instance's own is stated apart,
// too.
RegionMap ReadRegions(ObjectReader& reader, const GatewaySettings& settings) {
  RegionMap regions;
  const auto* value = reader.Any("regions");
  if (value != nullptr && !value->is_object()) {
    reader.Fail("regions", "is not an object");
  } else if (value != nullptr) {
    for (const auto& [domain, region] : value->get_object()) {
      if (!region.is_string()) {
        reader.Fail("regions", "has a region that is not a text");
        break;
      }
      regions.emplace(domain, region.get_string());
    }
  }
  if (!settings.region.empty()) {
    regions.emplace(settings.failure_domain, settings.region);
  }
  return regions;
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
  settings.region = reader.TextOr("region", "");
  settings.regions = ReadRegions(reader, settings);
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
  settings.cold_overshoot =
      ReadRatioOr(reader, "cold_overshoot", kMilli, settings.cold_overshoot);
  settings.cold_slack =
      ReadRatioOr(reader, "cold_slack", kMaxSlack, settings.cold_slack);
  settings.link_mbps = ReadLink(reader, "link_mbps");
  settings.forecast_load =
      platform::TargetsBoundMemory(reader.TextsOr("contracts"));
  if (const auto* value = reader.Any("domain_preference")) {
    ObjectReader preference(*value, "domain_preference");
    settings.domain_preference.enabled = true;
    settings.domain_preference.stay_share = ReadRatioOr(
        preference, "stay_share", 1, settings.domain_preference.stay_share);
    settings.domain_preference.cost_ms = ReadRatioOr(
        preference, "cost_ms", kMostMs, settings.domain_preference.cost_ms);
    BOOST_OUTCOME_TRY(preference.Finish());
  }
  settings.memory_mb = reader.IntegerOr("memory_mb", kLeastMemoryMb,
                                        kMostMemoryMb, settings.memory_mb);
  settings.max_descriptors =
      reader.IntegerOr("max_descriptors", kLeastDescriptors, kMostDescriptors,
                       settings.max_descriptors);
  BOOST_OUTCOME_TRY(reader.Finish());
  return settings;
}

}  // namespace jackdaw::serving
