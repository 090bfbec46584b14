#include "replay/refusal_run.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/digest.h"
#include "core/random.h"
#include "core/signature.h"
#include "record/copy_exchange.h"
#include "record/copy_keeper.h"
#include "record/refusal_buffer.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Micros kTick = 20ms;
// Ticks from a message's sending to its arrival.
constexpr std::int64_t kTransitTicks = 1;
// Time after a crash until the platform's list shows the successor.
constexpr Micros kListLag = 5s;
// Time at the end of a run in which nothing fails and nobody is refused.
constexpr Micros kSettleTime = 90s;
constexpr std::size_t kMaxBytes = 8 * 1024 * 1024;
// Sender, incarnation, stamp, body tags and the frame of ZeroMQ and TCP.
constexpr std::size_t kEnvelopeBytes = 64;

struct Node {
  Node(RecordOwner given, Instant now)
      : owner(std::move(given)),
        buffer(owner, kMaxBytes, now),
        keeper(kMaxBytes) {}
  RecordOwner owner;
  RefusalBuffer buffer;
  CopyKeeper keeper;
  Instant next_recovery{};
  Instant reachable_since = Instant::max();
  std::uint64_t told_stored = 0;
};

struct Message {
  std::string from;
  std::string to;
  std::uint64_t incarnation = 0;
  bool is_copy = false;
  bool is_stored = false;
  CopyPiece copy;
  bool store_reachable = true;
  HeldState held;
};

class Run {
 public:
  explicit Run(const RefusalRunShape& shape)
      : shape_(shape), random_(shape.seed), clock_(kStart) {
    for (int i = 0; i < shape.instances; ++i) {
      InstanceEntry entry;
      entry.name = "entry-" + std::to_string(i);
      entry.failure_domain =
          "domain-" + std::to_string(i % shape.failure_domains);
      entry.incarnation = 1;
      view_.instances.push_back(entry);
      nodes_.push_back(
          std::make_unique<Node>(RecordOwner{entry.name, 1}, clock_.Now()));
    }
    ChooseKeepers();
  }

  RefusalRunResult Go() {
    const Instant end = kStart + Micros(1s) * shape_.seconds;
    Instant next_crash = shape_.crashes == 0
                             ? Instant::max()
                             : kStart + (end - kStart) / (shape_.crashes + 1);
    while (clock_.Now() < end + kSettleTime) {
      clock_.Advance(kTick);
      const Instant now = clock_.Now();
      if (now < end) {
        Refuse(now);
        if (now >= next_crash) {
          Crash(now);
          next_crash += (end - kStart) / (shape_.crashes + 1);
        }
      }
      Relist(now);
      Deliver(now);
      for (auto& node : nodes_) {
        Step(now, *node);
      }
    }
    return Judge(end + kSettleTime - kStart);
  }

 private:
  bool Up(Instant now) const {
    return now < kStart + Micros(1s) * shape_.outage_from_s ||
           now >= kStart + Micros(1s) * shape_.outage_to_s;
  }

  void ChooseKeepers() {
    keeper_.clear();
    for (const auto& entry : view_.instances) {
      keeper_[entry.name] =
          ChooseKeeper(view_, entry.name, entry.failure_domain);
    }
  }

  void Refuse(Instant now) {
    due_ += shape_.refusals_per_second * 0.02;
    for (; due_ >= 1; due_ -= 1) {
      Node& node = *nodes_[random_.Below(nodes_.size())];
      RefusalRecord record;
      record.when = now;
      record.request_id =
          node.owner.instance + "-6f3a-" + std::to_string(++result_.refused);
      record.workspace = "recife-schools";
      record.key_digest = std::string(64, 'a');
      record.instance = node.owner.instance;
      record.kind = RefusalKind::kOverRate;
      record.ran = Ran::kNo;
      record.reason =
          "280 tokens asked, workspace 'recife-schools' has fewer left";
      record.config_version = 1234;
      node.buffer.Add(now, record);
      refused_.insert(record.request_id);
      made_by_[record.request_id] = node.owner;
    }
  }

  void Crash(Instant now) {
    const std::size_t i = random_.Below(nodes_.size());
    RecordOwner next = nodes_[i]->owner;
    ended_.insert(next);
    ++next.incarnation;
    nodes_[i] = std::make_unique<Node>(next, now);
    relist_.push_back({now + kListLag, i});
  }

  void Relist(Instant now) {
    bool changed = false;
    for (auto& [at, i] : relist_) {
      if (at <= now &&
          view_.instances[i].incarnation != nodes_[i]->owner.incarnation) {
        view_.instances[i].incarnation = nodes_[i]->owner.incarnation;
        changed = true;
      }
    }
    if (changed) {
      ChooseKeepers();
    }
  }

  void Send(Instant now, Message message, std::size_t bytes) {
    ++messages_;
    message_bytes_ += bytes + kEnvelopeBytes;
    if (shape_.lose_message_one_in == 0 ||
        !random_.OneIn(shape_.lose_message_one_in)) {
      in_flight_.emplace(now + kTick * kTransitTicks, std::move(message));
    }
  }

  void Deliver(Instant now) {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
      const Message message = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      for (auto& node : nodes_) {
        if (node->owner.instance != message.to) {
          continue;
        }
        if (message.is_stored) {
          node->keeper.OnStored(now, {message.from, message.incarnation},
                                message.held.stored_through);
        } else if (message.is_copy) {
          Message answer;
          answer.from = message.to;
          answer.to = message.from;
          answer.incarnation = message.incarnation;
          answer.held = node->keeper.OnCopy(
              now, {message.from, message.incarnation}, message.copy.first,
              message.copy.records, message.copy.stored_through,
              message.store_reachable);
          Send(now, std::move(answer), 12);
        } else if (message.incarnation == node->owner.incarnation) {
          node->buffer.OnHeld(message.from, message.held.held_through,
                              message.held.stored_through);
        }
      }
    }
  }

  // Creates an object or finds it there. @returns the number of its last
  // record, or 0 when the answer did not come
  std::uint64_t Put(Instant now, const LineBatch& batch) {
    ++result_.puts;
    ++puts_in_[(now - kStart) / Micros(1s)];
    if (!Up(now)) {
      return 0;
    }
    const auto [object, is_new] = objects_.emplace(batch.name, batch.bytes);
    if (shape_.lose_put_answer_one_in != 0 &&
        random_.OneIn(shape_.lose_put_answer_one_in)) {
      return 0;
    }
    return is_new ? batch.last : LastNumber(object->second);
  }

  void Step(Instant now, Node& node) {
    const std::string& peer = keeper_[node.owner.instance];
    if (auto piece = node.buffer.NextCopy(now, peer); piece) {
      Message message;
      message.from = node.owner.instance;
      message.to = peer;
      message.incarnation = node.owner.incarnation;
      message.is_copy = true;
      message.store_reachable = Up(now);
      message.copy = std::move(*piece);
      const std::size_t bytes = message.copy.records.size();
      Send(now, std::move(message), bytes);
    }
    if (const auto batch = node.buffer.NextBatch(now, nodes_.size()); batch) {
      if (const std::uint64_t last = Put(now, *batch); last > 0) {
        node.buffer.OnStored(std::min(last, node.buffer.last()));
      }
    }
    result_.peak_buffer_bytes = std::max<std::uint64_t>(
        result_.peak_buffer_bytes, node.buffer.bytes() + node.keeper.bytes());
    TellStored(now, node, peer);
    Recover(now, node);
  }

  void TellStored(Instant now, Node& node, const std::string& peer) {
    if (node.buffer.stored_through() > node.told_stored) {
      node.told_stored = node.buffer.stored_through();
      Message message;
      message.from = node.owner.instance;
      message.to = peer;
      message.incarnation = node.owner.incarnation;
      message.is_stored = true;
      message.held.stored_through = node.told_stored;
      Send(now, std::move(message), 8);
    }
  }

  void Recover(Instant now, Node& node) {
    if (!Up(now)) {
      node.reachable_since = Instant::max();
      return;
    }
    node.reachable_since = std::min(node.reachable_since, now);
    if (now < node.next_recovery) {
      return;
    }
    const Micros interval = PutInterval(nodes_.size());
    node.next_recovery =
        now + (node.next_recovery == Instant{}
                   ? Micros(static_cast<std::int64_t>(random_.Below(
                         static_cast<std::uint64_t>(interval.count()))))
                   : interval);
    const auto recovery = node.keeper.NextRecovery(now, node.reachable_since);
    if (recovery) {
      if (const std::uint64_t last = Put(now, recovery->batch); last > 0) {
        node.keeper.OnStored(Instant{}, recovery->owner, last);
      }
    }
  }

  RefusalRunResult Judge(Micros span) {
    std::map<std::string, int> found;
    Signature signature;
    std::uint64_t bytes = 0;
    for (const auto& [name, object] : objects_) {
      signature.Add(name);
      signature.Add(object);
      bytes += object.size();
      std::size_t at = 0;
      while ((at = object.find("\"request_id\":\"", at)) != std::string::npos) {
        at += 14;
        ++found[object.substr(at, object.find('"', at) - at)];
      }
    }
    for (const auto& id : refused_) {
      const int copies = found[id];
      result_.stored += copies > 0 ? 1 : 0;
      result_.doubled += copies > 1 ? 1 : 0;
      result_.missing += copies == 0 ? 1 : 0;
      // An ended incarnation has an end mark that says so.
      result_.missing_told +=
          copies == 0 && ended_.contains(made_by_[id]) ? 1 : 0;
    }
    const double seconds = static_cast<double>(span.count()) / 1e6;
    const double node_seconds = seconds * static_cast<double>(nodes_.size());
    result_.puts_per_second = static_cast<double>(result_.puts) / seconds;
    for (const auto& [second, puts] : puts_in_) {
      result_.peak_puts_per_second =
          std::max(result_.peak_puts_per_second, puts);
    }
    result_.stored_bytes_per_second = static_cast<double>(bytes) / seconds;
    result_.copy_messages_per_node_second =
        2 * static_cast<double>(messages_) / node_seconds;
    result_.copy_bytes_per_node_second =
        2 * static_cast<double>(message_bytes_) / node_seconds;
    result_.signature = signature.Short();
    return result_;
  }

  RefusalRunShape shape_;
  Random random_;
  VirtualClock clock_;
  FleetView view_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::string> keeper_;
  std::multimap<Instant, Message> in_flight_;
  std::map<std::string, std::string> objects_;
  std::vector<std::pair<Instant, std::size_t>> relist_;
  std::set<RecordOwner> ended_;
  std::set<std::string> refused_;
  std::map<std::string, RecordOwner> made_by_;
  std::map<std::int64_t, std::uint64_t> puts_in_;
  RefusalRunResult result_;
  double due_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t message_bytes_ = 0;
};

}  // namespace

RefusalRunResult RunRefusals(const RefusalRunShape& shape) {
  return Run(shape).Go();
}

}  // namespace jackdaw
