#include "fleet/dispatch_codec.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

TargetRegistration Entry() {
  TargetRegistration entry;
  entry.id = "a";
  entry.service = "s";
  entry.slots = 2;
  entry.born_ms = 1;
  return entry;
}

LoadReport ReportOf(int running, double work_ratio) {
  return {TargetDigest("a"), running, 3, work_ratio, 1.25, 40ms};
}

BOOST_AUTO_TEST_CASE(LoadReportArrivesAsItWasSent) {
  dispatch::PeerDatagram message;
  EncodeLoadReport(ReportOf(5, 1.337), *message.add_load_reports());
  dispatch::PeerDatagram received;
  BOOST_REQUIRE(received.ParseFromString(message.SerializeAsString()));
  const auto reports = DecodeLoadReports(received);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST(reports[0].target == TargetDigest("a"));
  BOOST_TEST(reports[0].running == 5);
  BOOST_TEST(reports[0].waiting == 3);
  BOOST_TEST(reports[0].work_ratio == 1.337);
  BOOST_TEST(reports[0].speed_sample == 1.25);
  BOOST_TEST((reports[0].age == 40ms));
}

BOOST_AUTO_TEST_CASE(ReportThatNoTargetCanHaveMadeIsSkipped) {
  dispatch::PeerDatagram message;
  EncodeLoadReport(ReportOf(5, 1), *message.add_load_reports());
  message.mutable_load_reports(0)->set_running(4'000'000'000U);
  EncodeLoadReport(ReportOf(5, 1), *message.add_load_reports());
  message.mutable_load_reports(1)->set_work_permille(4'000'000'000U);
  BOOST_TEST(DecodeLoadReports(message).empty());
}

// Guards against notices that grow where no target reports its speed, and
// against those of older instances that say nothing of memory and duration.
BOOST_AUTO_TEST_CASE(NoticeTellsMemoryAndDurationWhereTheForecastIsUsed) {
  TargetRegistry registry("here");
  registry.Update(Entry());
  Target& target = *registry.Find("a");
  RequestMetadata call;
  SentRequest sent;
  sent.uncached_tokens = 700;
  sent.held_tokens = 1100;
  sent.duration = 900ms;
  dispatch::Dispatch notice;
  EncodeDispatch(target, call, sent, notice);
  BOOST_TEST(notice.tokens() == 700U);
  BOOST_TEST(notice.held_tokens() == 0U);
  BOOST_TEST(notice.duration_ms() == 0U);

  LoadReport idle = ReportOf(0, 1);
  idle.waiting = 0;
  registry.AddLoadReports(std::vector{idle}, kStart);
  BOOST_TEST(target.uses_forecast);
  ApplyDispatch(notice, registry, kStart + 1s);
  BOOST_TEST(target.forecast.Tokens(kStart + 1s) >= 700);
  dispatch::Dispatch full;
  EncodeDispatch(target, call, sent, full);
  ApplyDispatch(full, registry, kStart + 10s);
  BOOST_TEST(target.forecast.Tokens(kStart + 10s) == 1100);
  BOOST_TEST(target.forecast.Requests(kStart + 10s + 899ms) == 1);
  BOOST_TEST(target.forecast.Requests(kStart + 10s + 901ms) == 0);
}

}  // namespace
}  // namespace jackdaw::serving
