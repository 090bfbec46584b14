#pragma once

#include <charconv>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decisions/admission.h"
#include "replay/trace_world.h"
#include "routing/router.h"

namespace jackdaw {

/// Replays one trace: the admission and routing code of each instance, fed
/// with the trace's events in virtual time.
/// @tparam Budget scheme of the instances @tparam Routing router type
/// @tparam Fleet joins the instances' budgets; told of each moment it asked for
template <BudgetScheme Budget, typename Routing, typename Fleet>
class TraceRunner {
 public:
  TraceRunner(const Trace& trace, const TraceShape& shape)
      : trace_(trace), world_(shape) {
    for (std::int64_t i = 0; i < kTraceInstances; ++i) {
      instances_.push_back(
          std::make_unique<Node>(Admission<Budget>(Fleet::MakeBudget(i))));
    }
  }

  Figures Run() {
    const Instant start = world_.now();
    PutConfigInForce();
    Report();
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      fleet_.Join(world_, i, instances_[i]->admission.budget());
    }
    // The schemes that move shares settle before the first request.
    world_.RunUntil(start + kSettleTime);
    const Instant begin = world_.now();
    for (const auto& event : trace_.events) {
      world_.At(begin + std::chrono::milliseconds(event.at_ms),
                [this, &event] { OnEvent(event); });
    }
    const std::int64_t end_ms =
        trace_.events.empty() ? 1 : trace_.events.back().at_ms + 1;
    world_.RunUntil(begin + std::chrono::milliseconds(end_ms) + kDrainTime);
    Figures figures = world_.Finish(static_cast<double>(end_ms) / 1000.0);
    figures.invariant_violations = InvariantBreachCount() - breaches_before_;
    return figures;
  }

 private:
  struct Node {
    explicit Node(Admission<Budget> a) : admission(std::move(a)) {}
    Admission<Budget> admission;
    Routing router;
    bool up = true;
  };
  // A request that an instance works on.
  struct Job {
    const TraceEvent* event;
    Node* node;
    Instant arrived;
    Admitted admitted;
    std::vector<std::string> tried;
    std::string target;
  };

  static constexpr Micros kSettleTime = 10s;
  static constexpr Micros kDrainTime = 60s;
  static constexpr Micros kReportTime = 300ms;
  // Age of a load report when it comes in.
  static constexpr Micros kReportLag = 200ms;
  // Time for a changed configuration to reach the instances.
  static constexpr Micros kConfigTime = 1s;
  static constexpr std::size_t kMaxAttempts = 3;

  void PutConfigInForce() {
    for (auto& node : instances_) {
      node->router.OnConfig(world_.now(), *world_.config());
      node->router.OnInstances(kTraceInstances);
      node->admission.OnConfig(world_.now(), world_.config());
    }
  }

  void Report() {
    const bool more = world_.figures().requests < trace_.events.size();
    for (auto& [name, engine] : world_.engines()) {
      const std::string target = name;
      const bool up = engine.up;
      const TargetReport report = engine.Report(world_.now());
      world_.At(world_.now() + kReportLag, [this, target, up, report] {
        for (auto& node : instances_) {
          if (up) {
            node->router.OnReport(world_.now(), target, report);
          } else {
            node->router.OnFailure(world_.now(), target);
          }
        }
      });
    }
    if (more) {
      world_.At(world_.now() + kReportTime, [this] { Report(); });
    }
  }

  void OnEvent(const TraceEvent& event) {
    using Kind = TraceEvent::Kind;
    switch (event.kind) {
      case Kind::kRequest:
        OnRequest(event);
        return;
      case Kind::kTargetDown:
      case Kind::kTargetUp:
        world_.engines().at(event.name).up = event.kind == Kind::kTargetUp;
        return;
      case Kind::kTargetLeaving:
        world_.engines().at(event.name).leaving = true;
        return;
      case Kind::kKeyWithdrawn:
        world_.WithdrawKey(event.name);
        world_.At(world_.now() + kConfigTime, [this] { PutConfigInForce(); });
        return;
      case Kind::kInstanceDown: {
        std::size_t index = 0;
        std::from_chars(event.name.data(),
                        event.name.data() + event.name.size(), index);
        instances_[index]->up = false;
        fleet_.Leave(world_, index);
        return;
      }
    }
  }

  // Callers of an instance that is down use the next one.
  Node& NodeOf(const TraceEvent& event) {
    auto index = static_cast<std::size_t>(event.instance);
    while (!instances_[index]->up) {
      index = (index + 1) % instances_.size();
    }
    return *instances_[index];
  }

  void OnRequest(const TraceEvent& event) {
    world_.CountRequest(event.name);
    auto job = std::make_shared<Job>();
    job->event = &event;
    job->node = &NodeOf(event);
    job->arrived = world_.now();
    job->node->admission.budget().RecordDemand(
        job->arrived, event.name, event.prompt_tokens + event.output_tokens);
    Admit(job);
  }

  // Admits a request, or keeps it until its budget will do or its first
  // token would come too late.
  void Admit(const std::shared_ptr<Job>& job) {
    const Instant now = world_.now();
    RequestInfo info;
    info.key_digest = TraceKey(job->event->name);
    info.model = job->event->model;
    info.prompt_tokens = job->event->prompt_tokens;
    info.max_output_tokens = job->event->output_tokens;
    const std::int64_t tokens = info.prompt_tokens + info.max_output_tokens;
    const AdmitResult result = job->node->admission.Admit(now, info);
    if (const auto* refused = std::get_if<Refused>(&result)) {
      const RefusalKind kind = refused->refusal.kind;
      if (kind == RefusalKind::kOverRate &&
          fleet_.Wait(world_, *job->node, job->event->name, tokens,
                      job->arrived, [this, job] { Admit(job); })) {
        return;
      }
      ++world_.figures().refused_total;
      if (kind == RefusalKind::kOverRate &&
          world_.auditor().CouldSpend(now, job->event->name, tokens)) {
        ++world_.figures().wrongful_refusals;
      }
      return;
    }
    world_.figures().overspend_tokens +=
        world_.auditor().OnSpend(now, job->event->name, tokens);
    job->admitted = std::get<Admitted>(result);
    Dispatch(job);
  }

  void Dispatch(const std::shared_ptr<Job>& job) {
    const Instant now = world_.now();
    TargetRequirements need;
    need.model = job->event->model;
    need.excluded = job->tried;
    need.prompt_tokens = job->event->prompt_tokens;
    const auto picked = job->tried.size() < kMaxAttempts
                            ? job->node->router.Pick(now, need)
                            : std::nullopt;
    if (!picked) {
      ++world_.figures().refused_total;
      job->node->admission.Refund(now, job->admitted.workspace,
                                  job->admitted.charged_tokens);
      world_.auditor().OnRefund(now, job->admitted.workspace,
                                job->admitted.charged_tokens);
      return;
    }
    job->target = picked->name;
    job->tried.push_back(picked->name);
    job->node->router.OnDispatched(now, picked->name, need);
    FakeEngine& engine = world_.engines().at(picked->name);
    if (!engine.up) {
      Fail(job);
      return;
    }
    const FakeService service =
        engine.Take(now, job->event->prompt_tokens, job->event->output_tokens);
    world_.At(service.end, [this, job, service] { OnAnswer(job, service); });
  }

  // A connection to an engine that is down fails at once.
  void Fail(const std::shared_ptr<Job>& job) {
    job->node->router.OnFinished(job->target);
    job->node->router.OnFailure(world_.now(), job->target);
    Dispatch(job);
  }

  void OnAnswer(const std::shared_ptr<Job>& job, const FakeService& service) {
    if (!world_.engines().at(job->target).up) {
      Fail(job);
      return;
    }
    job->node->router.OnFinished(job->target);
    world_.CountServed(job->event->name, service.first_token - job->arrived,
                       service.between_tokens);
  }

  // Breaches of the process before this run.
  const std::uint64_t breaches_before_ = InvariantBreachCount();
  const Trace& trace_;
  TraceWorld world_;
  std::vector<std::unique_ptr<Node>> instances_;
  Fleet fleet_;
};

}  // namespace jackdaw
