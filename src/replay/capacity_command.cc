#include <malloc.h>

#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <vector>

#include "core/digest.h"
#include "core/random.h"
#include "decisions/admission.h"
#include "proto/peer.pb.h"
#include "record/refusal_record.h"
#include "replay/command.h"
#include "replay/design_size.h"
#include "replay/slope.h"
#include "routing/router.h"
#include "timeline/event.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

constexpr Instant kNow{Micros(1'700'000'000'000'000)};

// Microseconds that `work` takes on average; the least of three rounds, which
// other load on the machine disturbs least.
double MicrosOf(int repeats, const std::function<void()>& work) {
  double least = 1e12;
  for (int round = 0; round < 3; ++round) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < repeats; ++i) {
      work();
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - start;
    least = std::min(least, spent.count() / repeats);
  }
  return least;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

// A configuration document with this many models and what comes with them.
std::string DocumentOf(std::int64_t models,
                       std::int64_t engines,
                       std::int64_t workspaces) {
  json::array model_items;
  json::array adapter_items;
  json::array target_items;
  json::array names;
  json::array target_names;
  for (std::int64_t i = 0; i < models; ++i) {
    const std::string name = "model-" + std::to_string(i);
    names.emplace_back(name);
    model_items.push_back(json::object{{"name", name}, {"memory_mb", 16000}});
    for (int a = 0; a < 4; ++a) {
      adapter_items.push_back(
          json::object{{"name", name + "-adapter-" + std::to_string(a)},
                       {"model", name},
                       {"memory_mb", 200}});
    }
  }
  for (std::int64_t i = 0; i < engines; ++i) {
    const std::string name = "engine-" + std::to_string(i);
    target_names.emplace_back(name);
    target_items.push_back(
        json::object{{"name", name},
                     {"address", "10.0.0.1:9000"},
                     {"failure_domain", "domain-" + std::to_string(i % 6)},
                     {"memory_mb", 640000},
                     {"accelerators", 8}});
  }
  json::array workspace_items;
  json::array key_items;
  for (std::int64_t i = 0; i < workspaces; ++i) {
    const std::string name = "workspace-" + std::to_string(i);
    workspace_items.push_back(json::object{{"name", name}});
    for (std::int64_t k = 0; k < DesignSize::kKeysPerWorkspace; ++k) {
      const std::string id = name + "-" + std::to_string(k);
      key_items.push_back(json::object{
          {"id", id}, {"workspace", name}, {"digest", Sha256Hex(id)}});
    }
  }
  const json::object deployment{
      {"name", "all"}, {"models", names}, {"targets", target_names}};
  return json::serialize(
      json::object{{"workspaces", workspace_items},
                   {"keys", key_items},
                   {"targets", target_items},
                   {"models", model_items},
                   {"adapters", adapter_items},
                   {"deployments", json::array{deployment}}});
}

FleetConfigPtr ConfigOf(std::int64_t models,
                        std::int64_t engines,
                        std::int64_t workspaces) {
  return std::make_shared<const FleetConfig>(
      ParseFleetConfig(DocumentOf(models, engines, workspaces), 1).value());
}

// Measures a cost at three sizes and prints the points, the line through
// them and its value at the design size.
void PrintLine(std::string_view cost,
               std::string_view unit,
               std::string_view per,
               std::span<const double> sizes,
               double design,
               const std::function<double(double)>& measure) {
  std::vector<CostPoint> points;
  json::array measured;
  for (const double size : sizes) {
    points.push_back({size, measure(size)});
    measured.push_back(
        json::object{{"size", size}, {"cost", points.back().cost}});
  }
  const CostLine line = FitLine(points);
  std::cout << json::serialize(
                   json::object{{"cost", cost},
                                {"unit", unit},
                                {"per", per},
                                {"points", measured},
                                {"base", line.base},
                                {"slope", line.per_unit},
                                {"design_size", design},
                                {"at_design_size", line.At(design)}})
            << "\n";
}

void PrintValue(std::string_view cost, std::string_view unit, double value) {
  std::cout << json::serialize(json::object{
                   {"cost", cost}, {"unit", unit}, {"value", value}})
            << "\n";
}

void MeasureConfiguration() {
  constexpr double kSizes[] = {20, 60, 200};
  const auto document = [](double models) {
    const auto count = static_cast<std::int64_t>(models);
    return DocumentOf(count, count * 16 / 5, count / 2);
  };
  PrintLine("configuration document", "bytes", "model", kSizes,
            DesignSize::kModels, [&](double models) {
              return static_cast<double>(document(models).size());
            });
  PrintLine("configuration check", "us", "model", kSizes, DesignSize::kModels,
            [&](double models) {
              const std::string text = document(models);
              return MicrosOf(
                  3, [&] { static_cast<void>(ParseFleetConfig(text, 1)); });
            });
  PrintLine("configuration held", "bytes", "model", kSizes, DesignSize::kModels,
            [&](double models) {
              const std::string text = document(models);
              const double before = HeapBytes();
              const auto held = std::make_unique<FleetConfig>(
                  ParseFleetConfig(text, 1).value());
              return HeapBytes() - before;
            });
}

void MeasureAdmission() {
  constexpr double kSizes[] = {5, 25, 100};
  PrintLine("admission", "us", "workspace", kSizes, DesignSize::kWorkspaces,
            [](double workspaces) {
              Admission<EqualSplit> admission{EqualSplit(8)};
              admission.OnConfig(
                  kNow,
                  ConfigOf(20, 12, static_cast<std::int64_t>(workspaces)));
              RequestInfo info;
              info.key_digest = Sha256Hex("workspace-1-1");
              info.model = "model-7";
              info.max_output_tokens = 1;
              Instant now = kNow;
              return MicrosOf(20'000, [&] {
                now += 10ms;
                static_cast<void>(admission.Admit(now, info));
              });
            });
}

void MeasureRouting() {
  constexpr double kSizes[] = {12, 100, 640};
  PrintLine("choice of a target", "us", "engine", kSizes, DesignSize::kEngines,
            [](double engines) {
              const auto count = static_cast<std::int64_t>(engines);
              Router router;
              const FleetConfigPtr config = ConfigOf(20, count, 5);
              router.OnConfig(kNow, *config);
              Random random(1);
              for (const auto& target : config->targets) {
                TargetReport report;
                report.running = static_cast<std::int64_t>(random.Below(20));
                for (int i = 0; i < 20; ++i) {
                  if (random.OneIn(4)) {
                    report.models.push_back("model-" + std::to_string(i));
                  }
                }
                router.OnReport(kNow, target.name, report);
              }
              return MicrosOf(200, [&] {
                static_cast<void>(router.Pick(kNow, {"model-7", {}, {}}));
              });
            });
}

void MeasureRecords() {
  RefusalRecord record;
  record.request_id = "entry-100-0123abcd-123456";
  record.workspace = "workspace-17";
  record.key_digest = Sha256Hex("x");
  record.instance = "entry-100";
  record.reason = "340 tokens asked, workspace 'workspace-17' has fewer left";
  PrintValue("refusal record", "bytes",
             static_cast<double>(EncodeRecordLine(1, record).size()));
  PrintValue("refusal record", "us", MicrosOf(20'000, [&] {
               static_cast<void>(EncodeRecordLine(1, record));
             }));
}

void MeasureHeartbeat() {
  peer::Envelope envelope;
  envelope.set_sender("entry-100");
  envelope.set_incarnation(1'700'000'000'000);
  envelope.set_hlc(1'700'000'000'000ULL << 16);
  auto& heartbeat = *envelope.mutable_heartbeat();
  heartbeat.set_config_version(100'000);
  heartbeat.set_store_reachable(true);
  heartbeat.set_requests_in_flight(100);
  PrintValue("heartbeat", "bytes",
             static_cast<double>(envelope.SerializeAsString().size()));
}

}  // namespace

int CapacityCommand(std::span<const std::string> /*arguments*/) {
  MeasureConfiguration();
  MeasureAdmission();
  MeasureRouting();
  MeasureRecords();
  MeasureHeartbeat();
  return 0;
}

}  // namespace jackdaw
