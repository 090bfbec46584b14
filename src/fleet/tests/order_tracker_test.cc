#include "fleet/order_tracker.h"

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

// Guards against overfilling a target: a new leader knows only the target's
// entry, which does not show yet the load that its predecessor ordered.
BOOST_AUTO_TEST_CASE(AReportedModelMissingFromTheEntryUsesMemory) {
  OrderTracker tracker;
  const Target target = Holding({"m0"});
  platform::EngineReport report;
  report.orders_accepted = 4;
  report.models = {"m0", "m1"};
  tracker.OnReport(report, kStart);
  BOOST_TEST(!tracker.HasRoom(Offer(), target, "m2", kStart));
  BOOST_TEST(*tracker.accepted_orders() == 4);
}

BOOST_AUTO_TEST_CASE(ABusyTargetIsRetriedAfterAPause) {
  OrderTracker tracker;
  platform::EngineReport report;
  report.busy = true;
  tracker.OnReport(report, kStart);
  BOOST_TEST(!tracker.accepted_orders().has_value());
  BOOST_TEST(tracker.Busy(kStart + 500ms));
  BOOST_TEST(!tracker.Busy(kStart + 1s));
}

BOOST_AUTO_TEST_CASE(AConflictInvalidatesTheOrderCount) {
  OrderTracker tracker;
  platform::EngineReport report;
  report.orders_accepted = 4;
  tracker.OnReport(report, kStart);
  tracker.OnOrder(LoadOf("m1"), platform::OrderAnswer::kConflict, kStart);
  BOOST_TEST(!tracker.accepted_orders().has_value());
  BOOST_TEST(tracker.Busy(kStart));
}

BOOST_AUTO_TEST_CASE(AnUnansweredOrderReservesMemoryUntilItExpires) {
  OrderTracker tracker;
  const Target target = Holding({"m0"});
  tracker.OnOrder(LoadOf("m1"), std::nullopt, kStart);
  BOOST_TEST(tracker.Busy(kStart + 13s));
  BOOST_TEST(!tracker.HasRoom(Offer(), target, "m2", kStart + 13s));
  BOOST_TEST(tracker.HasRoom(Offer(), target, "m2", kStart + 15s));
}

BOOST_AUTO_TEST_CASE(AcceptedOrdersAreCounted) {
  OrderTracker tracker;
  const Target target = Holding({"m0"});
  platform::EngineReport report;
  report.models = {"m0"};
  tracker.OnReport(report, kStart);
  tracker.OnOrder(LoadOf("m1"), platform::OrderAnswer::kAccepted, kStart);
  BOOST_TEST(*tracker.accepted_orders() == 1);
  BOOST_TEST(!tracker.HasRoom(Offer(), target, "m2", kStart));
  platform::Order unload = LoadOf("m1");
  unload.load = false;
  tracker.OnOrder(unload, platform::OrderAnswer::kAccepted, kStart);
  BOOST_TEST(tracker.HasRoom(Offer(), target, "m2", kStart));
}

// While memory is being freed, the model to be loaded counts as held, so that
// its load is not planned for a second target as well.
BOOST_AUTO_TEST_CASE(AModelOfAPlannedChangeCountsAsHeld) {
  OrderTracker tracker;
  const Target target = Holding({"m0"});
  tracker.BeginChange("m1", kStart + 10s);
  BOOST_TEST(tracker.HeldModels(target.entry, kStart + 1s).contains("m1"));
  BOOST_TEST(!tracker.HeldModels(target.entry, kStart + 11s).contains("m1"));
  tracker.EndChange();
  BOOST_TEST(!tracker.HeldModels(target.entry, kStart + 1s).contains("m1"));
}

BOOST_AUTO_TEST_CASE(AdapterSlotsAreCounted) {
  OrderTracker tracker;
  Target target = Holding({"m0"});
  target.adapters = {"m0/a1", "m0/a2"};
  BOOST_TEST(!tracker.HasRoom(Offer(), target, "m0/a3", kStart));
  BOOST_TEST(tracker.HasRoom(Offer(), target, "m0/a2", kStart));
}

}  // namespace
}  // namespace jackdaw::serving
