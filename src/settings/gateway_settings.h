#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/time.h"
#include "gateway/domain_preference.h"
#include "gateway/homes.h"
#include "gateway/retry_limiter.h"
#include "http/endpoint.h"
#include "quota/local_quotas.h"

namespace jackdaw::serving {

/// Settings of an instance that serves callers of the platform, from its JSON
/// file.
struct GatewaySettings {
  std::string name;
  std::string failure_domain;
  /// Region of the instance; empty if the deployment names none.
  std::string region;
  /// Region of each failure domain, the instance's own included.
  RegionMap regions;
  /// Where callers connect.
  Endpoint entry;
  /// Where the platform asks whether the instance is ready.
  Endpoint ready;
  /// Where callers ask which instances to use.
  Endpoint directory;
  /// Where other instances and operators ask.
  Endpoint peer;
  Endpoint store;
  /// Where metrics are served.
  Endpoint metrics;
  std::string log_level = "info";
  /// Time to end all work after a request to stop.
  Micros stop_time{};
  /// Time without a renewal after which another instance may lead.
  Micros lease_time{};
  /// Time for which callers may keep the answer of the directory.
  Micros directory_time{};
  /// Memory of the machine that the instance may use.
  std::int64_t memory_mb = 256;
  /// Descriptors that the process may have open.
  std::int64_t max_descriptors = 4096;
  RetryLimits retries;
  QuotaTolerance quotas;
  /// Bound of the requests that a cold target gets in a second: the factor of
  /// what it sustains, and what is added.
  double cold_overshoot = 1;
  double cold_slack = 0;
  /// Targets end if the requests that they hold exceed their memory, so the
  /// load of all targets is forecast request by request.
  bool forecast_load = false;
  /// When requests leave the failure domain.
  DomainPreferenceSettings domain_preference;
  /// Link of the instance in Mbit/s, if known. A leader bounds by it what it
  /// relays to the fleet.
  std::optional<double> link_mbps;
};

/// Reads the settings document.
/// @returns the settings, or the first error with its path and remedy
Result<GatewaySettings> ParseGatewaySettings(std::string_view document);

/// Whether a document holds settings of this kind.
bool IsGatewaySettings(std::string_view document);

}  // namespace jackdaw::serving
