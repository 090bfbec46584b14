#include "gateway/target_notice.h"

#include <boost/test/unit_test.hpp>

#include "gateway/crash_suspects.h"
#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

ResponseMetadata ResponseOf(int status, bool leaving) {
  ResponseMetadata response;
  response.status = status;
  response.leaving = leaving;
  return response;
}

BOOST_AUTO_TEST_CASE(ResponseWithoutTheAnnouncementDoesNotTakeItBack) {
  TargetNotice notice;
  BOOST_TEST(!notice.OnResponse(ResponseOf(200, false), kStart).leaves);
  BOOST_TEST(notice.OnResponse(ResponseOf(200, true), kStart + 1s).leaves);
  BOOST_TEST(!notice.OnResponse(ResponseOf(200, true), kStart + 2s).leaves);
  BOOST_TEST(!notice.OnResponse(ResponseOf(200, false), kStart + 3s).leaves);
  BOOST_TEST(notice.leaving());
  BOOST_TEST((notice.leaving_since() == kStart + 1s));
}

BOOST_AUTO_TEST_CASE(ResponseOfAnotherTargetAnnouncesNothing) {
  TargetNotice notice;
  BOOST_TEST(!notice.OnResponse(ResponseOf(421, true), kStart).leaves);
  BOOST_TEST(!notice.leaving());
}

BOOST_AUTO_TEST_CASE(UnreadableAnnouncementIsReportedOnce) {
  TargetNotice notice;
  ResponseMetadata response = ResponseOf(200, false);
  response.leaving_unreadable = true;
  BOOST_TEST(notice.OnResponse(response, kStart).unreadable);
  BOOST_TEST(!notice.OnResponse(response, kStart).unreadable);
  BOOST_TEST(!notice.leaving());
}

ResponseMetadata RestOf(double seconds, int status = 503) {
  ResponseMetadata response;
  response.status = status;
  response.retry_after_seconds = seconds;
  return response;
}

BOOST_AUTO_TEST_CASE(RestLastsUntilTheLatestEndThatWasNamed) {
  TargetNotice notice;
  BOOST_TEST(!notice.Rests(kStart));
  BOOST_TEST(notice.OnResponse(RestOf(2.5), kStart).rests);
  BOOST_TEST(!notice.OnResponse(RestOf(0.5), kStart + 1s).rests);
  notice.OnResponse(ResponseOf(200, false), kStart + 2s);
  BOOST_TEST(notice.Rests(kStart + 2499ms));
  BOOST_TEST(!notice.Rests(kStart + 2500ms));
  BOOST_TEST(notice.OnResponse(RestOf(1), kStart + 3s).rests);
  BOOST_TEST(notice.Rests(kStart + 3999ms));
}

BOOST_AUTO_TEST_CASE(OnlyAnUnavailableTargetAsksForRest) {
  TargetNotice notice;
  for (const int status : {200, 421, 429, 500}) {
    BOOST_TEST(!notice.OnResponse(RestOf(9, status), kStart).rests);
    ResponseMetadata response = ResponseOf(status, false);
    response.retry_after_unreadable = true;
    BOOST_TEST(!notice.OnResponse(response, kStart).unreadable);
  }
  BOOST_TEST(!notice.OnResponse(RestOf(0), kStart).rests);
  BOOST_TEST(!notice.Rests(kStart));
}

BOOST_AUTO_TEST_CASE(AbsurdRestIsKeptForABoundedTime) {
  TargetNotice notice;
  notice.OnResponse(RestOf(1e300), kStart);
  BOOST_TEST(notice.Rests(kStart + 300s));
  BOOST_TEST(!notice.Rests(kStart + 660s));
}

class Fixture {
 protected:
  Fixture() : targets_("here") { entry_ = EntryOf("a", 1); }

  static TargetRegistration EntryOf(std::string id, std::int64_t born_ms) {
    TargetRegistration entry;
    entry.id = std::move(id);
    entry.service = "s";
    entry.born_ms = born_ms;
    return entry;
  }

  void Respond(std::string_view id,
               const ResponseMetadata& response,
               Instant now = kStart) {
    const TargetPtr target = targets_.Find(id);
    targets_.OnSent(*target, call_, now);
    targets_.OnFirstByte(*target, response, 0us, now, now);
  }
  void Announce(std::string_view id, Instant now = kStart) {
    Respond(id, ResponseOf(200, true), now);
  }
  TargetPick Pick(Instant now, std::span<const TargetPtr> excluded = {}) const {
    TargetQuery query;
    query.service = "s";
    query.call = &call_;
    query.excluded = excluded;
    return targets_.Pick(query, now);
  }
  bool IsUsable(std::string_view id) const {
    for (const TargetPtr& target : targets_.Usable("s")) {
      if (target->entry.id == id) {
        return true;
      }
    }
    return false;
  }

  TargetRegistry targets_;
  TargetRegistration entry_;
  RequestMetadata call_;
};

BOOST_FIXTURE_TEST_SUITE(NoticesOfTargets, Fixture)

BOOST_AUTO_TEST_CASE(EntryThatGoesAndComesBackDoesNotUndoTheAnnouncement) {
  targets_.Update(entry_);
  Announce("a");
  BOOST_TEST(!IsUsable("a"));
  targets_.Update(entry_);
  BOOST_TEST(!IsUsable("a"));
  targets_.Remove("a");
  targets_.Update(entry_);
  BOOST_TEST(!IsUsable("a"));
  entry_.address.port(1);
  targets_.Update(entry_);
  BOOST_TEST(!IsUsable("a"));
}

BOOST_AUTO_TEST_CASE(LaterIncarnationIsUsable) {
  targets_.Update(entry_);
  Announce("a");
  targets_.Update(EntryOf("a", 2));
  BOOST_TEST(IsUsable("a"));
  Announce("a");
  targets_.Remove("a");
  targets_.Update(EntryOf("a", 3));
  BOOST_TEST(IsUsable("a"));
}

BOOST_AUTO_TEST_CASE(ReportAppliesToItsIncarnationOnly) {
  TargetRegistry other("there");
  other.Update(EntryOf("a", 2));
  targets_.Update(entry_);
  Announce("a");
  other.AddLeavingTargets(targets_.LeavingTargets(), kStart);
  BOOST_TEST(other.Usable("s").size() == 1U);
  targets_.Update(EntryOf("a", 2));
  BOOST_TEST(targets_.LeavingTargets().empty());
  Announce("a");
  const LeavingReport unknown{7, 2};
  other.AddLeavingTargets({&unknown, 1}, kStart);
  other.AddLeavingTargets(targets_.LeavingTargets(), kStart);
  BOOST_TEST(other.Usable("s").empty());
  BOOST_TEST(other.LeavingTargets().size() == 1U);
}

BOOST_AUTO_TEST_CASE(TargetWhoseEntrySaysDrainingIsNotReported) {
  targets_.Update(entry_);
  Announce("a");
  entry_.state = TargetState::kDraining;
  targets_.Update(entry_);
  BOOST_TEST(targets_.LeavingTargets().empty());
}

BOOST_AUTO_TEST_CASE(NewestAnnouncementsAreReportedFirst) {
  constexpr int kTargets = 100;
  for (int i = 0; i < kTargets; ++i) {
    const std::string id = std::to_string(i);
    targets_.Update(EntryOf(id, 1));
    Announce(id, kStart + i * 1s);
  }
  const auto reports = targets_.LeavingTargets();
  BOOST_TEST(reports.size() < static_cast<std::size_t>(kTargets));
  BOOST_TEST(reports.front().target ==
             TargetDigest(std::to_string(kTargets - 1)));
}

BOOST_AUTO_TEST_CASE(TargetThatEndsAfterItsAnnouncementHasNotCrashed) {
  targets_.Update(entry_);
  const TargetPtr target = targets_.Find("a");
  Announce("a");
  CrashSuspects suspects;
  suspects.Add({5, target, kStart, kStart + 1s, true, {}});
  targets_.Remove("a");
  BOOST_TEST(suspects.TakeCrashes(kStart + 3s).empty());
}

BOOST_AUTO_TEST_CASE(RequestGoesToAnotherTargetWhileOneRests) {
  targets_.Update(entry_);
  targets_.Update(EntryOf("b", 1));
  Respond("a", RestOf(3));
  BOOST_TEST(Pick(kStart + 1s).target->entry.id == "b");
  const std::vector<TargetPtr> tried = {targets_.Find("b")};
  BOOST_TEST((Pick(kStart + 1s, tried).outcome == PickOutcome::kNoTarget));
  BOOST_TEST(Pick(kStart + 3s, tried).target->entry.id == "a");
}

BOOST_AUTO_TEST_CASE(SoonestEndIsToldWhereAllTargetsRest) {
  targets_.Update(entry_);
  targets_.Update(EntryOf("b", 1));
  Respond("a", RestOf(3));
  Respond("b", RestOf(2));
  const std::vector<TargetPtr> tried = {targets_.Find("b")};
  const TargetPick pick = Pick(kStart + 1s, tried);
  BOOST_TEST((pick.outcome == PickOutcome::kResting));
  BOOST_TEST((pick.retry_at == kStart + 2s));
  BOOST_TEST(Pick(kStart + 2s).target->entry.id == "b");
}

BOOST_AUTO_TEST_CASE(RestEndsWithItsIncarnationOnly) {
  targets_.Update(entry_);
  Respond("a", RestOf(60));
  targets_.Remove("a");
  targets_.Update(entry_);
  BOOST_TEST((Pick(kStart + 1s).outcome == PickOutcome::kResting));
  targets_.Update(EntryOf("a", 2));
  BOOST_TEST((Pick(kStart + 1s).outcome == PickOutcome::kChosen));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
