#include "replay/budgets/budget_sim.h"

#include "budget/message_codec.h"
#include "platform/row_codec.h"
#include "platform/table_store.h"
#include "proto/peer.pb.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Micros kPeerDelay = 4ms;
constexpr Micros kTableDelay = 5ms;
constexpr Micros kAnswerTime = 2s;
constexpr Micros kLookTime = 20ms;
constexpr Micros kConfigTime = 500ms;
// Lag of the platform's list behind the fleet.
constexpr Micros kListLag = 10s;
// One peer message in so many is lost.
constexpr std::uint64_t kLostMessages = 1000;
// Longest wait of a request for its budget.
constexpr Micros kWaitTime = 2s;
constexpr std::int64_t kQueueRequests = 64;
// A decrease must be in force this long after its acceptance.
constexpr Micros kDecreaseTime = 7s;
// Time for which callers stay with an instance that stands still.
constexpr Micros kCallersStay = 2s;
// Heads of a request and its answer, and of an envelope with its packet.
constexpr std::int64_t kHttpBytes = 300;
constexpr std::int64_t kEnvelopeBytes = 90;
constexpr std::size_t kPeersProbed = 2;

// Bytes of a read of the store and its answer.
std::int64_t ReadBytes(const ReadQuery& query, std::span<const Row> rows) {
  namespace wire = serving::platform;
  std::size_t bytes = wire::EncodeRowSet(wire::ToRowSet(rows)).size();
  for (const auto& key : query.keys) {
    bytes += key.size();
  }
  const auto calls = static_cast<std::int64_t>(query.prefixes.size()) +
                     (query.keys.empty() ? 0 : 1);
  return static_cast<std::int64_t>(bytes) + kHttpBytes * calls;
}

std::int64_t WriteBytes(const Transaction& transaction) {
  namespace wire = serving::platform;
  const std::string body =
      wire::EncodeTransaction(wire::ToRowTransaction(transaction));
  return static_cast<std::int64_t>(body.size()) + kHttpBytes;
}

EscrowPolicy PolicyOf(BudgetWay way) {
  EscrowPolicy policy;
  if (way == BudgetWay::kShortLeases) {
    policy.floor_headroom = 0;
  } else if (way == BudgetWay::kAskOwner) {
    policy = {0, false, 1, 0us};
  }
  return policy;
}

}  // namespace

template <BudgetScheme Budget>
BudgetSim<Budget>::BudgetSim(const BudgetRun& run,
                             const BudgetCase& shape,
                             BudgetWay way)
    : run_(run),
      shape_(shape),
      load_(run, shape),
      random_(run.seed),
      events_(kStart),
      start_(kStart),
      config_(std::make_shared<FleetConfig>()) {
  config_->version = 1;
  for (std::size_t i = 0; i < load_.workspaces(); ++i) {
    const std::string name = BudgetLoad::NameOf(i);
    config_->workspaces.push_back({name});
    config_->exceptions.push_back(
        {"workspace/" + name, "rate_tokens_per_s", load_.RateOf(i), "load", 0});
    config_->exceptions.push_back(
        {"workspace/" + name, "burst_tokens", load_.BurstOf(i), "load", 0});
    spent_.emplace_back(load_.RateOf(i), load_.BurstOf(i), kStart);
    ideal_.emplace_back(load_.RateOf(i), load_.BurstOf(i), kStart);
    excess_.push_back(0);
    start_excess_.push_back(0);
  }
  AddNodes(way);
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::AddNodes(BudgetWay way) {
  for (std::int64_t i = 0; i < run_.instances; ++i) {
    const std::string name = "n" + std::to_string(1000 + i);
    if constexpr (kEscrow) {
      nodes_.push_back(
          std::make_unique<Node>(name, EscrowBudget(name, 1, PolicyOf(way))));
    } else {
      nodes_.push_back(std::make_unique<Node>(name, Budget(run_.instances)));
    }
    listed_.push_back({name, "", "", "", "d" + std::to_string(i % 6), 1,
                       InstanceState::kLive});
  }
  const auto spread = static_cast<std::int64_t>(nodes_.size());
  for (std::int64_t i = 0; i < spread; ++i) {
    Node& node = *nodes_[static_cast<std::size_t>(i)];
    events_.After(kConfigTime * i / spread,
                  [this, &node] { PollConfig(node); });
    if constexpr (kEscrow) {
      events_.After(kConfigTime + 2s * i / spread,
                    [this, &node] { Round(node); });
    }
  }
}

template <BudgetScheme Budget>
BudgetFigures BudgetSim<Budget>::Run() {
  const std::uint64_t breaches = InvariantBreachCount();
  events_.After(10s, [this] { Arrive(); });
  events_.After(run_.warm_up, [this] { StartFault(); });
  events_.After(run_.warm_up + run_.fault, [this] { EndFault(); });
  const Micros length = run_.warm_up + run_.fault + run_.after;
  events_.RunUntil(kStart + length);
  figures_.seconds = static_cast<double>(length.count()) / 1e6;
  figures_.instances = run_.instances;
  for (const std::int64_t excess : excess_) {
    figures_.wrongful_refusals += std::max<std::int64_t>(0, excess);
  }
  for (const std::int64_t excess : start_excess_) {
    figures_.wrongful_at_start += std::max<std::int64_t>(0, excess);
  }
  for (const auto& node : nodes_) {
    figures_.busiest_bytes = std::max(figures_.busiest_bytes, node->bytes);
  }
  figures_.invariant_violations +=
      static_cast<std::int64_t>(InvariantBreachCount() - breaches);
  return figures_;
}

template <BudgetScheme Budget>
bool BudgetSim<Budget>::InFault() const {
  const Instant now = events_.now();
  return now >= start_ + run_.warm_up &&
         now < start_ + run_.warm_up + run_.fault;
}

template <BudgetScheme Budget>
std::vector<std::int64_t>& BudgetSim<Budget>::Excess() {
  return events_.now() < start_ + run_.warm_up ? start_excess_ : excess_;
}

template <BudgetScheme Budget>
bool BudgetSim<Budget>::Reaches(const Node& node) const {
  return !node.cut && !(shape_.outage && InFault());
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::StartFault() {
  const auto part = [&](std::int64_t of_64) {
    return nodes_.size() * static_cast<std::size_t>(of_64) / 64;
  };
  for (std::size_t i = 0; i < part(shape_.cut_of_64); ++i) {
    nodes_[i]->cut = true;
  }
  Lose(shape_.lose_one ? 1 : part(shape_.lost_of_64));
  nodes_.front()->paused_until = events_.now() + shape_.pause;
  if (shape_.halve) {
    Halve();
  }
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::EndFault() {
  for (auto& node : nodes_) {
    node->cut = false;
  }
}

// Instances die at once, and leave the platform's list later.
template <BudgetScheme Budget>
void BudgetSim<Budget>::Lose(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    nodes_[i]->alive = false;
  }
  events_.After(kListLag, [this, count] {
    listed_.erase(listed_.begin(),
                  listed_.begin() + static_cast<std::ptrdiff_t>(count));
  });
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::Halve() {
  config_ = std::make_shared<FleetConfig>(*config_);
  ++config_->version;
  for (auto& exception : config_->exceptions) {
    exception.value /= 2;
  }
  for (std::size_t i = 0; i < load_.workspaces(); ++i) {
    const std::int64_t rate = load_.RateOf(i) / 2;
    const std::int64_t burst = load_.BurstOf(i) / 2;
    ideal_[i].Resize(events_.now(), rate, burst);
    events_.After(kDecreaseTime, [this, i, rate, burst] {
      spent_[i].Resize(events_.now(), rate, burst);
    });
  }
}

template <BudgetScheme Budget>
auto BudgetSim<Budget>::PickNode() -> Node* {
  if (shape_.skew > 0 && InFault() && random_.Unit() < shape_.skew) {
    return nodes_.back().get();
  }
  Node* node = nullptr;
  do {
    node = nodes_[random_.Below(nodes_.size())].get();
  } while (!node->alive ||
           (node->paused_until > events_.now() &&
            node->paused_until - events_.now() < shape_.pause - kCallersStay));
  return node;
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::Arrive() {
  const LoadRequest load = load_.Next(random_, InFault());
  CentralBucket& ideal = ideal_[load.workspace];
  if (ideal.Has(events_.now(), load.charge)) {
    ideal.Spend(events_.now(), load.charge);
    events_.After(load.service, [this, load] {
      ideal_[load.workspace].Refund(events_.now(), load.unused);
    });
  } else {
    --Excess()[load.workspace];
  }
  Node& node = *PickNode();
  (events_.now() < start_ + run_.warm_up ? figures_.requests_at_start
                                         : figures_.requests) += 1;
  // What reaches an instance that stands still is seen when it goes on.
  events_.At(std::max(events_.now(), node.paused_until), [this, &node, load] {
    Guard(node, [=, this, &node] { Offer(node, load); });
  });
  events_.After(load_.NextGap(random_, InFault()), [this] { Arrive(); });
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::Offer(Node& node, const LoadRequest& load) {
  const PendingRequest request{load.workspace, load.charge, load.unused};
  const WaitDecision decision =
      node.queue.Offer(events_.now(), BudgetLoad::NameOf(load.workspace),
                       load.charge, events_.now() + kWaitTime, kQueueRequests);
  if (decision.kind == WaitDecision::Kind::kWait) {
    node.pending[decision.id] = request;
    ++figures_.waited;
  } else {
    Settle(node, request, decision.kind == WaitDecision::Kind::kRun);
  }
  AfterChange(node);
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::Settle(Node& node,
                               const PendingRequest& request,
                               bool granted) {
  CentralBucket& spent = spent_[request.workspace];
  if (!granted) {
    ++figures_.refused_total;
    ++Excess()[request.workspace];
    return;
  }
  figures_.overspend_tokens += spent.Spend(events_.now(), request.charge);
  const Micros service =
      1s + Micros(static_cast<std::int64_t>(random_.Below(3'000'000)));
  events_.After(service, [this, &node, request] {
    spent_[request.workspace].Refund(events_.now(), request.unused);
    if (node.alive) {
      Guard(node, [=, this, &node] {
        node.budget.Refund(events_.now(), BudgetLoad::NameOf(request.workspace),
                           request.unused);
        Look(node);
      });
    }
  });
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::Look(Node& node) {
  for (const WaitDecision& decision : node.queue.Release(events_.now())) {
    const auto found = node.pending.find(decision.id);
    if (found != node.pending.end()) {
      Settle(node, found->second, decision.kind == WaitDecision::Kind::kRun);
      node.pending.erase(found);
    }
  }
  if constexpr (kEscrow) {
    node.budget.DepositUnusedGrants(events_.now());
  }
  AfterChange(node);
}

// Sends what there is to send and looks again later while requests wait.
template <BudgetScheme Budget>
void BudgetSim<Budget>::AfterChange(Node& node) {
  if constexpr (kEscrow) {
    for (const auto& message : node.budget.TakeMessages()) {
      Send(node, message);
    }
  }
  if (!node.queue.empty() && !node.looking) {
    node.looking = true;
    events_.After(kLookTime, [this, &node] {
      node.looking = false;
      Guard(node, [=, this, &node] { Look(node); });
    });
  }
}

// Runs what a live instance does; one that stands still does it later.
template <BudgetScheme Budget>
void BudgetSim<Budget>::Guard(Node& node, const std::function<void()>& act) {
  if (!node.alive) {
    return;
  }
  if (events_.now() < node.paused_until) {
    events_.At(node.paused_until, [this, &node, act] { Guard(node, act); });
    return;
  }
  try {
    act();
  } catch (const InvariantBreach&) {
    // Counted by the invariant itself.
  }
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::PollConfig(Node& node) {
  const Instant now = events_.now();
  const bool paused = now < node.paused_until;
  if (node.alive && !paused) {
    const bool reached = Reaches(node);
    if (reached) {
      ApplyConfig(node);
      node.confirmation.OnConfirmed(now);
    }
    if constexpr (kEscrow) {
      if (reached) {
        node.confirmation.OnInstances(listed_);
        node.budget.OnInstances(now, listed_, false);
      }
      if (node.confirmation.NeedsPeerProbes(now)) {
        Probe(node);
      }
      node.budget.OnConfirmed(now, node.confirmation.ValidUntil(now));
    }
    Guard(node, [=, this, &node] { Look(node); });
  }
  events_.At(std::max(now + kConfigTime, node.paused_until),
             [this, &node] { PollConfig(node); });
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::ApplyConfig(Node& node) {
  if (node.config_version != config_->version) {
    node.config_version = config_->version;
    node.budget.OnConfig(events_.now(), *config_);
  }
}

// Asks a few peers how fresh their configuration is, as the daemon does; a
// peer with a newer one hands it over with its answer.
template <BudgetScheme Budget>
void BudgetSim<Budget>::Probe(Node& node) {
  const Instant asked = events_.now();
  for (std::size_t i = 0; i < kPeersProbed; ++i) {
    Node& peer = *nodes_[node.next_probe++ % nodes_.size()];
    node.bytes += kEnvelopeBytes;
    if (&peer == &node || !peer.alive) {
      continue;
    }
    events_.After(2 * kPeerDelay, [this, &node, &peer, asked] {
      Guard(node, [=, this, &node, &peer] {
        node.bytes += kEnvelopeBytes;
        peer.bytes += 2 * kEnvelopeBytes;
        if (peer.config_version > node.config_version) {
          ApplyConfig(node);
        }
        if (peer.config_version == node.config_version) {
          node.confirmation.OnPeerReply(
              peer.name, asked,
              std::min(asked, peer.confirmation.confirmed_at()));
        }
      });
    });
  }
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::Round(Node& node) {
  if constexpr (kEscrow) {
    const Micros period = 2s;
    events_.At(std::max(events_.now() + period, node.paused_until),
               [this, &node] { Round(node); });
    if (!node.alive || events_.now() < node.paused_until ||
        node.config_version == 0 || node.in_round) {
      return;
    }
    const ReadQuery query = node.budget.BeginRound(events_.now());
    AfterChange(node);
    node.bytes += kHttpBytes;
    if (!Reaches(node)) {
      return;
    }
    node.in_round = true;
    ++figures_.table_reads;
    const std::vector<Row> rows = table_.Read(query);
    const auto bytes = ReadBytes(query, rows);
    node.bytes += bytes;
    figures_.table_bytes += bytes;
    events_.After(kTableDelay, [this, &node, rows] {
      Guard(node, [=, this, &node] {
        const Transaction write = node.budget.OnRows(events_.now(), rows);
        AfterChange(node);
        if (write.writes.empty()) {
          node.in_round = false;
        } else {
          Write(node, write);
        }
      });
    });
  }
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::Write(Node& node, const Transaction& transaction) {
  if constexpr (kEscrow) {
    events_.After(kTableDelay, [this, &node, transaction] {
      std::optional<Commit> outcome;
      Micros delay = kAnswerTime;
      if (Reaches(node)) {
        ++figures_.table_writes;
        const Commit commit = table_.Apply(transaction);
        const auto bytes = WriteBytes(transaction);
        node.bytes += bytes;
        figures_.table_bytes += bytes;
        const bool lost =
            shape_.lost_answers > 0 && InFault() &&
            random_.OneIn(static_cast<std::uint64_t>(shape_.lost_answers));
        if (!lost) {
          outcome = commit;
          delay = kTableDelay;
        }
      }
      events_.After(delay, [this, &node, outcome] {
        Guard(node, [=, this, &node] {
          node.in_round = false;
          node.budget.OnCommit(events_.now(), outcome);
          CheckSums();
          Look(node);
        });
      });
    });
  }
}

template <BudgetScheme Budget>
void BudgetSim<Budget>::Send(Node& from, const BudgetMessage& message) {
  if constexpr (kEscrow) {
    peer::Envelope envelope;
    ToEnvelope(message, envelope);
    const auto bytes =
        static_cast<std::int64_t>(envelope.ByteSizeLong()) + kEnvelopeBytes;
    ++figures_.peer_messages;
    figures_.peer_bytes += bytes;
    from.bytes += bytes;
    const auto index =
        static_cast<std::size_t>(std::stoi(message.peer.substr(1)) - 1000);
    Node& to = *nodes_[index];
    if (random_.OneIn(kLostMessages)) {
      return;
    }
    events_.After(kPeerDelay, [this, &to, message, bytes, sender = from.name] {
      to.bytes += bytes;
      Guard(to, [=, this, &to] {
        std::visit(
            [&](const auto& body) {
              to.budget.OnMessage(events_.now(), sender, body);
            },
            message.body);
        Look(to);
      });
    });
  }
}

// No workspace's shares, over all instances, ever exceed the whole.
template <BudgetScheme Budget>
void BudgetSim<Budget>::CheckSums() {
  if constexpr (kEscrow) {
    for (const auto& workspace : config_->workspaces) {
      std::int64_t sum = 0;
      for (const auto& node : nodes_) {
        sum += node->alive
                   ? node->budget.UsableUnits(events_.now(), workspace.name)
                   : 0;
      }
      figures_.largest_sum = std::max(figures_.largest_sum, sum);
      CheckInvariant(sum <= kTotalUnits,
                     "the shares of all instances are at most the whole");
    }
  }
}

template class BudgetSim<EscrowBudget>;
template class BudgetSim<EqualSplit>;

BudgetFigures RunBudgets(const BudgetRun& run,
                         const BudgetCase& shape,
                         BudgetWay way) {
  if (way == BudgetWay::kEqualSplit) {
    return BudgetSim<EqualSplit>(run, shape, way).Run();
  }
  return BudgetSim<EscrowBudget>(run, shape, way).Run();
}

}  // namespace jackdaw
