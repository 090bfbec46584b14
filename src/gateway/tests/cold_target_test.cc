// Tests of the choice among targets that are cold or have got their bound.
#include <boost/test/unit_test.hpp>

#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

class Fixture {
 protected:
  Fixture() : targets_("here") {
    service_.name = "s";
    service_.cold_time = 3s;
    service_.cold_per_second = 13;
    targets_.SetColdLimits({&service_, 1}, 1.5, 5);
    query_.service = "s";
    query_.call = &call_;
    // The pause that the first event ends.
    Pick(kStart - 200ms);
    targets_.OnContact(kStart - 100ms);
    Pick(kStart - 100ms);
  }

  void Row(std::string id,
           std::int64_t version,
           std::optional<Micros> cold,
           std::int64_t born_ms = 1) {
    TargetRegistration entry;
    entry.id = std::move(id);
    entry.service = "s";
    entry.failure_domain = "here";
    entry.born_ms = born_ms;
    entry.row_version = version;
    entry.cold_remaining = cold;
    targets_.Update(entry);
    targets_.OnColdRow(entry, kStart);
  }
  TargetPick Pick(Instant now = kStart) { return targets_.Pick(query_, now); }
  void FillByNotices(std::string_view id, int requests) {
    for (int i = 0; i < requests; ++i) {
      targets_.OnPeerSend(TargetDigest(id), false, kStart);
    }
  }

  TargetRegistry targets_;
  Service service_;
  RequestMetadata call_;
  TargetQuery query_;
};

BOOST_FIXTURE_TEST_SUITE(ColdChoice, Fixture)

BOOST_AUTO_TEST_CASE(WarmTargetIsTakenWithoutAskingTheLeader) {
  Row("a", 1, 3s);
  Row("b", 1, std::nullopt);
  const TargetPick pick = Pick();
  BOOST_TEST((pick.outcome == PickOutcome::kChosen));
  BOOST_TEST(pick.target->entry.id == "b");
}

BOOST_AUTO_TEST_CASE(FollowerAsksForAColdTarget) {
  Row("a", 1, 3s);
  BOOST_TEST((Pick().outcome == PickOutcome::kLimited));
  BOOST_TEST_REQUIRE(Pick().target != nullptr);
  BOOST_TEST(!targets_.TakeSend(*Pick().target, false, kStart));
  BOOST_TEST(targets_.TakeSend(*Pick().target, true, kStart));
}

BOOST_AUTO_TEST_CASE(LeaderLimitsItsOwnRequestsToAColdTarget) {
  Row("a", 1, 3s);
  targets_.AllowLimitedSends(kStart + 60s);
  int sent = 0;
  for (Instant now = kStart; now < kStart + 1s; now += 1ms) {
    targets_.OnContact(now);
    const TargetPick pick = Pick(now);
    sent += pick.outcome == PickOutcome::kChosen &&
                    targets_.TakeSend(*pick.target, false, now)
                ? 1
                : 0;
  }
  BOOST_TEST(sent <= 22);
  BOOST_TEST(sent >= 19);
}

BOOST_AUTO_TEST_CASE(CallerIsToldWhenAFullTargetHasRoom) {
  Row("a", 1, std::nullopt);
  FillByNotices("a", 22);
  const TargetPick pick = Pick();
  BOOST_TEST((pick.outcome == PickOutcome::kLimited));
  BOOST_TEST(pick.target == nullptr);
  BOOST_TEST((pick.retry_at == kStart + SendWindow::kSpan));
}

BOOST_AUTO_TEST_CASE(OtherTargetIsTakenForOneThatHasGotItsShare) {
  Row("a", 1, std::nullopt);
  Row("b", 1, std::nullopt);
  FillByNotices("a", 12);
  BOOST_TEST(Pick().target->entry.id == "b");
  FillByNotices("b", 20);
  const TargetPick pick = Pick();
  BOOST_TEST((pick.outcome == PickOutcome::kLimited));
  BOOST_TEST(pick.target->entry.id == "a");
}

BOOST_AUTO_TEST_CASE(InstanceOutOfContactSendsFewToABoundedTarget) {
  Row("a", 1, std::nullopt);
  const Instant later = kStart + 5s;
  Pick(later - 250ms);
  Pick(later);
  int sent = 0;
  while (sent < 100 && targets_.TakeSend(*targets_.Find("a"), false, later)) {
    ++sent;
  }
  BOOST_TEST(sent == 2);
}

BOOST_AUTO_TEST_CASE(LeaderDoesNotGrantByNoticesThatItMissedInAPause) {
  Row("a", 1, std::nullopt);
  const Instant later = kStart + 1s;
  targets_.AllowLimitedSends(later + 1s);
  targets_.OnContact(later);
  Pick(later);
  int sent = 0;
  while (sent < 100 && targets_.TryTakeSend(*targets_.Find("a"), later)) {
    ++sent;
  }
  BOOST_TEST(sent == 2);
  Pick(later + 50ms);
  Pick(later + 100ms);
  BOOST_TEST(targets_.TryTakeSend(*targets_.Find("a"), later + 100ms));
}

BOOST_AUTO_TEST_CASE(RestartedTargetThatNamesNoColdTimeIsCold) {
  Row("a", 1, std::nullopt);
  Row("a", 2, std::nullopt, 2);
  BOOST_TEST(targets_.Find("a")->rate_limit.cold(kStart + 2s));
  BOOST_TEST(!targets_.Find("a")->rate_limit.cold(kStart + 3s));
  Row("a", 3, 0s, 3);
  BOOST_TEST(!targets_.Find("a")->rate_limit.cold(kStart));
}

BOOST_AUTO_TEST_CASE(ServiceWithoutColdLimitsIsServedAsBefore) {
  targets_.SetColdLimits({}, 1.5, 5);
  Row("a", 1, 3s);
  FillByNotices("a", 100);
  BOOST_TEST((Pick(kStart + 60s).outcome == PickOutcome::kChosen));
}

BOOST_AUTO_TEST_CASE(BoundBelowOneRequestASecondStillLetsOneThrough) {
  service_.cold_per_second = 0.5;
  targets_.SetColdLimits({&service_, 1}, 1, 0);
  Row("a", 1, 60s);
  targets_.AllowLimitedSends(kStart + 60s);
  int sent = 0;
  for (Instant now = kStart; now < kStart + 10s; now += 10ms) {
    targets_.OnContact(now);
    Pick(now);
    sent += targets_.TryTakeSend(*targets_.Find("a"), now) ? 1 : 0;
  }
  BOOST_TEST(sent >= 4);
  BOOST_TEST(sent <= 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
