#include "routing/target_report.h"

#include <boost/json.hpp>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr std::int64_t kMaxIncarnation = 1LL << 60;

}  // namespace

std::string EncodeReport(const TargetReport& report) {
  return boost::json::serialize(boost::json::object{
      {"running", report.running},
      {"waiting", report.waiting},
      {"memory_mb", report.memory_mb},
      {"used_mb", report.used_mb},
      {"leaving", report.leaving},
      {"incarnation", report.incarnation},
      {"models", boost::json::value_from(report.models)},
      {"adapters", boost::json::value_from(report.adapters)},
      {"items", ToJson(report.items)}});
}

Result<TargetReport> DecodeReport(std::string_view body) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  ObjectReader reader(value, "");
  TargetReport report;
  report.running = reader.IntegerOr("running", 0, kMaxCount, 0);
  report.waiting = reader.IntegerOr("waiting", 0, kMaxCount, 0);
  report.memory_mb = reader.IntegerOr("memory_mb", 0, kMaxCount, 0);
  report.used_mb = reader.IntegerOr("used_mb", 0, kMaxCount, 0);
  report.leaving = reader.FlagOr("leaving", false);
  report.incarnation = reader.IntegerOr("incarnation", 0, kMaxIncarnation, 0);
  report.models = reader.TextsOr("models");
  report.adapters = reader.TextsOr("adapters");
  BOOST_OUTCOME_TRY(report.items, ReadEngineArtifacts(reader.ItemsOr("items"),
                                                      reader.PathOf("items")));
  BOOST_OUTCOME_TRY(reader.Finish());
  return report;
}

}  // namespace jackdaw
