#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "http/endpoint.h"

namespace jackdaw {

/// A workspace that sends load: its key and its part of all requests.
struct LoadWorkspace {
  std::string name;
  std::string key;
  std::int64_t weight = 1;
};

/// What a load run sends.
struct LoadPlan {
  /// Entry of any instance to ask first; with `direct`, an engine itself.
  Endpoint start;
  bool direct = false;
  std::vector<LoadWorkspace> workspaces;
  std::vector<std::string> models;
  /// Plain service with `POST /book`; empty for none.
  std::string service;
  /// Part of all requests that are bookings, in thousandths.
  std::int64_t bookings_per_mille = 0;
  std::int64_t requests_per_s = 50;
  std::int64_t seconds = 10;
  std::int64_t tokens = 32;
  std::int64_t prompt_words = 16;
  std::uint64_t seed = 1;
  int threads = 1;
};

}  // namespace jackdaw
