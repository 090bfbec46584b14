#include "fleet/target_feed.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

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
  feed.OnStoreReconnected(kStart + 9s);
  BOOST_TEST(feed.OnSnapshot({}, kStart + 9s).removed.empty());
  BOOST_TEST(feed.OnChanges({RowOf("a", 7)}, kStart + 10s).updated.size() == 1);
  BOOST_TEST(feed.Expire(kStart + 10s).empty());
  const auto gone = feed.Expire(kStart + 11s);
  BOOST_REQUIRE(gone.size() == 1);
  BOOST_TEST(gone[0] == "b");
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

}  // namespace
}  // namespace jackdaw::serving
