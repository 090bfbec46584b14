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
#include "record/refusal_buffer.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{Micros(1'700'000'000'000'000)};
constexpr Micros kTick = 20ms;
// Time at the end of a run in which nothing fails and nobody is refused.
constexpr Micros kSettleTime = 90s;
constexpr std::size_t kMaxBytes = 8UL * 1024 * 1024;
struct Node {
  Node(RecordOwner given, Instant now)
      : owner(std::move(given)), buffer(owner, kMaxBytes, now) {}
  RecordOwner owner;
  RefusalBuffer buffer;
};

class Run {
 public:
  explicit Run(const RefusalRunShape& shape)
      : shape_(shape), random_(shape.seed), clock_(kStart) {
    for (int i = 0; i < shape.instances; ++i) {
      nodes_.push_back(std::make_unique<Node>(
          RecordOwner{"entry-" + std::to_string(i), 1}, clock_.Now()));
    }
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
    if (const auto batch = node.buffer.NextBatch(now, nodes_.size()); batch) {
      if (const std::uint64_t last = Put(now, *batch); last > 0) {
        node.buffer.OnStored(std::min(last, node.buffer.last()));
      }
    }
    result_.peak_buffer_bytes =
        std::max<std::uint64_t>(result_.peak_buffer_bytes, node.buffer.bytes());
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
    result_.puts_per_second = static_cast<double>(result_.puts) / seconds;
    for (const auto& [second, puts] : puts_in_) {
      result_.peak_puts_per_second =
          std::max(result_.peak_puts_per_second, puts);
    }
    result_.stored_bytes_per_second = static_cast<double>(bytes) / seconds;
    result_.signature = signature.Short();
    return result_;
  }

  RefusalRunShape shape_;
  Random random_;
  VirtualClock clock_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::string> objects_;
  std::set<RecordOwner> ended_;
  std::set<std::string> refused_;
  std::map<std::string, RecordOwner> made_by_;
  std::map<std::int64_t, std::uint64_t> puts_in_;
  RefusalRunResult result_;
  double due_ = 0;
};

}  // namespace

RefusalRunResult RunRefusals(const RefusalRunShape& shape) {
  return Run(shape).Go();
}

}  // namespace jackdaw
