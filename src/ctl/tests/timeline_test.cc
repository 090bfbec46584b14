#include "ctl/timeline.h"

#include <boost/test/unit_test.hpp>

#include "timeline/hybrid_clock.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

json::value Document(std::string_view process,
                     std::initializer_list<json::object> events) {
  return json::object{{"process", process},
                      {"events", json::array(events.begin(), events.end())}};
}

json::object Event(HybridTimestamp stamp, std::string_view kind) {
  return {{"stamp", stamp}, {"kind", kind}, {"request", "r1"}};
}

BOOST_AUTO_TEST_CASE(AReceivedMessageComesAfterItsSending) {
  HybridClock sender;
  HybridClock receiver;
  // The receiver's clock is five seconds behind.
  const Instant late{Micros(10'000'000)};
  const HybridTimestamp sent = sender.Next(late + 5s);
  receiver.Observe(sent);
  BOOST_TEST(receiver.Next(late) > sent);
}

BOOST_AUTO_TEST_CASE(MergesProcessesByStampAndFilters) {
  const std::vector<json::value> documents{
      Document("a", {Event(1 << 16, "request-admitted"),
                     Event(3 << 16, "request-finished")}),
      Document("b", {Event(2 << 16, "order-sent")})};
  const auto all = MergeEvents(documents, {});
  BOOST_TEST_REQUIRE(all.size() == 3);
  BOOST_TEST(all[1].at("process").as_string() == "b");
  BOOST_TEST(MergeEvents(documents, {"other", {}, {}}).empty());
  const json::value trace = json::parse(TimelineChrome(all));
  int spans = 0;
  for (const auto& event : trace.at("traceEvents").as_array()) {
    spans += event.at("ph").as_string() == "X" ? 1 : 0;
  }
  BOOST_TEST(spans == 1);
}

}  // namespace
}  // namespace jackdaw
