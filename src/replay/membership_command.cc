#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "membership/membership.h"
#include "proto/peer.pb.h"
#include "replay/command.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Micros kTick = 10ms;
constexpr Micros kRound = 500ms;
constexpr Micros kTransit = 10ms;
// Frame of ZeroMQ and headers of TCP and IP for one message.
constexpr std::size_t kFrameBytes = 54;
constexpr std::uint64_t kLoseOneIn = 100;
constexpr Micros kSpan = 120s;

struct Node {
  Node(std::string given, Instant phase)
      : name(std::move(given)), members(name, 1), next_round(phase) {}
  std::string name;
  Membership members;
  std::uint64_t version = 1;
  Instant next_round;
  Instant next_read;
  bool alive = true;
  bool cut = false;
};

struct Message {
  std::size_t to = 0;
  peer::Envelope envelope;
};

// The messages of a fleet of instances under a virtual clock: heartbeats with
// news, and relayed configurations.
class FleetRun {
 public:
  FleetRun(int count, bool cut_third)
      : random_(static_cast<std::uint64_t>(count)), clock_(kStart) {
    for (int i = 0; i < count; ++i) {
      InstanceEntry entry;
      entry.name = "entry-" + std::to_string(1000 + i);
      entry.incarnation = 1;
      list_.push_back(entry);
      const auto phase = Micros(static_cast<std::int64_t>(
          random_.Below(static_cast<std::uint64_t>(kRound.count()))));
      nodes_.push_back(std::make_unique<Node>(entry.name, kStart + phase));
      Node& node = *nodes_.back();
      node.next_read = kStart + phase;
      node.cut = cut_third && i % 3 == 0;
      index_[entry.name] = static_cast<std::size_t>(i);
    }
    for (auto& node : nodes_) {
      node->members.OnList(kStart, list_);
    }
  }

  json::object Go() {
    const Instant change_at = kStart + 40s;
    const Instant crash_at = kStart + 80s;
    Instant all_changed{};
    Instant all_know{};
    while (clock_.Now() < kStart + kSpan) {
      clock_.Advance(kTick);
      const Instant now = clock_.Now();
      if (now == change_at) {
        store_version_ = 2;
      }
      if (now == crash_at) {
        nodes_[1]->alive = false;
      }
      Deliver(now);
      for (auto& node : nodes_) {
        if (node->alive) {
          Step(now, *node);
        }
      }
      if (now >= change_at && all_changed == Instant{} && AllChanged()) {
        all_changed = now;
      }
      if (now >= crash_at && all_know == Instant{} && AllKnow()) {
        all_know = now;
      }
    }
    const double node_seconds =
        static_cast<double>(nodes_.size()) * static_cast<double>(kSpan / 1s);
    const auto took = [](Instant at, Instant since) -> json::value {
      return at == Instant{} ? json::value()
                             : json::value((at - since) / Micros(1ms));
    };
    return {{"instances", nodes_.size()},
            {"bytes_per_node_second",
             2 * static_cast<double>(bytes_) / node_seconds},
            {"messages_per_node_second",
             2 * static_cast<double>(messages_) / node_seconds},
            {"change_in_force_everywhere_ms", took(all_changed, change_at)},
            {"dead_known_everywhere_ms", took(all_know, crash_at)},
            {"wrong_suspicions", wrong_suspicions_}};
  }

 private:
  void Send(Instant now,
            const Node& from,
            std::string_view to,
            peer::Envelope envelope) {
    envelope.set_sender(from.name);
    envelope.set_incarnation(1);
    envelope.set_hlc(1'700'000'000'000ULL << 16U);
    ++messages_;
    bytes_ += envelope.ByteSizeLong() + kFrameBytes;
    const auto found = index_.find(to);
    if (!random_.OneIn(kLoseOneIn) && found != index_.end()) {
      in_flight_.emplace(now + kTransit,
                         Message{found->second, std::move(envelope)});
    }
  }

  void Step(Instant now, Node& node) {
    if (now >= node.next_read) {
      node.next_read = now + kRound;
      if (!node.cut) {
        SetVersion(node, store_version_);
      }
    }
    if (now < node.next_round) {
      return;
    }
    node.next_round = now + kRound;
    const auto peers = node.members.NextRound(now);
    peer::Envelope envelope;
    auto& heartbeat = *envelope.mutable_heartbeat();
    heartbeat.set_config_version(node.version);
    heartbeat.set_store_reachable(!node.cut);
    heartbeat.set_requests_in_flight(24);
    heartbeat.set_beat(node.members.beat());
    for (const auto& rumor : node.members.UpdatesToSend()) {
      auto& news = *heartbeat.add_news();
      news.set_name(rumor.name);
      news.set_incarnation(rumor.incarnation);
      news.set_suspect(rumor.suspect);
      news.set_beat(rumor.beat);
    }
    for (const auto& peer : peers) {
      Send(now, node, peer, envelope);
    }
  }

  static void SetVersion(Node& node, std::uint64_t version) {
    node.version = std::max(node.version, version);
  }

  void Deliver(Instant now) {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
      const Message message = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      if (nodes_[message.to]->alive) {
        Receive(now, *nodes_[message.to], message.envelope);
      }
    }
  }

  void Receive(Instant now, Node& node, const peer::Envelope& envelope) {
    if (envelope.has_heartbeat()) {
      const auto& heartbeat = envelope.heartbeat();
      node.members.OnHeartbeat(now, envelope.sender(), 1, false,
                               heartbeat.beat());
      for (const auto& news : heartbeat.news()) {
        node.members.OnUpdate(now, {news.name(), news.incarnation(),
                                    news.suspect(), news.beat()});
        const bool dead = !nodes_[index_.find(news.name())->second]->alive;
        wrong_suspicions_ += news.suspect() && !dead ? 1 : 0;
      }
      Ask(now, node, envelope.sender(), heartbeat.config_version());
    } else if (envelope.has_config_request()) {
      peer::Envelope answer;
      answer.mutable_config_reply()->set_version(node.version);
      Send(now, node, envelope.sender(), std::move(answer));
    } else if (envelope.has_config_reply()) {
      SetVersion(node, envelope.config_reply().version());
    }
  }

  void Ask(Instant now,
           const Node& node,
           const std::string& peer,
           std::uint64_t version) {
    if (version > node.version) {
      peer::Envelope request;
      request.mutable_config_request()->set_have_version(node.version);
      Send(now, node, peer, std::move(request));
    }
  }

  bool AllChanged() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& node) {
      return !node->alive || node->version == 2;
    });
  }

  bool AllKnow() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return !node->alive || !node->members.IsOffered(nodes_[1]->name);
    });
  }

  Random random_;
  VirtualClock clock_;
  std::vector<InstanceEntry> list_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::size_t, std::less<>> index_;
  std::multimap<Instant, Message> in_flight_;
  std::uint64_t store_version_ = 1;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t wrong_suspicions_ = 0;
};

}  // namespace

// Cost of membership and time until a change and a death are known, with the
// store up and with a third of the instances cut from it.
int MembershipCommand(std::span<const std::string> /*arguments*/) {
  for (const bool cut_third : {false, true}) {
    for (const int count : {8, 64, 370}) {
      json::object row = FleetRun(count, cut_third).Go();
      row["cut_from_store"] = cut_third ? "a third" : "none";
      std::cout << json::serialize(row) << "\n";
    }
  }
  return 0;
}

}  // namespace jackdaw
