// A played load: instances choose among targets of different and changing speed
// and learn of each other's requests by notices, in virtual time.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr int kInstances = 8;
constexpr int kSlots = 16;
constexpr double kPermanent[] = {0.6, 0.8, 0.9, 1.1, 1.3, 1.6};
constexpr int kTargets = std::size(kPermanent);
constexpr Micros kLoadTime = 30s;
// The speed of a target changes at most this often.
constexpr Micros kSpeedInterval = 100ms;
constexpr Micros kNoticeDelay = 3ms;
constexpr Micros kTargetDelay = 1ms;
constexpr Micros kObjective = 500ms;
constexpr double kPrefillTokensPerMs = 20.4;
constexpr double kTokenMs = 10.1;
// Nine tenths of what the slots can serve: a request takes one for about 1.9 s.
constexpr double kRequestsPerSecond = 44;

struct PlayedRequest {
  int instance = 0;
  RequestMetadata call;
  TargetPtr target;
  SentRequest sent;
  Instant arrived_at{};
  Instant sent_at{};
  Micros expected_prefill{};
};
using RequestPtr = std::shared_ptr<PlayedRequest>;

struct PlayedTarget {
  double permanent = 1;
  /// Momentary ratio of each interval.
  std::vector<double> momentary;
  int running = 0;
  std::deque<RequestPtr> waiting;
  Instant prefill_until{};

  double Momentary(Instant now) const {
    const auto at = static_cast<std::size_t>((now - kStart) / kSpeedInterval);
    return momentary[std::min(at, momentary.size() - 1)];
  }
  /// Returns the end of work that takes `nominal_ms` as usual.
  Instant EndOfWork(Instant now, double nominal_ms) const {
    while (nominal_ms > 0) {
      const Instant next =
          kStart + ((now - kStart) / kSpeedInterval + 1) * kSpeedInterval;
      const double ratio = permanent * Momentary(now);
      const double possible = Milliseconds(next - now) / ratio;
      if (possible >= nominal_ms) {
        return now +
               Micros(static_cast<std::int64_t>(nominal_ms * ratio * 1000));
      }
      nominal_ms -= possible;
      now = next;
    }
    return now;
  }
};

class Play {
 public:
  Play(std::uint32_t seed, bool reports_speed)
      : random_(seed), reports_speed_(reports_speed) {
    engine_.slots = kSlots;
    engine_.kv_tokens = 64'598;
    for (int i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<TargetRegistry>("here"));
    }
    for (int i = 0; i < kTargets; ++i) {
      AddTarget("t" + std::to_string(i), kPermanent[i]);
    }
  }

  /// @returns the share of requests whose first byte was on time
  double Run() {
    std::exponential_distribution<double> gap(kRequestsPerSecond);
    Instant at = kStart;
    while (at < kStart + kLoadTime) {
      at += Micros(static_cast<std::int64_t>(gap(random_) * 1e6));
      auto request = std::make_shared<PlayedRequest>();
      request->instance = static_cast<int>(random_() % kInstances);
      request->call.model = "m";
      request->call.prompt_tokens =
          static_cast<std::int64_t>(500 + random_() % 1920);
      request->call.max_output_tokens =
          static_cast<std::int64_t>(60 + random_() % 224);
      request->arrived_at = at;
      Schedule(at, [this, request] { Arrive(request); });
      ++requests_;
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    return static_cast<double>(on_time_) / requests_;
  }

  int refused() const { return refused_; }

 private:
  struct Event {
    Instant at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  void Schedule(Instant at, std::function<void()> run) {
    events_.push({at, ++events_added_, std::move(run)});
  }

  void AddTarget(std::string id, double permanent) {
    PlayedTarget& target = targets_[id];
    target.permanent = permanent;
    double ratio = 1;
    std::uniform_real_distribution<double> ratios(0.7, 1.5);
    for (int i = 0; i < 600; ++i) {
      ratio = random_() % 10 < 3 ? ratios(random_) : ratio;
      target.momentary.push_back(ratio);
    }
    TargetRegistration entry;
    entry.id = std::move(id);
    entry.service = "s";
    entry.failure_domain = "here";
    entry.slots = kSlots;
    entry.born_ms = 1;
    entry.models = {{"m", 1, {}}};
    for (const auto& instance : instances_) {
      instance->Update(entry);
    }
  }

  void Arrive(const RequestPtr& request) {
    TargetRegistry& instance = *instances_[request->instance];
    TargetQuery query;
    query.service = "s";
    query.call = &request->call;
    query.engine = &engine_;
    const TargetPick pick = instance.Pick(query, now_);
    if (pick.target == nullptr) {
      ++refused_;
      return;
    }
    request->target = pick.target;
    request->sent_at = now_;
    request->sent = instance.OnSent(*pick.target, request->call, now_);
    request->expected_prefill = pick.target->prefill_until - now_;
    Announce(*request, instance.TakeLoadReports(now_));
    Schedule(now_ + kTargetDelay, [this, request] { Receive(request); });
  }

  void Announce(const PlayedRequest& request,
                const std::vector<LoadReport>& reports) {
    const std::uint64_t digest = TargetDigest(request.target->entry.id);
    for (int i = 0; i < kInstances; ++i) {
      if (i == request.instance) {
        continue;
      }
      Schedule(now_ + kNoticeDelay, [this, i, digest, reports,
                                     sent = request.sent] {
        instances_[i]->OnPeerDispatch(digest, sent.uncached_tokens, {}, now_,
                                      sent.held_tokens, sent.duration);
        instances_[i]->AddLoadReports(reports, now_);
      });
    }
  }

  PlayedTarget& TargetOf(const PlayedRequest& request) {
    return targets_[request.target->entry.id];
  }

  void Receive(const RequestPtr& request) {
    PlayedTarget& target = TargetOf(*request);
    if (target.running < kSlots) {
      Begin(request);
    } else {
      target.waiting.push_back(request);
    }
  }

  void Begin(const RequestPtr& request) {
    PlayedTarget& target = TargetOf(*request);
    ++target.running;
    target.prefill_until = target.EndOfWork(
        std::max(now_, target.prefill_until),
        static_cast<double>(request->call.prompt_tokens) / kPrefillTokensPerMs);
    Schedule(target.prefill_until, [this, request] { FirstToken(request); });
  }

  void FirstToken(const RequestPtr& request) {
    const PlayedTarget& target = TargetOf(*request);
    ResponseMetadata response;
    response.has_load = true;
    response.running = target.running;
    response.waiting = static_cast<int>(target.waiting.size());
    response.slots = kSlots;
    if (reports_speed_) {
      response.work_ratio = target.Momentary(now_);
    }
    Schedule(now_ + kTargetDelay, [this, request, response] {
      instances_[request->instance]->OnFirstByte(
          *request->target, response, request->expected_prefill,
          request->sent_at, now_, &request->sent);
      on_time_ += now_ - request->arrived_at <= kObjective ? 1 : 0;
    });
    Schedule(
        target.EndOfWork(now_, kTokenMs * static_cast<double>(
                                              request->call.max_output_tokens)),
        [this, request] { End(request); });
  }

  void End(const RequestPtr& request) {
    PlayedTarget& target = TargetOf(*request);
    --target.running;
    if (!target.waiting.empty()) {
      const RequestPtr next = target.waiting.front();
      target.waiting.pop_front();
      Begin(next);
    }
    Schedule(now_ + kTargetDelay, [this, request] {
      instances_[request->instance]->OnEnded(
          *request->target, TargetOutcome::kAnswered, true, request->sent_at,
          now_, &request->sent);
    });
  }

  std::mt19937 random_;
  bool reports_speed_;
  EngineSpec engine_;
  std::vector<std::unique_ptr<TargetRegistry>> instances_;
  std::map<std::string, PlayedTarget> targets_;
  std::priority_queue<Event> events_;
  std::uint64_t events_added_ = 0;
  Instant now_ = kStart;
  int requests_ = 0;
  int on_time_ = 0;
  int refused_ = 0;
};

// Guards against an estimate that makes callers wait longer than the one that
// knows no speeds, and against refusals at a load that the targets can serve.
BOOST_AUTO_TEST_CASE(KnownSpeedsBringMoreFirstBytesOnTime) {
  for (std::uint32_t seed = 1; seed <= 8; ++seed) {
    Play with(seed, true);
    Play without(seed, false);
    const double share_with = with.Run();
    const double share_without = without.Run();
    BOOST_TEST_MESSAGE("seed " << seed << ": on time " << share_with
                               << " with speeds, " << share_without
                               << " without; refused " << with.refused());
    BOOST_TEST(share_with > share_without);
    BOOST_TEST(with.refused() == 0);
  }
}

}  // namespace
}  // namespace jackdaw::serving
