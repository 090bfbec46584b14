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

  // Lets a target respond with the announcement.
  void Announce(std::string_view id, Instant now = kStart) {
    const TargetPtr target = targets_.Find(id);
    targets_.OnSent(*target, call_, now);
    targets_.OnFirstByte(*target, ResponseOf(200, true), 0us, now, now);
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
