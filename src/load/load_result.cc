#include "load/load_result.h"

#include <algorithm>
#include <boost/json.hpp>

namespace jackdaw {
namespace {

namespace json = boost::json;

json::object Percentiles(const Histogram& histogram) {
  const auto millis = [&](double part) {
    return static_cast<double>(histogram.Percentile(part)) / 1000.0;
  };
  return {{"p50", millis(0.50)},
          {"p95", millis(0.95)},
          {"p99", millis(0.99)},
          {"max", static_cast<double>(histogram.max()) / 1000.0},
          {"count", histogram.total()}};
}

}  // namespace

void LoadResult::Merge(const LoadResult& other) {
  sent += other.sent;
  served += other.served;
  tokens += other.tokens;
  refused += other.refused;
  cut_off += other.cut_off;
  broken_answers += other.broken_answers;
  doubled_calls += other.doubled_calls;
  for (const auto& [kind, count] : other.refused_by_kind) {
    refused_by_kind[kind] += count;
  }
  for (const auto& [name, figures] : other.workspaces) {
    auto& mine = workspaces[name];
    mine.sent += figures.sent;
    mine.served += figures.served;
    mine.attained += figures.attained;
  }
  first_token.Merge(other.first_token);
  between_tokens.Merge(other.between_tokens);
  whole.Merge(other.whole);
}

std::string EncodeLoadResult(const LoadResult& result,
                             double seconds,
                             std::int64_t accelerators) {
  json::object kinds;
  for (const auto& [kind, count] : result.refused_by_kind) {
    kinds[kind] = count;
  }
  json::object workspaces;
  double worst = 1.0;
  std::uint64_t attained = 0;
  for (const auto& [name, figures] : result.workspaces) {
    const double part = figures.sent == 0
                            ? 1.0
                            : static_cast<double>(figures.attained) /
                                  static_cast<double>(figures.sent);
    worst = std::min(worst, part);
    attained += figures.attained;
    workspaces[name] = json::object{{"sent", figures.sent},
                                    {"served", figures.served},
                                    {"attained", figures.attained}};
  }
  return json::serialize(json::object{
      {"sent", result.sent},
      {"served", result.served},
      {"refused_total", result.refused},
      {"refused_by_kind", std::move(kinds)},
      {"cut_off", result.cut_off},
      {"broken_answers", result.broken_answers},
      {"doubled_calls", result.doubled_calls},
      {"tokens", result.tokens},
      {"tokens_per_s", static_cast<double>(result.tokens) / seconds},
      {"attainment_per_accelerator",
       static_cast<double>(attained) / seconds /
           static_cast<double>(std::max<std::int64_t>(1, accelerators))},
      {"worst_workspace_attainment", worst},
      {"time_to_first_token_ms", Percentiles(result.first_token)},
      {"time_between_tokens_ms", Percentiles(result.between_tokens)},
      {"whole_answer_ms", Percentiles(result.whole)},
      {"workspaces", std::move(workspaces)}});
}

}  // namespace jackdaw
