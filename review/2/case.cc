// The store turns two of six instances away, the leader first, and the answer
// to the write by which another instance takes the lease is lost.
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>

#include "../kit/deployment.h"

namespace {

using review::Deployment;
using review::Store;

constexpr int kInstances = 6;
// Requests a second at each instance; all together three times the quota.
constexpr double kPerSecond = 10;
constexpr double kLoadAtMs = 8'000;
constexpr double kTroubleAtMs = 15'000;
constexpr double kTroubleMs = 9'000;
constexpr double kEndMs = 32'000;

// Returns the term in a row of the lease.
std::string TermOf(const std::string& lease) {
  const auto from = lease.find("\"term\"");
  return from == std::string::npos
             ? std::string()
             : lease.substr(from, lease.find(',', from) - from);
}

/// Loses the answer to one write: the first that gives the lease to another.
class LeaseWatch {
 public:
  LeaseWatch(Store& store, review::Record& record) {
    store.set_on_write([this, &record](std::size_t door, const Store::Key& key,
                                       const std::string& value) {
      const std::string& name = std::get<2>(key);
      if (name == "leader" && TermOf(value) != term_) {
        term_ = TermOf(value);
        acquired_ = true;
        record.Note("lease: " + value);
      } else if (name == "parts") {
        record.Note("door " + std::to_string(door) + ": " + value);
      }
    });
    store.set_lose_answer(
        [this, &record](std::size_t door, const std::vector<Store::Key>&) {
          const bool lost = armed_ && acquired_;
          acquired_ = false;
          writes_ += armed_or_done_ ? 1 : 0;
          if (lost) {
            armed_ = false;
            record.Note("the answer to this write is lost, door " +
                        std::to_string(door));
          }
          return lost;
        });
  }

  void Arm() {
    armed_ = true;
    armed_or_done_ = true;
  }
  int writes() const { return writes_; }

 private:
  std::string term_;
  bool acquired_ = false;
  std::atomic<bool> armed_{false};
  std::atomic<bool> armed_or_done_{false};
  std::atomic<int> writes_{0};
};

// Returns the tenant, and the instance beside the leader, that hold most parts
// of the tenant's quota together.
std::pair<std::string, std::size_t> ChooseTenant(Deployment& deployment,
                                                 std::size_t leader) {
  std::pair<std::string, std::size_t> best;
  int most = -1;
  for (int i = 0; i < Deployment::kTenants; ++i) {
    auto held = deployment.PartsOf(Deployment::Tenant(i));
    for (std::size_t other = 0; other < kInstances; ++other) {
      const int parts = held[deployment.instances()[leader].name()] +
                        held[deployment.instances()[other].name()];
      if (other != leader && parts > most) {
        most = parts;
        best = {Deployment::Tenant(i), other};
      }
    }
  }
  return best;
}

int Run(const std::string& folder) {
  review::Record record(folder + "/record.txt");
  Deployment deployment(record, {});
  LeaseWatch lease(deployment.store(), record);
  for (int i = 0; i < kInstances; ++i) {
    deployment.AddInstance("edge-" + std::to_string(i + 1),
                           "zone-" + std::to_string(1 + i % 3));
  }
  if (!deployment.StartAll()) {
    std::cerr << "the instances did not become ready\n";
    return 2;
  }
  review::SleepUntilMs(record, kLoadAtMs);
  const auto leader = deployment.Leader();
  if (!leader) {
    std::cerr << "no instance leads\n";
    return 2;
  }
  const auto [tenant, other] = ChooseTenant(deployment, *leader);
  record.Note("tenant " + tenant + ", " +
              deployment.instances()[*leader].name() + " leads");
  std::vector<std::unique_ptr<review::Load>> loads;
  for (const review::Instance& instance : deployment.instances()) {
    loads.push_back(std::make_unique<review::Load>(
        instance, deployment.Shape(tenant, kPerSecond), record));
  }
  review::SleepUntilMs(record, kTroubleAtMs);
  if (review::WithTrouble()) {
    lease.Arm();
    for (const std::size_t door : {*leader, other}) {
      record.Note("the store is silent for " +
                  deployment.instances()[door].name());
      deployment.store().SetDoor(door, Store::DoorState::kSilent);
    }
  }
  review::SleepUntilMs(record, kTroubleAtMs + kTroubleMs);
  for (const std::size_t door : {*leader, other}) {
    deployment.store().SetDoor(door, Store::DoorState::kOpen, true);
  }
  record.Note("the store serves all; writes since the trouble began: " +
              std::to_string(lease.writes()));
  review::SleepUntilMs(record, kEndMs);
  review::EndAll(loads);
  return review::BreaksQuota(deployment, tenant) ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return argc == 2 ? Run(argv[1]) : 2;
}
