#include "fleet/model_plan.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

EngineSpec Offer() {
  EngineSpec offer;
  offer.weights_mb = 200;
  offer.loads_per_second = 2;
  for (int i = 0; i < 5; ++i) {
    offer.models.push_back({"m" + std::to_string(i), 72, 0, 0, 1s});
  }
  return offer;
}

EngineView Engine(std::string id, std::vector<std::string> models) {
  EngineView view;
  view.id = std::move(id);
  view.models = std::move(models);
  return view;
}

DemandByModel DemandOf(const std::map<std::string, double>& tokens) {
  DemandByModel demand;
  for (const auto& [model, count] : tokens) {
    demand[model] = {count / 1000, count, 0};
  }
  return demand;
}

BOOST_AUTO_TEST_CASE(ARequestedModelThatNoTargetHoldsComesFirst) {
  const auto move =
      PlanMove(Offer(), {Engine("a", {"m0", "m1"}), Engine("b", {"m0", "m2"})},
               DemandOf({{"m0", 90'000}, {"m1", 5000}, {"m3", 500}}), 2);
  BOOST_REQUIRE(move.has_value());
  BOOST_TEST(move->load == "m3");
  // The copy without demand is unloaded.
  BOOST_TEST(move->engine == "b");
  BOOST_REQUIRE(move->unload.size() == 1);
  BOOST_TEST(move->unload[0] == "m2");
}

BOOST_AUTO_TEST_CASE(TheLastCopyOfAModelInUseIsKept) {
  const auto move = PlanMove(
      Offer(), {Engine("a", {"m0", "m1"}), Engine("b", {"m2", "m3"})},
      DemandOf({{"m0", 60'000}, {"m1", 900}, {"m2", 900}, {"m3", 900}}), 2);
  BOOST_TEST(!move.has_value());
}

// Two targets share the model in demand; a target with little demand gets a
// copy of it in place of a model without demand.
BOOST_AUTO_TEST_CASE(AnOverloadedModelGetsACopyOnALightlyLoadedTarget) {
  const auto move = PlanMove(
      Offer(),
      {Engine("a", {"m0", "m1"}), Engine("b", {"m0", "m2"}),
       Engine("c", {"m3", "m4"}), Engine("d", {"m3", "m4"})},
      DemandOf({{"m0", 60'000}, {"m1", 9000}, {"m2", 9000}, {"m3", 2000}}), 2);
  BOOST_REQUIRE(move.has_value());
  BOOST_TEST(move->load == "m0");
  BOOST_TEST((move->engine == "c" || move->engine == "d"));
  BOOST_REQUIRE(move->unload.size() == 1);
  BOOST_TEST(move->unload[0] == "m4");
}

// Without any demand, for example right after startup, the existing copies show
// which models were in demand, so none is unloaded.
BOOST_AUTO_TEST_CASE(AModelWithoutDemandOnlyUsesFreeMemory) {
  BOOST_TEST(!PlanMove(Offer(),
                       {Engine("a", {"m0", "m1"}), Engine("b", {"m0", "m2"})},
                       {}, 2)
                  .has_value());
  const auto move = PlanMove(
      Offer(), {Engine("a", {"m0", "m1"}), Engine("b", {"m0"})}, {}, 2);
  BOOST_REQUIRE(move.has_value());
  BOOST_TEST(move->unload.empty());
}

// No copy is added if the demand is spread evenly over the targets.
BOOST_AUTO_TEST_CASE(EvenDemandChangesNothing) {
  const auto move =
      PlanMove(Offer(),
               {Engine("a", {"m0", "m1"}), Engine("b", {"m0", "m1"}),
                Engine("c", {"m2", "m3"}), Engine("d", {"m2", "m4"})},
               DemandOf({{"m0", 30'000},
                         {"m1", 20'000},
                         {"m2", 45'000},
                         {"m3", 4000},
                         {"m4", 4000}}),
               2);
  BOOST_TEST(!move.has_value());
}

// Guards against a slow target that bears as much demand as a fast one: it gets
// help that it would not get at the speed of the others, from the fastest one.
BOOST_AUTO_TEST_CASE(DemandOnASlowTargetWeighsMore) {
  std::vector<EngineView> engines = {
      Engine("a", {"m0", "m1"}), Engine("b", {"m2", "m3"}),
      Engine("c", {"m2", "m4"}), Engine("d", {"m3", "m4"})};
  const DemandByModel demand = DemandOf(
      {{"m0", 40'000}, {"m2", 28'000}, {"m3", 28'000}, {"m4", 28'000}});
  BOOST_TEST(!PlanMove(Offer(), engines, demand, 2).has_value());
  engines[0].speed = 0.6;
  engines[1].speed = 1.6;
  const auto move = PlanMove(Offer(), engines, demand, 2);
  BOOST_REQUIRE(move.has_value());
  BOOST_TEST(move->load == "m0");
  BOOST_TEST(move->engine == "b");
}

BOOST_AUTO_TEST_CASE(NothingIsLoadedWithoutLoadBudget) {
  const auto move =
      PlanMove(Offer(), {Engine("a", {"m0"})}, DemandOf({{"m3", 500}}), 0);
  BOOST_TEST(!move.has_value());
}

BOOST_AUTO_TEST_CASE(ANearCopyNeedsNoLoadBudget) {
  EngineView engine = Engine("a", {"m0"});
  engine.near_models = {"m3"};
  const auto move = PlanMove(Offer(), {engine}, DemandOf({{"m3", 500}}), 0);
  BOOST_REQUIRE(move.has_value());
  BOOST_TEST(!move->from_store);
}

BOOST_AUTO_TEST_CASE(ABusyTargetIsNotChanged) {
  EngineView engine = Engine("a", {"m0"});
  engine.busy = true;
  BOOST_TEST(
      !PlanMove(Offer(), {engine}, DemandOf({{"m3", 500}}), 2).has_value());
}

}  // namespace
}  // namespace jackdaw::serving
