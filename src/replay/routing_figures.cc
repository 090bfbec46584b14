#include "replay/routing_figures.h"

namespace jackdaw {

boost::json::object ToJson(const RoutingCase& shape,
                           const RoutingFigures& figures) {
  const auto millis = [](const std::vector<std::int64_t>& values,
                         std::size_t percent) {
    return PercentileOf(values, percent) / 1000;
  };
  double worst = 1;
  std::int64_t attained = 0;
  std::int64_t asked = 0;
  for (std::uint32_t i = 0; i < kRoutingWorkspaces; ++i) {
    worst = std::min(worst, figures.AttainedBy(i));
    attained += figures.attained.at(i);
    asked += figures.asked.at(i);
  }
  const double seconds = static_cast<double>(shape.time.count()) / 1e6;
  return {
      {"case", shape.name},
      {"requests", asked},
      {"time_to_first_token_ms",
       boost::json::object{{"p50", millis(figures.first_token_us, 50)},
                           {"p95", millis(figures.first_token_us, 95)},
                           {"p99", millis(figures.first_token_us, 99)}}},
      {"time_between_tokens_ms",
       boost::json::object{{"p95", millis(figures.between_tokens_us, 95)}}},
      {"attainment", static_cast<double>(attained) /
                         static_cast<double>(std::max<std::int64_t>(1, asked))},
      {"attainment_per_accelerator",
       static_cast<double>(attained) / seconds / shape.accelerators},
      {"worst_workspace_attainment", worst}};
}

}  // namespace jackdaw
