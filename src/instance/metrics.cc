#include "instance/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

#include "core/invariant.h"

namespace jackdaw {

struct Metrics::Families {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests =
      prometheus::BuildCounter()
          .Name("requests_total")
          .Help("Requests admitted, by workspace")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& refusals =
      prometheus::BuildCounter()
          .Name("refused_total")
          .Help("Requests refused, by kind and whether they may have run")
          .Register(registry);
  prometheus::Counter& retries = prometheus::BuildCounter()
                                     .Name("retries_total")
                                     .Help("Requests sent to another target")
                                     .Register(registry)
                                     .Add({});
  prometheus::Counter& dropped =
      prometheus::BuildCounter()
          .Name("dropped_answers_total")
          .Help("Answers of targets that were not of their request")
          .Register(registry)
          .Add({});
  prometheus::Counter& tokens = prometheus::BuildCounter()
                                    .Name("streamed_tokens_total")
                                    .Help("Tokens streamed to callers")
                                    .Register(registry)
                                    .Add({});
  prometheus::Histogram& first_byte =
      prometheus::BuildHistogram()
          .Name("time_to_first_token_ms")
          .Help("Milliseconds from a request to its first byte")
          .Register(registry)
          .Add({},
               prometheus::Histogram::BucketBoundaries{
                   1, 2, 5, 10, 20, 50, 100, 200, 500, 970, 2000, 5000});
  prometheus::Gauge& in_flight = prometheus::BuildGauge()
                                     .Name("requests_in_flight")
                                     .Help("Requests being served")
                                     .Register(registry)
                                     .Add({});
  prometheus::Gauge& config_version =
      prometheus::BuildGauge()
          .Name("config_version")
          .Help("Version of the configuration in force")
          .Register(registry)
          .Add({});
  prometheus::Gauge& violations = prometheus::BuildGauge()
                                      .Name("invariant_violations")
                                      .Help("Invariants found broken")
                                      .Register(registry)
                                      .Add({});
};

Metrics::Metrics() : families_(std::make_unique<Families>()) {}

Metrics::~Metrics() = default;

void Metrics::CountRequest(std::string_view workspace) {
  families_->requests.Add({{"workspace", std::string(workspace)}}).Increment();
}

void Metrics::CountRefusal(RefusalKind kind, Ran ran) {
  families_->refusals
      .Add({{"kind", std::string(TraitsOf(kind).name)},
            {"ran", std::string(Name(ran))}})
      .Increment();
}

void Metrics::CountRetry() {
  families_->retries.Increment();
}

void Metrics::CountDroppedAnswer() {
  families_->dropped.Increment();
}

void Metrics::CountTokens(std::uint64_t tokens) {
  families_->tokens.Increment(static_cast<double>(tokens));
}

void Metrics::ObserveFirstByte(double millis) {
  families_->first_byte.Observe(millis);
}

void Metrics::SetInFlight(double requests) {
  families_->in_flight.Set(requests);
}

void Metrics::SetConfigVersion(double version) {
  families_->config_version.Set(version);
}

std::string Metrics::Expose() const {
  families_->violations.Set(static_cast<double>(InvariantBreachCount()));
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, families_->registry.Collect());
  return text.str();
}

}  // namespace jackdaw
