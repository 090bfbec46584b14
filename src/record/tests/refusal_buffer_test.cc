#include "record/refusal_buffer.h"

#include <boost/test/unit_test.hpp>

#include "record/copy_keeper.h"
#include "record/refusal_query.h"

namespace jackdaw {
namespace {

constexpr Instant kNow{Micros(1'700'000'000'000'000)};
RecordOwner Owner() {
  return {"entry-1", 7};
}

RefusalRecord RecordAt(Instant when) {
  RefusalRecord record;
  record.when = when;
  record.workspace = "school";
  record.instance = "entry-1";
  return record;
}

RefusalBuffer BufferOf(int records) {
  RefusalBuffer buffer(Owner(), 1 << 20, kNow);
  for (int i = 0; i < records; ++i) {
    buffer.Add(kNow, RecordAt(kNow));
  }
  return buffer;
}

BOOST_AUTO_TEST_CASE(TheSameLinesAreAskedForUntilStored) {
  RefusalBuffer buffer = BufferOf(3);
  const auto first = buffer.AnyBatch();
  const auto again = buffer.AnyBatch();
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST(first->name == again->name);
  BOOST_TEST(first->bytes == again->bytes);
  BOOST_TEST(LastNumber(first->bytes) == 4U);
  buffer.OnStored(4);
  BOOST_TEST(buffer.all_stored());
  const auto parts = ParseBatchName(first->name);
  BOOST_TEST(parts.value().owner.incarnation == 7U);
  BOOST_TEST(parts.value().first == 1U);
}

BOOST_AUTO_TEST_CASE(ABatchHoldsOneMinute) {
  RefusalBuffer buffer = BufferOf(1);
  buffer.Add(kNow + 60s, RecordAt(kNow + 60s));
  BOOST_TEST(buffer.AnyBatch()->last == 2U);
  buffer.OnStored(2);
  BOOST_TEST(
      buffer.AnyBatch()->name.starts_with(MinutePrefix(MinuteOf(kNow) + 1)));
}

BOOST_AUTO_TEST_CASE(ALossBecomesARecord) {
  RefusalBuffer buffer(Owner(), 400, kNow);
  for (int i = 0; i < 10; ++i) {
    buffer.Add(kNow, RecordAt(kNow));
  }
  BOOST_TEST(!buffer.all_safe());
  const auto stored = buffer.AnyBatch();
  buffer.OnStored(stored->last);
  const auto gap = buffer.AnyBatch();
  BOOST_TEST_REQUIRE(gap.has_value());
  BOOST_TEST(gap->bytes.find(R"("kind":"gap")") != std::string::npos);
  const std::string lost =
      "\"lost\":" + std::to_string(10 - (stored->last - 1));
  BOOST_TEST(gap->bytes.find(lost) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ALostCopyIsSentAgainWhileOthersFollow) {
  RefusalBuffer buffer = BufferOf(2);
  CopyKeeper keeper(1 << 20);
  BOOST_TEST(buffer.NextCopy(kNow, "p")->first == 1U);
  // The first copy is lost; later ones alone cannot be taken.
  bool whole = false;
  for (Instant now = kNow + 100ms; now < kNow + 10s; now += 100ms) {
    buffer.Add(now, RecordAt(now));
    if (const auto piece = buffer.NextCopy(now, "p"); piece) {
      const HeldState held =
          keeper.OnCopy(now, Owner(), piece->first, piece->records, 0, true);
      buffer.OnHeld("p", held.held_through, held.stored_through);
    }
    whole = whole || buffer.all_safe();
  }
  BOOST_TEST(whole);
}

BOOST_AUTO_TEST_CASE(AKeeperStoresForASilentOrCutOwnerOnly) {
  CopyKeeper keeper(1 << 20);
  RefusalBuffer buffer = BufferOf(2);
  const auto piece = buffer.NextCopy(kNow, "p");
  keeper.OnCopy(kNow, Owner(), piece->first, piece->records, 0, true);
  BOOST_TEST(!keeper.NextRecovery(kNow + 14s, kNow).has_value());
  BOOST_TEST(keeper.NextRecovery(kNow + 15s, kNow).has_value());
  keeper.OnCopy(kNow + 15s, Owner(), 0, {}, 0, false);
  BOOST_TEST(!keeper.NextRecovery(kNow + 20s, kNow + 18s).has_value());
  const auto cut = keeper.NextRecovery(kNow + 20s, kNow);
  BOOST_TEST_REQUIRE(cut.has_value());
  // Both writers use one name for the same records.
  BOOST_TEST(cut->batch.name == buffer.AnyBatch()->name);
  keeper.OnStored(kNow, Owner(), 3);
  const auto gone = [](const RecordOwner&) { return true; };
  BOOST_TEST(keeper.TakeEnded(gone)->last == 3U);
}

BOOST_AUTO_TEST_CASE(ARestartedKeeperGetsEverythingAgain) {
  RefusalBuffer buffer = BufferOf(2);
  buffer.NextCopy(kNow, "p");
  buffer.OnHeld("p", 3, 0);
  BOOST_TEST(buffer.all_safe());
  // Only a sign of life is due, and its answer tells of the loss.
  BOOST_TEST(buffer.NextCopy(kNow + 6s, "p")->first == 0U);
  buffer.OnHeld("p", 0, 0);
  BOOST_TEST(!buffer.all_safe());
  BOOST_TEST(buffer.NextCopy(kNow + 6s, "p")->first == 1U);
}

BOOST_AUTO_TEST_CASE(AKeeperWithoutRoomSaysSo) {
  CopyKeeper keeper(10);
  RefusalBuffer buffer = BufferOf(2);
  const auto piece = buffer.NextCopy(kNow, "p");
  const HeldState held =
      keeper.OnCopy(kNow, Owner(), piece->first, piece->records, 0, true);
  BOOST_TEST(held.held_through == 0U);
  BOOST_TEST(!buffer.all_safe());
}

BOOST_AUTO_TEST_CASE(MissingNumbersAreGaps) {
  const RecordOwner other{"entry-2", 1};
  const auto gaps =
      FindGaps({{Owner(), 9, 12}, {other, 5, 6}, {Owner(), 1, 4}});
  BOOST_TEST_REQUIRE(gaps.size() == 1U);
  BOOST_TEST(gaps[0].at("lost").to_number<int>() == 4);
}

BOOST_AUTO_TEST_CASE(APageKeepsToItsQuery) {
  RefusalBuffer buffer = BufferOf(3);
  const auto batch = buffer.AnyBatch();
  RefusalQuery query;
  query.workspace = "school";
  query.from_ms = ToMillis(kNow);
  query.to_ms = query.from_ms + 1;
  RefusalPage page(query);
  BOOST_TEST(page.Wants(batch->name));
  page.Add(batch->name, batch->bytes);
  BOOST_TEST(page.TakeRecords().size() == 3U);
  query.workspace = "other";
  RefusalPage none(query);
  none.Add(batch->name, batch->bytes);
  BOOST_TEST(none.TakeRecords().empty());
  query.instance = "entry-2";
  BOOST_TEST(!RefusalPage(query).Wants(batch->name));
}

}  // namespace
}  // namespace jackdaw
