#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <string_view>

#include "core/time.h"
#include "serving/config.h"

namespace jackdaw::serving {

/// How one request ended.
struct RequestEnd {
  RouteKind kind = RouteKind::kAtMostOnce;
  int priority = 5;
  std::string_view outcome;
  std::string_view reason;
  /// Zero where no byte of an answer was sent.
  Micros first_byte{};
  Micros took{};
  bool late = false;
};

/// State of the instance at the moment of a scrape.
struct GatewayState {
  std::uint64_t under_way = 0;
  std::uint64_t waiting = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t resumed = 0;
  std::uint64_t targets_usable = 0;
  std::uint64_t targets_leaving = 0;
  std::uint64_t targets_suspected = 0;
  std::uint64_t members = 0;
  std::int64_t config_version = 0;
  double quota_share = 0;
  std::uint64_t store_calls = 0;
  std::uint64_t orders_sent = 0;
  std::uint64_t model_loads = 0;
  bool store_lost = false;
  bool ready = false;
  bool leads = false;
  bool following = false;
};

/// Counters, gauges and histograms of one instance, as text for Prometheus.
class GatewayMetrics {
 public:
  GatewayMetrics();

  void OnRequestEnd(const RequestEnd& end);
  /// @returns the text exposition with the gauges set from `state`
  std::string Text(const GatewayState& state);

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& ended_;
  prometheus::Family<prometheus::Counter>& late_;
  prometheus::Family<prometheus::Histogram>& first_byte_;
  prometheus::Family<prometheus::Histogram>& took_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  std::map<std::string, prometheus::Gauge*> state_;
};

}  // namespace jackdaw::serving
