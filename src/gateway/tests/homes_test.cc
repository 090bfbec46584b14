#include "gateway/homes.h"

#include <boost/test/unit_test.hpp>

#include "gateway/target_registry.h"

namespace jackdaw::serving {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};

const RegionMap two_regions = {{"n-1", "north"},
                               {"n-2", "north"},
                               {"s-1", "south"}};
const RegionMap three_regions = {{"n-1", "north"},
                                 {"n-2", "north"},
                                 {"s-1", "south"},
                                 {"w-1", "west"}};

Route RouteOf(std::string host, std::vector<std::string> regions) {
  Route route;
  route.host = std::move(host);
  route.home_regions = std::move(regions);
  return route;
}

Workspace WorkspaceOf(std::vector<std::string> regions) {
  Workspace workspace;
  workspace.home_regions = std::move(regions);
  return workspace;
}

std::vector<EntryInstance> Instances(
    const std::vector<std::string_view>& domains) {
  std::vector<EntryInstance> instances;
  for (const std::string_view domain : domains) {
    const auto port = static_cast<std::uint16_t>(instances.size() + 1);
    instances.push_back(
        {{boost::asio::ip::make_address("127.0.0.1"), port}, domain});
  }
  return instances;
}

std::vector<int> Ports(const std::vector<Endpoint>& addresses) {
  std::vector<int> ports;
  ports.reserve(addresses.size());
  for (const Endpoint& address : addresses) {
    ports.push_back(address.port());
  }
  return ports;
}

BOOST_AUTO_TEST_SUITE(Homes)

BOOST_AUTO_TEST_CASE(RequestWithoutAllowedRegionsReachesAllDomains) {
  const Route route = RouteOf("h", {});
  const Workspace workspace = WorkspaceOf({});
  const AllowedDomains allowed(two_regions, route, &workspace);
  BOOST_TEST(allowed.Allows("n-1"));
  BOOST_TEST(allowed.Allows("unknown"));
  BOOST_TEST(AllowedDomains().Allows("s-1"));
}

BOOST_AUTO_TEST_CASE(RequestReachesOnlyTheAllowedRegions) {
  const Route route = RouteOf("h", {"north", "west"});
  const AllowedDomains allowed(three_regions, route, nullptr);
  BOOST_TEST(allowed.Allows("n-1"));
  BOOST_TEST(allowed.Allows("n-2"));
  BOOST_TEST(allowed.Allows("w-1"));
  BOOST_TEST(!allowed.Allows("s-1"));
  BOOST_TEST(!allowed.Allows("unknown"));
}

BOOST_AUTO_TEST_CASE(RegionsOfRouteAndWorkspaceBothApply) {
  const Route route = RouteOf("h", {"north", "west"});
  const Workspace workspace = WorkspaceOf({"south", "west"});
  const AllowedDomains both(three_regions, route, &workspace);
  BOOST_TEST(both.Allows("w-1"));
  BOOST_TEST(!both.Allows("n-1"));
  BOOST_TEST(!both.Allows("s-1"));
  const Route open = RouteOf("h", {});
  const AllowedDomains own(three_regions, open, &workspace);
  BOOST_TEST(own.Allows("s-1"));
  BOOST_TEST(!own.Allows("n-1"));
}

BOOST_AUTO_TEST_CASE(UnknownAllowedRegionAllowsNothing) {
  const Route route = RouteOf("h", {"nroth"});
  const AllowedDomains allowed(two_regions, route, nullptr);
  BOOST_TEST(!allowed.Allows("n-1"));
  BOOST_TEST(!allowed.Allows("s-1"));
}

BOOST_AUTO_TEST_CASE(RegionsDoNotApplyWhereTheSettingsNameNone) {
  const Route route = RouteOf("h", {"north"});
  const AllowedDomains allowed(RegionMap{}, route, nullptr);
  BOOST_TEST(allowed.Allows("n-1"));
}

BOOST_AUTO_TEST_CASE(UnknownRegionsOfTheConfigurationAreListedOnce) {
  ServingConfig config;
  config.routes = {RouteOf("h", {"nroth", "south"}), RouteOf("i", {"nroth"})};
  config.workspaces = {WorkspaceOf({"east"})};
  BOOST_TEST(
      (UnknownRegions(two_regions, config) == DomainSet{"east", "nroth"}));
}

BOOST_AUTO_TEST_CASE(CallerIsSentToItsRegionAndToTheAllowedOnesOfItsHost) {
  ServingConfig config;
  config.routes = {RouteOf("h", {"west"}), RouteOf("other", {"south"})};
  BOOST_TEST((EntryRegions(three_regions, &config, {"H:80", "north", "n-1"}) ==
              DomainSet{"north", "west"}));
  BOOST_TEST((EntryRegions(three_regions, &config, {"third", "north", "n-1"}) ==
              DomainSet{"north"}));
  BOOST_TEST((EntryRegions(three_regions, nullptr, {"h", "north", "n-1"}) ==
              DomainSet{"north"}));
  // The failure domain tells the region that the caller does not state.
  BOOST_TEST((EntryRegions(three_regions, &config, {"third", "", "s-1"}) ==
              DomainSet{"south"}));
  BOOST_TEST(EntryRegions(three_regions, &config, {"third", "", ""}).empty());
}

BOOST_AUTO_TEST_CASE(DirectoryOfOneRegionNamesAllInstances) {
  const RegionMap one = {{"n-1", "north"}, {"n-2", "north"}};
  ServingConfig config;
  config.routes = {RouteOf("h", {"north"})};
  const DomainSet chosen = EntryRegions(one, &config, {"h", "north", "n-1"});
  BOOST_TEST(chosen.empty());
  const auto instances = Instances({"n-1", "n-2", "unknown"});
  BOOST_TEST((Ports(ChooseEntries(one, instances, chosen)) ==
              std::vector<int>{1, 2, 3}));
}

BOOST_AUTO_TEST_CASE(OtherRegionsAreNamedOnlyWhereNoChosenOneIsReady) {
  const DomainSet chosen = {"north", "west"};
  const auto instances = Instances({"s-1", "n-1", "unknown", "w-1"});
  BOOST_TEST((Ports(ChooseEntries(three_regions, instances, chosen)) ==
              std::vector<int>{2, 4}));
  const auto others = Instances({"s-1", "unknown"});
  BOOST_TEST((Ports(ChooseEntries(three_regions, others, chosen)) ==
              std::vector<int>{1, 2}));
}

class RegionFixture {
 protected:
  RegionFixture() : targets_("n-1", three_regions) {
    engine_.slots = 64;
    call_.model = "m";
    query_.service = "s";
    query_.engine = &engine_;
    query_.call = &call_;
  }

  void Add(std::string id, std::string domain, bool with_model = true) {
    TargetRegistration entry;
    entry.id = std::move(id);
    entry.service = "s";
    entry.failure_domain = std::move(domain);
    entry.born_ms = 1;
    if (with_model) {
      entry.models = {{"m", 1, {}}};
    }
    targets_.Update(entry);
  }

  TargetPick Pick(const Route& route) {
    query_.homes = AllowedDomains(targets_.regions(), route, nullptr);
    return targets_.Pick(query_, kStart);
  }

  TargetRegistry targets_;
  EngineSpec engine_;
  RequestMetadata call_;
  TargetQuery query_;
};

BOOST_FIXTURE_TEST_CASE(TargetOutsideTheAllowedRegionsIsNotChosen,
                        RegionFixture) {
  Add("near", "n-1");
  Add("far", "s-1");
  const TargetPick pick = Pick(RouteOf("h", {"south"}));
  BOOST_TEST_REQUIRE(pick.target != nullptr);
  BOOST_TEST(pick.target->entry.id == "far");
  BOOST_TEST(pick.candidates == 1);
  BOOST_TEST((Pick(RouteOf("h", {"west"})).outcome == PickOutcome::kNoHome));
}

BOOST_FIXTURE_TEST_CASE(ModelThatOnlyOtherRegionsHoldHasNoHome, RegionFixture) {
  Add("far", "s-1", false);
  const Route south = RouteOf("h", {"south"});
  BOOST_TEST((Pick(south).outcome == PickOutcome::kNoModel));
  Add("near", "n-1");
  BOOST_TEST((Pick(south).outcome == PickOutcome::kNoHome));
}

BOOST_FIXTURE_TEST_CASE(EvacuatedHomeIsToldFromAMissingOne, RegionFixture) {
  Add("near", "n-1");
  Add("far", "s-1");
  targets_.SetEvacuated({"s-1"}, kStart);
  BOOST_TEST(
      (Pick(RouteOf("h", {"south"})).outcome == PickOutcome::kEvacuated));
  BOOST_TEST((Pick(RouteOf("h", {"west"})).outcome == PickOutcome::kNoHome));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jackdaw::serving
