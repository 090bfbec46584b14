#include "replay/trace.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

constexpr std::array kShapes{
    TraceShape{"ponte-nordeste", 12, 3, 20, 5, 40},
    TraceShape{"lantern-permits", 18, 4, 25, 5, 60},
};

constexpr std::array<std::string_view, 6> kKindNames{
    "request",        "target-down",   "target-up",
    "target-leaving", "key-withdrawn", "instance-down"};

constexpr std::int64_t kMaxNumber = 1'000'000'000;
constexpr std::int64_t kInstances = 8;

// Demand of a model at a moment: between 1 and 10, each with its own phase.
double DemandOf(std::int64_t model, std::int64_t models, double part) {
  constexpr double kTurn = 6.283185307179586;
  const double phase = static_cast<double>(model) / static_cast<double>(models);
  return std::pow(10.0, 0.5 + 0.5 * std::sin(kTurn * (part + phase)));
}

std::int64_t PickModel(const TraceShape& shape, double part, Random& random) {
  double total = 0;
  for (std::int64_t i = 0; i < shape.models; ++i) {
    total += DemandOf(i, shape.models, part);
  }
  double at = random.Unit() * total;
  for (std::int64_t i = 0; i < shape.models; ++i) {
    at -= DemandOf(i, shape.models, part);
    if (at < 0) {
      return i;
    }
  }
  return shape.models - 1;
}

// The first workspace sends half of everything.
std::int64_t PickWorkspace(const TraceShape& shape, Random& random) {
  return random.OneIn(2)
             ? 0
             : 1 + static_cast<std::int64_t>(random.Below(
                       static_cast<std::uint64_t>(shape.workspaces - 1)));
}

void AddFault(const TraceShape& shape,
              std::string_view fault,
              std::int64_t at_ms,
              std::vector<TraceEvent>& events) {
  TraceEvent event;
  event.at_ms = at_ms;
  const auto add = [&](TraceEvent::Kind kind, std::string name) {
    event.kind = kind;
    event.name = std::move(name);
    events.push_back(event);
  };
  if (fault == "target-down") {
    add(TraceEvent::Kind::kTargetDown, "engine-0");
  } else if (fault == "target-leaving") {
    add(TraceEvent::Kind::kTargetLeaving, "engine-0");
  } else if (fault == "key-withdrawn") {
    add(TraceEvent::Kind::kKeyWithdrawn, "workspace-1");
  } else if (fault == "instance-down") {
    add(TraceEvent::Kind::kInstanceDown, "0");
  } else if (fault == "domain-down") {
    for (std::int64_t i = 0; i < shape.engines; i += shape.domains) {
      add(TraceEvent::Kind::kTargetDown, "engine-" + std::to_string(i));
    }
  }
}

TraceEvent DrawRequest(const TraceShape& shape,
                       double part,
                       std::int64_t at_ms,
                       Random& random) {
  TraceEvent event;
  event.at_ms = at_ms;
  event.name = "workspace-" + std::to_string(PickWorkspace(shape, random));
  event.model = "model-" + std::to_string(PickModel(shape, part, random));
  event.prompt_tokens = 20 + static_cast<std::int64_t>(random.Below(200));
  event.output_tokens = 10 + static_cast<std::int64_t>(random.Below(110));
  event.instance = static_cast<std::int64_t>(random.Below(kInstances));
  return event;
}

json::object ToObject(const TraceEvent& event) {
  json::object object{
      {"at_ms", event.at_ms},
      {"kind", kKindNames[static_cast<std::size_t>(event.kind)]},
      {"name", event.name}};
  if (event.kind == TraceEvent::Kind::kRequest) {
    object["model"] = event.model;
    object["prompt_tokens"] = event.prompt_tokens;
    object["output_tokens"] = event.output_tokens;
    object["instance"] = event.instance;
  }
  return object;
}

Result<TraceEvent> ToEvent(const json::value& value) {
  ObjectReader reader(value, "");
  TraceEvent event;
  event.at_ms = reader.Integer("at_ms", 0, kMaxNumber);
  const std::string kind = reader.Text("kind");
  const auto found = std::find(kKindNames.begin(), kKindNames.end(), kind);
  if (found == kKindNames.end()) {
    reader.Fail("kind", "is not a kind of event");
  } else {
    event.kind = static_cast<TraceEvent::Kind>(found - kKindNames.begin());
  }
  event.name = reader.Text("name");
  event.model = reader.TextOr("model", "");
  event.prompt_tokens = reader.IntegerOr("prompt_tokens", 0, kMaxNumber, 0);
  event.output_tokens = reader.IntegerOr("output_tokens", 0, kMaxNumber, 0);
  event.instance = reader.IntegerOr("instance", 0, kInstances - 1, 0);
  BOOST_OUTCOME_TRY(reader.Finish());
  return event;
}

}  // namespace

const TraceShape* FindTraceShape(std::string_view deployment) {
  for (const auto& shape : kShapes) {
    if (shape.deployment == deployment) {
      return &shape;
    }
  }
  return nullptr;
}

Trace GenerateTrace(const TraceShape& shape,
                    std::string_view fault,
                    std::int64_t seconds,
                    std::uint64_t seed) {
  Random random(seed);
  Trace trace{std::string(shape.deployment), {}};
  const std::int64_t end_ms = seconds * 1000;
  AddFault(shape, fault, end_ms / 2, trace.events);
  const double mean_ms = 1000.0 / static_cast<double>(shape.requests_per_s);
  double at_ms = 0;
  while (at_ms < static_cast<double>(end_ms)) {
    const double part = at_ms / static_cast<double>(end_ms);
    trace.events.push_back(
        DrawRequest(shape, part, static_cast<std::int64_t>(at_ms), random));
    const bool bursting = fault == "burst" && part > 0.4 && part < 0.6;
    for (int i = 0; bursting && i < 4; ++i) {
      if (trace.events.back().name == "workspace-1") {
        trace.events.push_back(trace.events.back());
      }
    }
    at_ms -= mean_ms * std::log(1.0 - random.Unit());
  }
  std::stable_sort(trace.events.begin(), trace.events.end(),
                   [](const TraceEvent& a, const TraceEvent& b) {
                     return a.at_ms < b.at_ms;
                   });
  return trace;
}

std::string EncodeTrace(const Trace& trace) {
  std::string text =
      json::serialize(json::object{{"deployment", trace.deployment}}) + "\n";
  for (const auto& event : trace.events) {
    text += json::serialize(ToObject(event));
    text += "\n";
  }
  return text;
}

Result<Trace> DecodeTrace(std::string_view text) {
  Trace trace;
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    BOOST_OUTCOME_TRY(const auto value, ParseJson(line));
    if (trace.deployment.empty()) {
      ObjectReader reader(value, "");
      trace.deployment = reader.Text("deployment");
      BOOST_OUTCOME_TRY(reader.Finish());
      continue;
    }
    BOOST_OUTCOME_TRY(auto event, ToEvent(value));
    trace.events.push_back(std::move(event));
  }
  return trace;
}

}  // namespace jackdaw
