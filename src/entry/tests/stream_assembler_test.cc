#include "entry/stream_assembler.h"

#include <boost/test/unit_test.hpp>

#include "core/random.h"

namespace jackdaw {
namespace {

std::string Event(std::string_view id, int index) {
  return R"(data: {"id":")" + std::string(id) + R"(","text":"t)" +
         std::to_string(index) + "\"}\n\n";
}

std::string Stream(std::string_view id, int from, int to) {
  std::string stream;
  for (int i = from; i < to; ++i) {
    stream += Event(id, i);
  }
  return stream;
}

constexpr std::string_view kDone = "data: [DONE]\n\n";

BOOST_AUTO_TEST_CASE(OutputIsIndependentOfInputSplits) {
  const std::string stream = Stream("r", 0, 12) + std::string(kDone);
  Random random(7);
  for (int round = 0; round < 2000; ++round) {
    StreamAssembler assembler("r");
    std::string out;
    std::string_view rest = stream;
    while (!rest.empty()) {
      const auto size =
          std::min<std::size_t>(rest.size(), 1 + random.Below(40));
      out += assembler.Feed(rest.substr(0, size));
      rest.remove_prefix(size);
    }
    BOOST_TEST_REQUIRE(out == stream);
    BOOST_TEST_REQUIRE(assembler.done());
    BOOST_TEST_REQUIRE(assembler.tokens() == 12);
  }
}

// The first target breaks off after each possible number of bytes, and the
// next one continues at the offset.
BOOST_AUTO_TEST_CASE(ResumedStreamHasEachTokenOnce) {
  const std::string stream = Stream("r", 0, 9) + std::string(kDone);
  for (std::size_t cut = 0; cut < stream.size(); ++cut) {
    StreamAssembler assembler("r");
    std::string out = assembler.Feed(stream.substr(0, cut));
    assembler.Restart();
    out += assembler.Feed(Stream("r", static_cast<int>(assembler.tokens()), 9) +
                          std::string(kDone));
    BOOST_TEST_REQUIRE(out == stream);
  }
}

BOOST_AUTO_TEST_CASE(EventsOfAnotherRequestAreDropped) {
  StreamAssembler assembler("r");
  const std::string out = assembler.Feed(Event("r", 0) + Event("other", 0) +
                                         Event("r", 1) + std::string(kDone));
  BOOST_TEST(out == Event("r", 0));
  BOOST_TEST(assembler.crossed());
  BOOST_TEST(!assembler.done());
  assembler.Restart();
  BOOST_TEST(!assembler.crossed());
  BOOST_TEST(assembler.Feed("data: not JSON\n\n").empty());
  BOOST_TEST(assembler.crossed());
}

BOOST_AUTO_TEST_CASE(OversizedEventIsDropped) {
  StreamAssembler assembler("r");
  const std::string part(64UL * 1024, 'x');
  for (int i = 0; i < 40; ++i) {
    BOOST_TEST(assembler.Feed(part).empty());
  }
  BOOST_TEST(assembler.overflowed());
  BOOST_TEST(assembler.Feed("\n\n" + Event("r", 0)).empty());
}

BOOST_AUTO_TEST_CASE(RandomBytesAreNotForwarded) {
  Random random(11);
  constexpr std::string_view kAlphabet = "dat:\n {}[]\"idDONE,x";
  for (int round = 0; round < 5000; ++round) {
    StreamAssembler assembler("r");
    std::string noise;
    for (int i = 0; i < 60; ++i) {
      noise += kAlphabet[random.Below(kAlphabet.size())];
    }
    const std::string out = assembler.Feed(noise);
    BOOST_TEST_REQUIRE((out.empty() || out == kDone));
  }
}

}  // namespace
}  // namespace jackdaw
