#include "fleet/relayed_target.h"

#include <boost/test/unit_test.hpp>

#include "fleet/relayed_row.h"
#include "platform/target_row.h"

namespace jackdaw::serving {
namespace {

TargetRegistration EntryOf(std::vector<HeldModel> models) {
  TargetRegistration entry;
  entry.id = "e-17";
  entry.service = "engines";
  entry.address = ParseEndpoint("10.32.1.15:8000").value();
  entry.failure_domain = "r1-a";
  entry.born_ms = 1'700'000'000'123;
  entry.slots = 16;
  entry.models = std::move(models);
  return entry;
}

void CheckSame(const TargetRegistration& read, const TargetRegistration& as) {
  BOOST_TEST(read.id == as.id);
  BOOST_TEST(read.service == as.service);
  BOOST_TEST((read.address == as.address));
  BOOST_TEST(read.failure_domain == as.failure_domain);
  BOOST_TEST((read.state == as.state));
  BOOST_TEST(read.born_ms == as.born_ms);
  BOOST_TEST(read.slots == as.slots);
  BOOST_TEST((read.cold_remaining == as.cold_remaining));
  BOOST_TEST_REQUIRE(read.models.size() == as.models.size());
  for (std::size_t i = 0; i < as.models.size(); ++i) {
    BOOST_TEST(read.models[i].name == as.models[i].name);
    BOOST_TEST(read.models[i].version == as.models[i].version);
    BOOST_TEST(read.models[i].adapters == as.models[i].adapters);
  }
}

void CheckReadsBack(const TargetRegistration& entry) {
  const std::string text = EncodeRelayedTarget(entry);
  // JSON must not make the text longer.
  BOOST_TEST(JsonSize(text) == text.size());
  const auto read = DecodeRelayedTarget(entry.id, text);
  BOOST_TEST_REQUIRE(read.has_value());
  CheckSame(read.value(), entry);
}

// A follower that read another entry than the leader would send requests to
// targets that cannot run them.
BOOST_AUTO_TEST_CASE(ARelayedTargetReadsBackAsItWas) {
  CheckReadsBack(EntryOf({}));
  CheckReadsBack(EntryOf({{"m1", 3, {"a1", "a2", "a3", "a7", "b", "a8"}},
                          {"m2", 0, {}},
                          {"m3", -1, {"a9", "a10", "a11"}}}));
  TargetRegistration entry = EntryOf({});
  entry.state = TargetState::kDraining;
  entry.cold_remaining = 0ms;
  CheckReadsBack(entry);
  entry.cold_remaining = 2750ms;
  CheckReadsBack(entry);
  entry.address = ParseEndpoint("[::1]:80").value();
  CheckReadsBack(entry);
}

BOOST_AUTO_TEST_CASE(NamesWithSeparatorsReadBackAsTheyWere) {
  TargetRegistration entry = EntryOf(
      {{"a b:c,d~e%f=g\"h\\\n", 1, {"x,y", "a1~3", "1", "2", "%41", ""}},
       {"m\xc3\xa4", 2, {"01", "02", "999999999", "1000000000"}}});
  entry.service = "s z=q";
  entry.failure_domain = "";
  // The decoder of full rows takes empty names, and skips none of them.
  entry.models[0].adapters.pop_back();
  CheckReadsBack(entry);
}

BOOST_AUTO_TEST_CASE(FieldsOfALaterReleaseAreIgnored) {
  const auto entry = EntryOf({{"m1", 3, {"a1"}}});
  const auto read = DecodeRelayedTarget(
      entry.id, EncodeRelayedTarget(entry) + " q=1:2,3 new x=%ZZ");
  BOOST_TEST_REQUIRE(read.has_value());
  CheckSame(read.value(), entry);
}

BOOST_AUTO_TEST_CASE(ATextThatCannotBeReadIsMalformed) {
  for (const char* text :
       {"", "t", "u s=e a=10.0.0.1:1", "t s=e", "t a=10.0.0.1:1",
        "t s=e a=10.0.0.1:0", "t s=e a=host:1", "t s=% a=10.0.0.1:1",
        "t s=e a=10.0.0.1:1 n=x", "t s=e a=10.0.0.1:1 m=m1",
        "t s=e a=10.0.0.1:1 m=:1", "t s=e a=10.0.0.1:1 m=m1:1:b~8",
        "t s=e a=10.0.0.1:1 m=m1:1:a1~999999999", "{}"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(!DecodeRelayedTarget("e", text).has_value());
    }
  }
}

// The relay of rows is bounded by bytes, so a form that is hardly shorter would
// send the followers to the store.
BOOST_AUTO_TEST_CASE(ACompactRowTakesLessThanAThirdOfTheFullOne) {
  TargetRegistration entry = EntryOf({{"model-17", 3, {"a1", "a2", "a3", "a4"}},
                                      {"model-102", 1, {"a2", "a5"}},
                                      {"model-164", 12, {"a1", "a8"}}});
  for (int i = 0; i < 8; ++i) {
    entry.near_models.push_back("model-" + std::to_string(20 * i + 3));
  }
  const std::string full = platform::EncodeTarget(entry);
  const std::string compact = EncodeRelayedTarget(entry);
  BOOST_TEST_MESSAGE("bytes of a row in a message: full "
                     << JsonSize(full) << ", compact " << JsonSize(compact));
  BOOST_TEST(JsonSize(compact) * 3 < JsonSize(full));
}

}  // namespace
}  // namespace jackdaw::serving
