#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "http/endpoint.h"

namespace jackdaw {

/// Settings of one instance, from its JSON file.
struct InstanceSettings {
  std::string name;
  std::string failure_domain;
  /// Addresses by IP number; port 0 lets the system pick.
  Endpoint entry;
  Endpoint operators;
  Endpoint peer;
  Endpoint platform;
  std::string log_format = "text";
  std::string log_level = "info";
  std::int64_t body_bytes = 0;
  std::int64_t connections = 0;
  /// Memory that the instance may use.
  std::int64_t memory_mb = 0;
};

/// Reads the settings document.
/// @returns the settings, or the first error with its path and remedy
Result<InstanceSettings> ParseInstanceSettings(std::string_view document);

}  // namespace jackdaw
