#pragma once

#include <queue>
#include <string>
#include <vector>

#include "core/invariant.h"
#include "replay/routing_case.h"
#include "replay/routing_figures.h"
#include "routing/router.h"

namespace jackdaw {

/// Runs a case with the routers of all instances against fake engines under a
/// virtual clock. Reports reach each instance late.
/// @tparam Policy the routing policy measured
template <RoutePolicy Policy>
class RoutingExperiment {
 public:
  RoutingExperiment(const RoutingCase& shape,
                    std::uint64_t seed,
                    const Policy& policy)
      : shape_(shape), random_(seed), config_(PlaceModels(shape)) {
    requests_ = DrawRequests(shape_, random_);
    states_.resize(requests_.size());
    for (std::uint32_t i = 0; i < shape_.instances; ++i) {
      RouterOptions setup;
      setup.failure_domain = "z" + std::to_string(i % shape_.domains);
      setup.seed = random_.Next();
      setup.prefix_slots = kPrefixSlots;
      routers_.emplace_back(std::move(setup), policy);
      routers_.back().OnConfig(Instant{}, config_);
      routers_.back().OnInstances(shape_.instances);
    }
    for (std::uint32_t i = 0; i < shape_.engines; ++i) {
      engines_.emplace_back(shape_.shape);
    }
    busy_.assign(shape_.engines, false);
    reports_.resize(shape_.engines);
    for (std::uint32_t m = 0; m < shape_.models; ++m) {
      for (const auto& target : config_.deployments[m].targets) {
        ReportOf(target).models.push_back(config_.models[m].name);
      }
    }
  }

  RoutingFigures Run() {
    const Instant start = requests_.front().arrival;
    Push(start - shape_.poll, Event::Kind::kSnapshot, 0);
    for (std::uint32_t i = 0; i < shape_.instances; ++i) {
      Push(start - Micros(static_cast<std::int64_t>(random_.Below(
                       static_cast<std::uint64_t>(shape_.poll.count())))),
           Event::Kind::kReports, i);
    }
    Push(start, Event::Kind::kArrival, 0);
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
    return std::move(figures_);
  }

 private:
  static constexpr std::size_t kPrefixSlots = 4096;
  static constexpr Micros kOtherDomainWay = 2ms;

  struct Event {
    enum class Kind : std::uint8_t {
      kArrival,
      kAtEngine,
      kStep,
      kReports,
      kSnapshot
    };
    Instant at{};
    std::uint64_t order = 0;
    Kind kind = Kind::kArrival;
    std::uint32_t subject = 0;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct RequestState {
    std::uint32_t engine = 0;
    Micros way{};
    Instant first{};
  };

  TargetReport& ReportOf(std::string_view target) {
    return reports_[static_cast<std::size_t>(
        std::stoul(std::string(target.substr(1))))];
  }
  void Push(Instant at, typename Event::Kind kind, std::uint32_t subject) {
    events_.push({at, next_order_++, kind, subject});
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Event::Kind::kArrival:
        Arrive(event.subject);
        break;
      case Event::Kind::kAtEngine:
        engines_[states_[event.subject].engine].Add(
            requests_[event.subject].work);
        Wake(states_[event.subject].engine);
        break;
      case Event::Kind::kStep:
        Step(event.subject);
        break;
      case Event::Kind::kReports:
        Report(event.subject);
        break;
      case Event::Kind::kSnapshot:
        Snapshot();
        break;
    }
  }

  void Arrive(std::uint32_t index) {
    if (index + 1 < requests_.size()) {
      Push(requests_[index + 1].arrival, Event::Kind::kArrival, index + 1);
    }
    const RoutingRequest& request = requests_[index];
    auto& router = routers_[request.instance];
    TargetRequirements need;
    need.model = config_.models[request.model].name;
    need.adapter = request.adapter;
    need.prompt_tokens = request.work.prompt_tokens;
    need.prefixes = &request.work.prefixes;
    ++figures_.asked.at(request.workspace);
    const auto target = router.Pick(now_, need);
    CheckInvariant(target.has_value(), "each model is resident somewhere");
    router.OnDispatched(now_, target->name, need);
    RequestState& state = states_[index];
    state.engine =
        static_cast<std::uint32_t>(std::stoul(target->name.substr(1)));
    const bool near =
        state.engine % shape_.domains == request.instance % shape_.domains;
    state.way = near ? Micros(200) : kOtherDomainWay;
    Push(now_ + state.way, Event::Kind::kAtEngine, index);
  }

  void Wake(std::uint32_t engine) {
    if (!busy_[engine]) {
      busy_[engine] = true;
      Push(now_, Event::Kind::kStep, engine);
    }
  }

  // The tokens of a step come at its end.
  void Step(std::uint32_t engine) {
    progress_.clear();
    const Micros time = engines_[engine].Step(progress_);
    busy_[engine] = time.count() > 0;
    if (!busy_[engine]) {
      return;
    }
    const Instant end = now_ + time;
    for (const auto& item : progress_) {
      RequestState& state = states_[item.request];
      const RoutingRequest& request = requests_[item.request];
      if (item.kind == EngineProgress::Kind::kFirstToken) {
        state.first = end;
        continue;
      }
      const std::int64_t gaps =
          std::max<std::int64_t>(1, item.output_tokens - 1);
      figures_.Add(request.workspace,
                   (state.first + state.way - request.arrival).count(),
                   (end - state.first).count() / gaps);
      routers_[request.instance].OnFinished(config_.targets[engine].name);
    }
    Push(end, Event::Kind::kStep, engine);
  }

  void Snapshot() {
    for (std::uint32_t i = 0; i < shape_.engines; ++i) {
      reports_[i].running = engines_[i].running();
      reports_[i].waiting = engines_[i].waiting();
      reports_[i].adapters.clear();
      for (const std::uint32_t adapter : engines_[i].Adapters()) {
        reports_[i].adapters.push_back("a" + std::to_string(adapter));
      }
    }
    if (now_ < requests_.back().arrival) {
      Push(now_ + kSnapshotTime, Event::Kind::kSnapshot, 0);
    }
  }

  void Report(std::uint32_t instance) {
    for (std::uint32_t i = 0; i < shape_.engines; ++i) {
      routers_[instance].OnReport(now_, config_.targets[i].name, reports_[i]);
    }
    if (now_ < requests_.back().arrival) {
      Push(now_ + shape_.poll, Event::Kind::kReports, instance);
    }
  }

  // Engines refresh what they report in this interval: the lag of reports.
  static constexpr Micros kSnapshotTime = 300ms;

  RoutingCase shape_;
  Random random_;
  FleetConfig config_;
  std::vector<RoutingRequest> requests_;
  std::vector<RequestState> states_;
  std::vector<BasicRouter<Policy>> routers_;
  std::vector<BatchingEngine> engines_;
  std::vector<bool> busy_;
  std::vector<TargetReport> reports_;
  std::vector<EngineProgress> progress_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
  Instant now_{};
  RoutingFigures figures_;
};

}  // namespace jackdaw
