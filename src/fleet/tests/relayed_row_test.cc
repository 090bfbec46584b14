#include "fleet/relayed_row.h"

#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "fleet/relay_budget.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

std::string DocumentOf(int routes) {
  std::string text = R"({"version":7,"routes":[)";
  for (int i = 0; i < routes; ++i) {
    text += R"({"name":"route-)" + std::to_string(i) +
            R"(","hostname":"h","prefix":"/","service":"plain"},)";
  }
  return text + "{}]}";
}

BOOST_AUTO_TEST_CASE(APackedValueReadsBackAsItWas) {
  Random random(7);
  std::string noise;
  for (int i = 0; i < 5000; ++i) {
    noise += static_cast<char>(' ' + random.Below(90));
  }
  for (const std::string& value :
       {std::string(), std::string("{}"), DocumentOf(1), DocumentOf(9000),
        noise, std::string(100'000, 'x')}) {
    const auto read = UnpackValue(PackValue(value));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST((read.value() == value));
  }
  BOOST_TEST(PackValue(DocumentOf(1000)).size() * 5 < DocumentOf(1000).size());
}

// A follower must not end for lack of memory by a reply that expands.
BOOST_AUTO_TEST_CASE(AValueThatExpandsToTooMuchIsMalformed) {
  constexpr std::size_t kBound = 16UL * 1024 * 1024;
  BOOST_TEST(UnpackValue(PackValue(std::string(kBound / 2, 'x'))).has_value());
  BOOST_TEST(!UnpackValue(PackValue(std::string(kBound * 2, 'x'))).has_value());
}

BOOST_AUTO_TEST_CASE(ADamagedOrUnknownValueIsMalformed) {
  std::string packed = PackValue(DocumentOf(100));
  BOOST_TEST_REQUIRE(packed.front() == 'z');
  for (const std::string& text :
       {std::string(), std::string("z"), std::string("z!"), std::string("y{}"),
        packed.substr(0, packed.size() / 2), "z" + packed,
        "z00000000" + packed.substr(9)}) {
    BOOST_TEST(!UnpackValue(text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(ARelayedRowReadsBackAndIgnoresMoreElements) {
  using Kind = RelayedRow::Kind;
  for (const Kind kind : {Kind::kText, Kind::kDeleted, Kind::kUnchanged}) {
    RelayedRow row{"k", 12, kind, kind == Kind::kText ? "=v" : "", 0};
    row.digest = kind == Kind::kUnchanged ? 0xfffffffe : 0;
    boost::json::value element = EncodeRelayedRow(row);
    element.as_array().emplace_back("of a later release");
    const auto read =
        DecodeRelayedRow(boost::json::parse(boost::json::serialize(element)));
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().key == "k");
    BOOST_TEST(read.value().version == 12);
    BOOST_TEST((read.value().kind == kind));
    BOOST_TEST(read.value().text == row.text);
    BOOST_TEST(read.value().digest == row.digest);
    BOOST_TEST(boost::json::serialize(EncodeRelayedRow(row)).size() <=
               SizeOf(row));
  }
  for (const char* text : {"{}", "[]", R"(["k",1])", R"(["k","1","=v"])",
                           R"(["k",1,{}])", R"(["k",1,-1])"}) {
    BOOST_TEST(!DecodeRelayedRow(boost::json::parse(text)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(ARoundRelaysAtMostAFifthOfTheLink) {
  RelayBudget budget(10);
  BOOST_TEST(budget.Left(kStart, 1000ms) == 250'000U);
  budget.Spend(200'000);
  BOOST_TEST(budget.Left(kStart + 999ms, 1000ms) == 50'000U);
  budget.Spend(60'000);
  BOOST_TEST(budget.Left(kStart + 999ms, 1000ms) == 0U);
  BOOST_TEST(budget.Left(kStart + 1000ms, 400ms) == 100'000U);
  BOOST_TEST(budget.total() == 260'000U);
  BOOST_TEST(RelayBudget(200).Left(kStart, 1000ms) == 5'000'000U);
}

}  // namespace
}  // namespace jackdaw::serving
