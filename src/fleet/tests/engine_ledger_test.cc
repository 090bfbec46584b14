#include "fleet/engine_ledger.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

EngineSpec Offer() {
  EngineSpec offer;
  offer.weights_mb = 200;
  offer.adapter_slots = 2;
  offer.models = {
      {"m0", 72, 1, 4, 1s}, {"m1", 72, 1, 0, 1s}, {"m2", 72, 1, 0, 1s}};
  return offer;
}

Target Holding(std::vector<std::string> models) {
  Target target;
  for (std::string& model : models) {
    target.entry.models.push_back({std::move(model), 1, {}});
  }
  return target;
}

platform::Order LoadOf(std::string model) {
  platform::Order order;
  order.model = std::move(model);
  return order;
}

// A leader that has just started knows the entry, which lags behind a load
// that its predecessor ordered.
BOOST_AUTO_TEST_CASE(ALoadThatTheEntryDoesNotShowYetTakesItsRoom) {
  EngineLedger ledger;
  const Target target = Holding({"m0"});
  platform::EngineReport report;
  report.orders_accepted = 4;
  report.models = {"m0", "m1"};
  ledger.OnReport(report, kStart);
  BOOST_TEST(!ledger.HasRoom(Offer(), target, "m2", kStart));
  BOOST_TEST(*ledger.orders() == 4);
}

BOOST_AUTO_TEST_CASE(ABusyTargetIsAskedAgainLater) {
  EngineLedger ledger;
  platform::EngineReport report;
  report.busy = true;
  ledger.OnReport(report, kStart);
  BOOST_TEST(!ledger.orders().has_value());
  BOOST_TEST(ledger.Busy(kStart + 500ms));
  BOOST_TEST(!ledger.Busy(kStart + 1s));
}

BOOST_AUTO_TEST_CASE(AConflictMeansThatTheCountIsNotKnown) {
  EngineLedger ledger;
  platform::EngineReport report;
  report.orders_accepted = 4;
  ledger.OnReport(report, kStart);
  ledger.OnOrder(LoadOf("m1"), platform::OrderAnswer::kConflict, kStart);
  BOOST_TEST(!ledger.orders().has_value());
  BOOST_TEST(ledger.Busy(kStart));
}

BOOST_AUTO_TEST_CASE(AnOrderWithoutAnAnswerKeepsItsRoomForManySeconds) {
  EngineLedger ledger;
  const Target target = Holding({"m0"});
  ledger.OnOrder(LoadOf("m1"), std::nullopt, kStart);
  BOOST_TEST(ledger.Busy(kStart + 13s));
  BOOST_TEST(!ledger.HasRoom(Offer(), target, "m2", kStart + 13s));
  BOOST_TEST(ledger.HasRoom(Offer(), target, "m2", kStart + 15s));
}

BOOST_AUTO_TEST_CASE(AcceptedOrdersAreCounted) {
  EngineLedger ledger;
  const Target target = Holding({"m0"});
  platform::EngineReport report;
  report.models = {"m0"};
  ledger.OnReport(report, kStart);
  ledger.OnOrder(LoadOf("m1"), platform::OrderAnswer::kAccepted, kStart);
  BOOST_TEST(*ledger.orders() == 1);
  BOOST_TEST(!ledger.HasRoom(Offer(), target, "m2", kStart));
  platform::Order unload = LoadOf("m1");
  unload.load = false;
  ledger.OnOrder(unload, platform::OrderAnswer::kAccepted, kStart);
  BOOST_TEST(ledger.HasRoom(Offer(), target, "m2", kStart));
}

// While room is made, the model that is to come counts as held, so that it is
// not planned for a second target.
BOOST_AUTO_TEST_CASE(AModelUnderWayCountsAsHeld) {
  EngineLedger ledger;
  const Target target = Holding({"m0"});
  ledger.Begin("m1", kStart + 10s);
  BOOST_TEST(ledger.Models(target.entry, kStart + 1s).contains("m1"));
  BOOST_TEST(!ledger.Models(target.entry, kStart + 11s).contains("m1"));
  ledger.End();
  BOOST_TEST(!ledger.Models(target.entry, kStart + 1s).contains("m1"));
}

BOOST_AUTO_TEST_CASE(AdapterPlacesAreCounted) {
  EngineLedger ledger;
  Target target = Holding({"m0"});
  target.adapters = {"m0/a1", "m0/a2"};
  BOOST_TEST(!ledger.HasRoom(Offer(), target, "m0/a3", kStart));
  BOOST_TEST(ledger.HasRoom(Offer(), target, "m0/a2", kStart));
}

}  // namespace
}  // namespace jackdaw::serving
