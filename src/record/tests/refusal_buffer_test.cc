#include "record/refusal_buffer.h"

#include <boost/test/unit_test.hpp>

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

RefusalBuffer BufferWithRecords(int records) {
  RefusalBuffer buffer(Owner(), 1 << 20, kNow);
  for (int i = 0; i < records; ++i) {
    buffer.Add(kNow, RecordAt(kNow));
  }
  return buffer;
}

BOOST_AUTO_TEST_CASE(BatchIsRepeatedUntilStored) {
  RefusalBuffer buffer = BufferWithRecords(3);
  const auto first = buffer.OldestBatch();
  const auto again = buffer.OldestBatch();
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

BOOST_AUTO_TEST_CASE(BatchHoldsRecordsOfOneMinute) {
  RefusalBuffer buffer = BufferWithRecords(1);
  buffer.Add(kNow + 60s, RecordAt(kNow + 60s));
  BOOST_TEST(buffer.OldestBatch()->last == 2U);
  buffer.OnStored(2);
  BOOST_TEST(
      buffer.OldestBatch()->name.starts_with(MinutePrefix(MinuteOf(kNow) + 1)));
}

BOOST_AUTO_TEST_CASE(LostRecordsAppendAGapRecord) {
  RefusalBuffer buffer(Owner(), 400, kNow);
  for (int i = 0; i < 10; ++i) {
    buffer.Add(kNow, RecordAt(kNow));
  }
  BOOST_TEST(!buffer.all_stored());
  const auto stored = buffer.OldestBatch();
  buffer.OnStored(stored->last);
  const auto gap = buffer.OldestBatch();
  BOOST_TEST_REQUIRE(gap.has_value());
  BOOST_TEST(gap->bytes.find(R"("kind":"gap")") != std::string::npos);
  const std::string lost =
      "\"lost\":" + std::to_string(10 - (stored->last - 1));
  BOOST_TEST(gap->bytes.find(lost) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(MissingNumbersAreReportedAsGaps) {
  const RecordOwner other{"entry-2", 1};
  const auto gaps =
      FindGaps({{Owner(), 9, 12}, {other, 5, 6}, {Owner(), 1, 4}});
  BOOST_TEST_REQUIRE(gaps.size() == 1U);
  BOOST_TEST(gaps[0].at("lost").to_number<int>() == 4);
}

BOOST_AUTO_TEST_CASE(PageHoldsOnlyMatchingRecords) {
  RefusalBuffer buffer = BufferWithRecords(3);
  const auto batch = buffer.OldestBatch();
  RefusalQuery query;
  query.workspace = "school";
  query.from_ms = ToMillis(kNow);
  query.to_ms = query.from_ms + 1;
  RefusalPage page(query);
  BOOST_TEST(page.ShouldRead(batch->name));
  page.Add(batch->name, batch->bytes);
  BOOST_TEST(page.TakeRecords().size() == 3U);
  query.workspace = "other";
  RefusalPage none(query);
  none.Add(batch->name, batch->bytes);
  BOOST_TEST(none.TakeRecords().empty());
  query.instance = "entry-2";
  BOOST_TEST(!RefusalPage(query).ShouldRead(batch->name));
}

}  // namespace
}  // namespace jackdaw
