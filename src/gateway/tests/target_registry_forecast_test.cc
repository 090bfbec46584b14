#include <boost/test/unit_test.hpp>

#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

TargetRegistration EntryOf(std::string id, std::string service) {
  TargetRegistration entry;
  entry.id = std::move(id);
  entry.service = std::move(service);
  entry.failure_domain = "here";
  entry.slots = 2;
  entry.born_ms = 1;
  entry.models = {{"m", 1, {}}};
  return entry;
}

ResponseMetadata LoadOf(int running, int waiting, double work_ratio) {
  ResponseMetadata response;
  response.has_load = true;
  response.running = running;
  response.waiting = waiting;
  response.slots = 2;
  if (work_ratio > 0) {
    response.work_ratio = work_ratio;
  }
  return response;
}

/// Two engines and two plain targets.
class ForecastFixture {
 protected:
  ForecastFixture() : targets_("here") {
    engine_.slots = 2;
    engine_.kv_tokens = 10'000;
    call_.model = "m";
    call_.prompt_tokens = 1000;
    call_.max_output_tokens = 100;
    query_.service = "s";
    query_.engine = &engine_;
    query_.call = &call_;
    for (const char* id : {"a", "b"}) {
      targets_.Update(EntryOf(id, "s"));
      targets_.Update(EntryOf(std::string("plain-") + id, "p"));
    }
  }

  Target& At(std::string_view id) { return *targets_.Find(id); }

  /// The target answers a request, with a load report.
  void Report(std::string_view id,
              const ResponseMetadata& response,
              Instant now) {
    SentRequest sent = targets_.OnSent(At(id), call_, now);
    targets_.OnFirstByte(At(id), response, 0us, now, now, &sent);
    targets_.OnEnded(At(id), TargetOutcome::kAnswered, true, now, now, &sent);
  }

  void SendOthers(std::string_view id, int count, Micros duration) {
    for (int i = 0; i < count; ++i) {
      targets_.OnPeerDispatch(TargetDigest(id), 0, {}, kStart, 1100, duration);
    }
  }

  TargetRegistry targets_;
  EngineSpec engine_;
  RequestMetadata call_;
  TargetQuery query_;
};

BOOST_FIXTURE_TEST_SUITE(RegistryForecast, ForecastFixture)

// Guards against a change for deployments whose targets report no speed.
BOOST_AUTO_TEST_CASE(
    ForecastIsUsedOnlyWhereATargetOfTheServiceReportsItsSpeed) {
  Report("a", LoadOf(1, 0, 0), kStart);
  BOOST_TEST(!At("a").uses_forecast);
  SendOthers("a", 30, 5s);
  BOOST_TEST((targets_.Pick(query_, kStart).outcome == PickOutcome::kChosen));
  BOOST_TEST(targets_.TakeLoadReports(kStart).empty());
  Report("a", LoadOf(1, 0, 1.2), kStart + 10ms);
  BOOST_TEST(At("a").uses_forecast);
  BOOST_TEST(At("b").uses_forecast);
  BOOST_TEST(!At("plain-a").uses_forecast);
  targets_.Update(EntryOf("c", "s"));
  BOOST_TEST(At("c").uses_forecast);
}

BOOST_AUTO_TEST_CASE(SlowTargetIsAvoidedWhileItIsSlow) {
  Report("a", LoadOf(0, 0, 1), kStart);
  Report("b", LoadOf(0, 0, 1), kStart);
  Report("a", LoadOf(0, 0, 3), kStart + 1s);
  Report("b", LoadOf(0, 0, 1), kStart + 1s);
  const TargetPick pick = targets_.Pick(query_, kStart + 1s);
  BOOST_TEST(pick.target->entry.id == "b");
}

// Both have as many requests; one of them frees a slot sooner.
BOOST_AUTO_TEST_CASE(TargetWhoseSlotIsFreeSoonerIsChosen) {
  Report("a", LoadOf(0, 0, 1), kStart - 1s);
  Report("b", LoadOf(0, 0, 1), kStart - 1s);
  SendOthers("a", 2, 4s);
  SendOthers("b", 2, 300ms);
  const TargetPick pick = targets_.Pick(query_, kStart);
  BOOST_TEST(pick.target->entry.id == "b");
  BOOST_TEST(pick.cost_ms >= 300);
  BOOST_TEST(pick.cost_ms < 500);
}

BOOST_AUTO_TEST_CASE(RequestIsRefusedWhereAllTargetsAreFullUntilThereIsRoom) {
  Report("a", LoadOf(0, 0, 1), kStart - 1s);
  SendOthers("a", 8, 4s);
  SendOthers("b", 8, 2s);
  const TargetPick pick = targets_.Pick(query_, kStart);
  BOOST_TEST((pick.outcome == PickOutcome::kFull));
  BOOST_TEST((pick.retry_at == kStart + 2s));
  BOOST_TEST(
      (targets_.Pick(query_, kStart + 3s).outcome == PickOutcome::kChosen));
  // A smaller request still fits.
  call_.prompt_tokens = 10;
  BOOST_TEST((targets_.Pick(query_, kStart).outcome == PickOutcome::kChosen));
  call_.prompt_tokens = 1000;
  engine_.kv_tokens = 0;
  BOOST_TEST((targets_.Pick(query_, kStart).outcome == PickOutcome::kChosen));
}

BOOST_AUTO_TEST_CASE(OwnRequestsLeaveTheForecastWhenTheyEnd) {
  Report("a", LoadOf(0, 0, 1), kStart - 1s);
  const Instant sent_at = kStart;
  const SentRequest sent = targets_.OnSent(At("a"), call_, sent_at);
  BOOST_TEST((sent.duration > 0us));
  BOOST_TEST(At("a").forecast.Tokens(kStart + 20s) == 1100);
  targets_.OnEnded(At("a"), TargetOutcome::kAbandoned, false, sent_at,
                   kStart + 20s, &sent);
  BOOST_TEST(At("a").forecast.Tokens(kStart + 20s) == 0);
  BOOST_TEST(At("a").EstimatedLoad(kStart + 20s) == 0);
}

// Plain requests are not announced to other instances: the wait follows from
// the reports and the measured time of requests.
BOOST_AUTO_TEST_CASE(PlainTargetWithWaitingRequestsIsAvoided) {
  call_ = {};
  query_.service = "p";
  query_.engine = nullptr;
  for (int i = 0; i < 3; ++i) {
    const Instant at = kStart + i * 200ms;
    for (const char* id : {"plain-a", "plain-b"}) {
      SentRequest sent = targets_.OnSent(At(id), call_, at);
      const Instant end = at + 60ms;
      targets_.OnFirstByte(At(id), LoadOf(1, 0, 1), 0us, at, end, &sent);
      targets_.OnEnded(At(id), TargetOutcome::kAnswered, true, at, end, &sent);
    }
  }
  const Instant now = kStart + 700ms;
  BOOST_TEST(At("plain-a").plain_work_ms == 60,
             boost::test_tools::tolerance(0.01));
  Report("plain-a", LoadOf(2, 5, 1), now);
  Report("plain-b", LoadOf(2, 1, 1), now);
  const TargetPick pick = targets_.Pick(query_, now);
  BOOST_TEST(pick.target->entry.id == "plain-b");
  BOOST_TEST(pick.cost_ms > 60);
}

BOOST_AUTO_TEST_CASE(OtherInstanceLearnsLoadAndSpeedFromReports) {
  Report("a", LoadOf(3, 4, 1.5), kStart);
  Report("a", LoadOf(1, 0, 2), kStart + 10ms);
  Report("b", LoadOf(2, 2, 1), kStart + 20ms);
  const std::vector<LoadReport> reports =
      targets_.TakeLoadReports(kStart + 30ms);
  BOOST_REQUIRE(reports.size() == 2U);
  BOOST_TEST(reports[0].target == TargetDigest("b"));
  BOOST_TEST((reports[0].age == 10ms));
  BOOST_TEST(reports[1].running == 1);
  BOOST_TEST(reports[1].work_ratio == 2);
  BOOST_TEST(targets_.TakeLoadReports(kStart + 40ms).empty());

  TargetRegistry other("there");
  other.Update(EntryOf("a", "s"));
  other.Update(EntryOf("b", "s"));
  other.AddLoadReports(reports, kStart + 35ms);
  BOOST_TEST(other.Find("b")->EstimatedLoad(kStart + 35ms) == 4);
  BOOST_TEST(other.Find("a")->speed.Ratio(kStart + 35ms) == 2,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(other.MeanWorkRatio(kStart + 35ms) > 1);
}

// Guards against datagrams that grow with the number of targets.
BOOST_AUTO_TEST_CASE(ReportsOfManyTargetsAreBoundedAndOldOnesAreNotSent) {
  for (int i = 0; i < 50; ++i) {
    const std::string id = "t" + std::to_string(i);
    targets_.Update(EntryOf(id, "s"));
    Report(id, LoadOf(1, 0, 1), kStart + i * 1ms);
  }
  const auto reports = targets_.TakeLoadReports(kStart + 50ms);
  BOOST_TEST(reports.size() == 16U);
  BOOST_TEST((reports.front().age == 1ms));
  Report("a", LoadOf(1, 0, 1), kStart + 60ms);
  BOOST_TEST(targets_.TakeLoadReports(kStart + 5s).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
