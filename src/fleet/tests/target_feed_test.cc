#include "fleet/target_feed.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

// Time within which a target that has left must be known to have, and the time
// after an outage from which on an instance is in touch with the store again.
constexpr Micros kDrainTime = 2s;
constexpr Micros kContactTime = 3s;

TargetRow RowOf(std::string id, std::int64_t version) {
  TargetRow row;
  row.id = std::move(id);
  row.version = version;
  row.readable = true;
  row.entry.id = row.id;
  return row;
}

BOOST_AUTO_TEST_CASE(AMissingEntryIsRemovedAtOnceWithoutAnOutage) {
  TargetFeed feed;
  feed.OnSnapshot({RowOf("a", 1), RowOf("b", 2)}, kStart);
  const auto changes = feed.OnSnapshot({RowOf("a", 1)}, kStart + 1s);
  BOOST_TEST(changes.updated.empty());
  BOOST_REQUIRE(changes.removed.size() == 1);
  BOOST_TEST(changes.removed[0] == "b");
}

BOOST_AUTO_TEST_CASE(AnEntryThatExpiredDuringAnOutageMayReturn) {
  TargetFeed feed;
  feed.OnSnapshot({RowOf("a", 1), RowOf("b", 2)}, kStart);
  feed.OnStoreReconnected(kStart + 8900ms, kStart + 9s);
  BOOST_TEST(feed.OnSnapshot({}, kStart + 9s).removed.empty());
  BOOST_TEST(feed.OnChanges({RowOf("a", 7)}, kStart + 10s).updated.size() == 1);
  BOOST_TEST(feed.Expire(kStart + 10s).removed.empty());
  const auto gone = feed.Expire(kStart + 11s).removed;
  BOOST_REQUIRE(gone.size() == 1);
  BOOST_TEST(gone[0] == "b");
}

// Guards against requests to a target that left just after the store was away
// for this instance alone (DRAIN): its entry was removed, it did not expire.
BOOST_AUTO_TEST_CASE(AnEntryRemovedAfterAnOutageIsNotKeptBeyondItsEnd) {
  constexpr Instant kBack = kStart + 9s;
  for (const Micros removed_after : {0ms, 300ms, 1100ms, 1700ms, 2100ms}) {
    TargetFeed feed;
    feed.OnSnapshot({RowOf("a", 1), RowOf("b", 2)}, kStart);
    feed.OnStoreReconnected(kBack - 100ms, kBack);
    auto changes =
        feed.OnSnapshot({RowOf("a", 1)}, kBack + Micros(removed_after));
    const Instant bound = kBack + std::max(kDrainTime, Micros(removed_after));
    if (changes.removed.empty()) {
      BOOST_TEST_REQUIRE(feed.NextExpiry().has_value());
      BOOST_TEST((*feed.NextExpiry() <= bound));
      changes = feed.Expire(bound);
    }
    BOOST_TEST(changes.removed.size() == 1);
    BOOST_TEST(!feed.NextExpiry().has_value());
  }
}

// The same where the end of the outage was noticed late: the instance is in
// touch again 3 s after the end, which is later than the last failed call.
BOOST_AUTO_TEST_CASE(AnOutageWhoseEndIsNoticedLateKeepsNoTargetTooLong) {
  constexpr Instant kRefused = kStart + 9s;
  for (const Micros noticed_after : {60ms, 700ms, 1500ms, 2200ms, 2900ms}) {
    const Instant now = kRefused + Micros(noticed_after);
    TargetFeed feed;
    feed.OnSnapshot({RowOf("a", 1), RowOf("b", 2)}, kStart);
    feed.OnStoreReconnected(kRefused, now);
    auto changes = feed.OnSnapshot({RowOf("a", 1)}, now);
    if (changes.removed.empty()) {
      changes = feed.Expire(std::max(now, kRefused + kContactTime));
    }
    BOOST_TEST(changes.removed.size() == 1);
  }
}

BOOST_AUTO_TEST_CASE(AnOlderRowIsIgnored) {
  TargetFeed feed;
  feed.OnSnapshot({RowOf("a", 5)}, kStart);
  BOOST_TEST(feed.OnChanges({RowOf("a", 4)}, kStart).updated.empty());
}

BOOST_AUTO_TEST_CASE(AnUnreadableRowCountsAsMissing) {
  TargetFeed feed;
  feed.OnSnapshot({RowOf("a", 1)}, kStart);
  TargetRow bad = RowOf("a", 2);
  bad.readable = false;
  BOOST_TEST(feed.OnChanges({bad}, kStart + 5s).removed.size() == 1);
  bad.id = "never-seen";
  BOOST_TEST(feed.OnChanges({bad}, kStart + 5s).removed.empty());
}

BOOST_AUTO_TEST_CASE(ARestoredStoreHidesNoEntryAndRemovesNoneAtOnce) {
  TargetFeed feed;
  feed.OnSnapshot({RowOf("a", 5), RowOf("b", 9)}, kStart);
  feed.OnStoreRestored(kStart + 9s);
  const auto changes = feed.OnSnapshot({RowOf("a", 3)}, kStart + 9s);
  BOOST_TEST(changes.updated.size() == 1);
  BOOST_TEST(changes.removed.empty());
  BOOST_TEST(feed.OnChanges({RowOf("b", 6)}, kStart + 10s).updated.size() == 1);
}

TargetRow DrainingRowOf(std::string id, std::int64_t version) {
  TargetRow row = RowOf(std::move(id), version);
  row.entry.state = TargetState::kDraining;
  return row;
}

// Returns the ids of targets that may get requests after the changes.
std::vector<std::string> ReadyIn(const TargetFeed::Changes& changes) {
  std::vector<std::string> ready;
  for (const TargetRegistration& entry : changes.updated) {
    if (entry.state == TargetState::kReady) {
      ready.push_back(entry.id);
    }
  }
  return ready;
}

// Guards against requests to targets that are about to end (DRAIN).
BOOST_AUTO_TEST_CASE(AnOlderRowDoesNotUndoADrainThatWasRead) {
  TargetFeed feed;
  feed.OnSnapshot({RowOf("known", 5), RowOf("removed", 6)}, kStart);
  feed.OnChanges({DrainingRowOf("known", 8), DrainingRowOf("removed", 9)},
                 kStart + 1s);
  TargetRow gone = RowOf("removed", 10);
  gone.readable = false;
  BOOST_TEST(feed.OnChanges({gone}, kStart + 2s).removed.size() == 1);
  for (int drill = 1; drill <= 2; ++drill) {
    const Instant now = kStart + 10s * drill;
    feed.OnStoreRestored(now);
    const auto changes =
        feed.OnSnapshot({RowOf("known", 5), RowOf("removed", 6)}, now);
    BOOST_TEST(ReadyIn(changes).empty());
    BOOST_TEST(ReadyIn(feed.Expire(now + 9s)).empty());
  }
}

// Guards against requests to targets that left without announcing it (DRAIN).
BOOST_AUTO_TEST_CASE(AnOlderRowDoesNotUndoARemovalThatWasRead) {
  TargetFeed feed;
  feed.OnSnapshot({RowOf("a", 5), RowOf("b", 6)}, kStart);
  BOOST_TEST(feed.OnSnapshot({RowOf("b", 6)}, kStart + 4s).removed.size() == 1);
  for (int drill = 1; drill <= 2; ++drill) {
    const Instant now = kStart + 6s * drill;
    feed.OnStoreRestored(now);
    const auto changes = feed.OnSnapshot({RowOf("a", 5), RowOf("b", 6)}, now);
    BOOST_TEST(ReadyIn(changes) == std::vector<std::string>{"b"});
    BOOST_TEST(
        ReadyIn(feed.OnSnapshot({RowOf("a", 5), RowOf("b", 6)}, now)).empty());
    BOOST_TEST(ReadyIn(feed.Expire(now + 5s)).empty());
  }
}

BOOST_AUTO_TEST_CASE(ARemovedTargetIsUsedAgainOnceTheStoreKeepsItsEntry) {
  TargetFeed feed;
  feed.OnSnapshot({RowOf("a", 5), RowOf("b", 6)}, kStart);
  feed.OnSnapshot({}, kStart + 4s);
  feed.OnStoreRestored(kStart + 9s);
  feed.OnSnapshot({RowOf("a", 5), RowOf("b", 6)}, kStart + 9s);
  TargetRow gone = RowOf("b", 7);
  gone.readable = false;
  feed.OnChanges({gone}, kStart + 10s);
  BOOST_TEST(ReadyIn(feed.Expire(kStart + 20s)) ==
             std::vector<std::string>{"a"});
}

BOOST_AUTO_TEST_CASE(ALaterWriteOrIncarnationEndsADepartureAtOnce) {
  TargetFeed feed;
  feed.OnSnapshot({RowOf("again", 5), RowOf("late", 6), RowOf("reborn", 7)},
                  kStart);
  feed.OnChanges({DrainingRowOf("reborn", 8)}, kStart + 1s);
  feed.OnSnapshot({}, kStart + 4s);
  feed.OnStoreRestored(kStart + 9s);
  TargetRow reborn = RowOf("reborn", 4);
  reborn.entry.born_ms = 1;
  BOOST_TEST(
      ReadyIn(feed.OnSnapshot({RowOf("again", 5), reborn}, kStart + 9s)) ==
      std::vector<std::string>{"reborn"});
  const auto changes =
      feed.OnChanges({RowOf("again", 6), RowOf("late", 6)}, kStart + 10s);
  BOOST_TEST(ReadyIn(changes) == (std::vector<std::string>{"again", "late"}));
}

}  // namespace
}  // namespace jackdaw::serving
