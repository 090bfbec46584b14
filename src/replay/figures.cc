#include "replay/figures.h"

#include <boost/json.hpp>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

double Millis(std::int64_t micros) {
  return static_cast<double>(micros) / 1000.0;
}

json::object ToObject(const Figures& figures) {
  const auto& first = figures.time_to_first_token;
  const auto& between = figures.time_between_tokens;
  return {{"requests", figures.requests},
          {"served", figures.served},
          {"attainment_per_accelerator", figures.attainment_per_accelerator},
          {"moves", figures.moves},
          {"worst_workspace_attainment", figures.worst_workspace_attainment},
          {"wrongful_refusals", figures.wrongful_refusals},
          {"refused_total", figures.refused_total},
          {"overspend_tokens", figures.overspend_tokens},
          {"invariant_violations", figures.invariant_violations},
          {"time_to_first_token_ms",
           json::object{{"p50", Millis(first.Percentile(0.50))},
                        {"p95", Millis(first.Percentile(0.95))},
                        {"p99", Millis(first.Percentile(0.99))}}},
          {"time_between_tokens_ms",
           json::object{{"p95", Millis(between.Percentile(0.95))}}}};
}

// Finds `a` or `a.b` in the figures.
const json::value* FindFigure(const json::object& figures,
                              std::string_view name) {
  const std::size_t dot = name.find('.');
  const json::value* value = figures.if_contains(name.substr(0, dot));
  if (value == nullptr || dot == std::string_view::npos) {
    return value;
  }
  return value->is_object()
             ? value->get_object().if_contains(name.substr(dot + 1))
             : nullptr;
}

std::string CheckBound(const json::object& figures,
                       const json::key_value_pair& wanted) {
  const std::string name(wanted.key());
  const json::value* figure = FindFigure(figures, name);
  if (figure == nullptr || !figure->is_number() ||
      !wanted.value().is_object()) {
    return name + " is no figure with bounds; ";
  }
  const auto found = figure->to_number<double>();
  const auto& bounds = wanted.value().get_object();
  const auto* low = bounds.if_contains("min");
  const auto* high = bounds.if_contains("max");
  if ((low != nullptr && found < low->to_number<double>()) ||
      (high != nullptr && found > high->to_number<double>())) {
    return name + " is " + json::serialize(*figure) + ", outside " +
           json::serialize(bounds) + "; ";
  }
  return {};
}

}  // namespace

std::string EncodeFigures(const Figures& figures) {
  return json::serialize(ToObject(figures));
}

Result<void> CheckOutcomes(const Figures& figures, std::string_view outcomes) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(outcomes));
  if (!value.is_object() || value.get_object().empty()) {
    return Error{ErrorKind::kMalformed, "outcomes must be an object",
                 "write {\"figure\": {\"max\": 0}}"};
  }
  const json::object object = ToObject(figures);
  std::string broken;
  for (const auto& wanted : value.get_object()) {
    broken += CheckBound(object, wanted);
  }
  if (!broken.empty()) {
    return Error{ErrorKind::kConflict, broken, "compare with an earlier run"};
  }
  return success();
}

}  // namespace jackdaw
