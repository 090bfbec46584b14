#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>

#include "replay/budgets/event_queue.h"
#include "replay/quotas/quota_auditor.h"
#include "replay/quotas/quota_case.h"
#include "replay/quotas/quota_leader.h"
#include "replay/quotas/quota_load.h"

namespace jackdaw {
namespace {

using serving::ChargeOutcome;
using serving::QuotaLevel;

constexpr Instant kBegin{Micros(1'700'000'000'000'000)};
constexpr Micros kWindow = 8s;
constexpr serving::QuotaTolerance kTolerance{0.1, 11'000};
// Fractions of the tolerance that a bucket uses, as the instances do.
constexpr double kUsed = 0.7;
constexpr std::size_t kFailureDomains = 5;
constexpr Micros kPlanInterval = 900ms;
constexpr Micros kCheckInterval = 100ms;
constexpr Micros kInDomainDelay = 300us;
constexpr Micros kCrossDomainDelay = 3200us;
// One datagram in so many is lost.
constexpr std::uint64_t kLossOneIn = 1000;
// Bytes of the headers of a datagram, and of the three kinds of messages.
constexpr std::int64_t kHeaderBytes = 28;
constexpr std::int64_t kRequestBytes = 28;
constexpr std::int64_t kGrantBytes = 36;
constexpr std::int64_t kReturnBytes = 26;
constexpr Micros kMaxGrantAge = 1s;
// Requests that wait at an instance that stood still, and come in at once when
// it goes on.
constexpr int kRequestsAfterPause = 60;

Micros Scaled(Micros span, double factor) {
  return Micros(
      static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

// A bucket for a fraction of a quota.
struct Bucket {
  double rate = 0;
  double capacity = 0;
  double balance = 0;
  double spent_per_s = 0;
  Instant at = kBegin;

  void Resize(double quota, double fraction, Instant now) {
    Refill(now);
    rate = fraction * quota * (1 + kUsed * kTolerance.overshoot);
    capacity = fraction * (quota * (1 + kUsed * kTolerance.overshoot) +
                           kUsed * kTolerance.slack);
    balance = std::min(balance, capacity);
  }
  void Refill(Instant now) {
    const double span = std::chrono::duration<double>(now - at).count();
    at = now;
    spent_per_s *= std::exp(-span);
    balance = std::min(capacity, balance + span * rate);
  }
  bool Spend(double units, Instant now) {
    Refill(now);
    if (balance < units) {
      return false;
    }
    balance -= units;
    spent_per_s += units;
    return true;
  }
};

class QuotaSim {
 public:
  QuotaSim(const QuotaRun& run, const QuotaCase& shape, QuotaWay way)
      : run_(run),
        shape_(shape),
        way_(way),
        load_(run),
        random_(run.seed),
        queue_(kBegin),
        auditor_(kTolerance, kWindow) {
    for (std::size_t i = 0; i < run.instances; ++i) {
      nodes_.push_back(std::make_unique<QuotaNode>("edge-" + std::to_string(i),
                                                   kTolerance, random_.Next()));
      nodes_.back()->failure_domain = i % kFailureDomains;
      equal_.emplace_back(load_.workspaces());
    }
    central_.resize(load_.workspaces());
    wrongful_.resize(load_.workspaces());
    wrongful_largest_.resize(load_.workspaces());
    SetQuotas(1);
  }

  QuotaFigures Run() {
    for (auto& node : nodes_) {
      if (way_ == QuotaWay::kIgnoresLapse) {
        node->quotas.ExtendUntil(Instant::max(), kBegin);
      }
      queue_.After(Below(HeartbeatInterval()),
                   [this, &node] { Heartbeat(*node); });
    }
    Repeat(kPlanInterval, [this] { leader_.Plan(queue_.now()); });
    Repeat(kCheckInterval, [this] { CheckParts(); });
    const Instant requests_from = kBegin + run_.start;
    const Instant fault_from = requests_from + run_.warm_up;
    queue_.At(requests_from, [this] { Arrive(); });
    queue_.At(fault_from, [this] {
      in_fault_ = true;
      BeginFault();
    });
    queue_.RunUntil(fault_from + run_.fault);
    return Figures();
  }

 private:
  Micros HeartbeatInterval() const {
    constexpr Micros kPerMember = 10ms;
    return std::clamp<Micros>(
        kPerMember * static_cast<std::int64_t>(run_.instances), 400ms, 1s);
  }
  Micros Below(Micros span) {
    return Micros(static_cast<std::int64_t>(
        random_.Below(static_cast<std::uint64_t>(span.count()))));
  }
  void Repeat(Micros interval, std::function<void()> action) {
    queue_.After(interval, [this, interval, action = std::move(action)] {
      action();
      Repeat(interval, action);
    });
  }

  // Runs an action of a process now, when it goes on, or not if it has ended.
  void InProcess(QuotaNode& node, int boot, std::function<void()> action) {
    if (!node.up || node.boot != boot) {
      return;
    }
    if (queue_.now() < node.paused_until) {
      queue_.At(node.paused_until,
                [this, &node, boot, action = std::move(action)] {
                  InProcess(node, boot, action);
                });
      return;
    }
    action();
  }

  // Fleet ---------------------------------------------------------------

  void SetQuotas(double factor) {
    serving::ServingConfig config;
    const Instant now = queue_.now();
    for (std::size_t w = 0; w < load_.workspaces(); ++w) {
      const double rate = factor * load_.RateOf(w);
      serving::Workspace workspace;
      workspace.name = QuotaLoad::NameOf(w);
      workspace.rate = rate;
      workspace.burst = rate;
      config.workspaces.push_back(workspace);
      central_[w].Resize(rate, 1, now);
      auditor_.SetQuota(w, rate, rate, now);
      for (auto& buckets : equal_) {
        buckets[w].Resize(rate, 1.0 / static_cast<double>(run_.instances), now);
      }
    }
    for (auto& node : nodes_) {
      node->quotas.OnConfig(config, now);
    }
    config_ = std::move(config);
  }

  serving::Member Statement(const QuotaNode& node) const {
    serving::Member member;
    member.name = node.name;
    member.boot_id = "b" + std::to_string(node.boot);
    member.heartbeat_number = node.heartbeats;
    member.state = node.draining ? serving::MemberState::kDraining
                                 : serving::MemberState::kReady;
    member.parts_epoch = node.quotas.epoch();
    member.parts = node.quotas.parts();
    return member;
  }

  // A round of heartbeats of one process.
  void Heartbeat(QuotaNode& node) {
    const int boot = node.boot;
    InProcess(node, boot, [this, &node, boot] {
      ++node.heartbeats;
      node.quotas.DropIfLapsed(queue_.now());
      if (!node.cut_from_leader && node.partition == 0) {
        const Instant sent_at = queue_.now();
        queue_.After(kCrossDomainDelay, [this, &node, boot, sent_at,
                                         statement = Statement(node)] {
          const auto reply = leader_.OnHeartbeat(statement, queue_.now());
          queue_.After(kCrossDomainDelay, [this, &node, boot, sent_at, reply] {
            InProcess(node, boot, [this, &node, sent_at, reply] {
              OnReply(node, sent_at, reply);
            });
          });
        });
      }
      queue_.After(HeartbeatInterval(), [this, &node, boot] {
        if (node.boot == boot) {
          Heartbeat(node);
        }
      });
    });
  }

  void OnReply(QuotaNode& node,
               Instant sent_at,
               const QuotaLeader::Reply& reply) {
    const Instant now = queue_.now();
    node.quotas.ExtendUntil(sent_at + serving::kPartsLapseTimeout, now);
    if (reply.grant && now - sent_at <= kMaxGrantAge) {
      node.quotas.SetParts(reply.grant->parts, reply.grant->epoch, now);
    }
    node.broker->SetMembers(reply.members);
  }

  void CheckParts() {
    serving::PartSet held;
    for (auto& node : nodes_) {
      if (!node->up) {
        continue;
      }
      node->quotas.DropIfLapsed(queue_.now());
      figures_.double_held += (held & node->quotas.parts()).any() ? 1 : 0;
      held |= node->quotas.parts();
    }
  }

  // Faults --------------------------------------------------------------

  void BeginFault() {
    constexpr Micros kPause = 5s;
    constexpr Micros kLongPause = 32s;
    constexpr std::size_t kLostTables = 2;
    QuotaNode& first = HolderOfLargest();
    switch (shape_.fault) {
      case QuotaFault::kNone:
        break;
      case QuotaFault::kLost:
        first.up = false;
        break;
      case QuotaFault::kPaused:
        Pause(first, kPause);
        break;
      case QuotaFault::kPausedLong:
        Pause(first, kLongPause);
        break;
      case QuotaFault::kCutFromLeader:
        first.cut_from_leader = true;
        break;
      case QuotaFault::kPartition:
        for (std::size_t i = 0; i < nodes_.size(); i += 3) {
          nodes_[i]->partition = 1;
        }
        break;
      case QuotaFault::kLowered:
        SetQuotas(0.5);
        break;
      case QuotaFault::kRestored:
        leader_.Restore(kLostTables, queue_.now());
        break;
      case QuotaFault::kRestarted:
        for (auto& node : nodes_) {
          Restart(*node, 2s);
        }
        break;
      case QuotaFault::kRolling:
        Roll(0);
        break;
    }
  }

  // Returns a holder of the largest workspace.
  QuotaNode& HolderOfLargest() {
    std::vector<std::string> names;
    for (const auto& node : nodes_) {
      names.push_back(node->name);
    }
    const std::size_t pool = serving::PoolOf(QuotaLoad::NameOf(0));
    return *nodes_[serving::RankHolders(pool, names).front()];
  }

  void Pause(QuotaNode& node, Micros span) {
    node.paused_until = queue_.now() + span;
    queue_.At(node.paused_until, [this, &node] {
      for (int i = 0; i < kRequestsAfterPause; ++i) {
        OnRequest(node, load_.Next(random_, Surge()));
      }
    });
  }

  void Restart(QuotaNode& node, Micros down) {
    node.up = false;
    queue_.After(down, [this, &node] {
      ++node.boot;
      node.up = true;
      node.draining = false;
      node.heartbeats = 0;
      node.quotas = serving::LocalQuotas(kTolerance);
      node.quotas.OnConfig(config_, queue_.now());
      node.broker.emplace(node.quotas, node.name, random_.Next());
      node.loans = {};
      node.ahead.clear();
      for (Bucket& bucket : equal_[IndexOf(node)]) {
        bucket.balance = 0;
      }
      Heartbeat(node);
    });
  }

  void Roll(std::size_t i) {
    constexpr Micros kDrain = 3s;
    static constexpr Micros kDown = 1s;
    if (i >= nodes_.size()) {
      return;
    }
    QuotaNode& node = *nodes_[i];
    node.draining = true;
    queue_.After(kDrain, [this, &node] { Restart(node, kDown); });
    queue_.After(kDrain / 2, [this, i] { Roll(i + 1); });
  }

  // Load ----------------------------------------------------------------

  double Surge() const { return in_fault_ ? shape_.surge : 1; }

  // Chooses the instance of the next request; null if none takes requests.
  QuotaNode* ChooseNode() {
    constexpr int kTries = 100;
    for (int i = 0; i < kTries; ++i) {
      const bool skewed = random_.Unit() < shape_.skew;
      const std::size_t count =
          skewed ? std::max<std::size_t>(1, nodes_.size() / 10) : nodes_.size();
      QuotaNode& node = *nodes_[random_.Below(count)];
      if (node.up && !node.draining && queue_.now() >= node.paused_until) {
        return &node;
      }
    }
    return nullptr;
  }

  void Arrive() {
    const double rate = run_.requests_per_s * load_.RateFactor(Surge());
    queue_.After(Scaled(1s, -std::log(1 - random_.Unit()) / rate),
                 [this] { Arrive(); });
    if (QuotaNode* node = ChooseNode()) {
      OnRequest(*node, load_.Next(random_, Surge()));
    }
  }

  void OnRequest(QuotaNode& node, const QuotaRequest& request) {
    const Instant now = queue_.now();
    const bool is_largest = request.units >= load_.largest_from();
    ++figures_.requests;
    figures_.largest += is_largest ? 1 : 0;
    if (!central_[request.workspace].Spend(request.units, now)) {
      Count(request, -1);
    }
    if (way_ == QuotaWay::kEqualParts) {
      ChargeEqual(node, request);
    } else {
      ChargeHeld(node, request);
    }
  }

  void Count(const QuotaRequest& request, std::int64_t refused) {
    wrongful_[request.workspace] += refused;
    if (request.units >= load_.largest_from()) {
      wrongful_largest_[request.workspace] += refused;
    }
  }

  void Decide(const QuotaRequest& request, bool granted, Instant since) {
    if (granted) {
      auditor_.OnRun(request.workspace, request.units, queue_.now());
      waits_.push_back(queue_.now() - since);
    } else {
      ++figures_.refused;
      Count(request, 1);
    }
  }

  // Held parts ----------------------------------------------------------

  void ChargeHeld(QuotaNode& node, const QuotaRequest& request) {
    const Instant now = queue_.now();
    const std::string workspace = QuotaLoad::NameOf(request.workspace);
    double units = request.units;
    if (way_ == QuotaWay::kHeldPartsAhead) {
      QuotaNode::Ahead& ahead = node.ahead[workspace];
      const double span =
          std::chrono::duration<double>(now - ahead.averaged_at).count();
      ahead.averaged_at = now;
      ahead.demand_per_s =
          ahead.demand_per_s * std::exp(-span / 2) + request.units / 2;
      if (now <= ahead.usable_until && ahead.units >= units) {
        ahead.units -= units;
        Decide(request, true, now);
        return;
      }
      units += ahead.demand_per_s;
    }
    Charge(node, request, workspace, units, now);
  }

  void Charge(QuotaNode& node,
              const QuotaRequest& request,
              const std::string& workspace,
              double units,
              Instant since) {
    const std::uint64_t ticket =
        node.broker->Charge(workspace, units, queue_.now());
    waiting_[{&node, ticket}] = [this, &node, request, workspace, units,
                                 since](const ChargeOutcome& outcome) {
      if (!outcome.granted && units > request.units) {
        Charge(node, request, workspace, request.units, since);
        return;
      }
      if (outcome.granted && units > request.units) {
        node.ahead[workspace].units = units - request.units;
        node.ahead[workspace].usable_until = queue_.now() + 1s;
      }
      Decide(request, outcome.granted, since);
    };
    Perform(node);
  }

  void Perform(QuotaNode& node) {
    const int boot = node.boot;
    for (;;) {
      auto actions = node.broker->TakeActions();
      for (const auto& request : actions.requests) {
        Send(node, request.holder, kRequestBytes,
             [this, &node, request](QuotaNode& holder) {
               Lend(holder, node, request);
             });
      }
      for (const auto& units : actions.returns) {
        Send(node, units.holder, kReturnBytes,
             [this, &node, units](QuotaNode& holder) {
               const serving::Loan loan = holder.loans.Return(
                   {node.name, units.id}, units.return_id, units.units);
               holder.quotas.Refund(loan.workspace, loan.units, loan.lent_at,
                                    queue_.now());
             });
      }
      if (actions.decisions.empty()) {
        break;
      }
      for (const auto& decision : actions.decisions) {
        const auto found = waiting_.find({&node, decision.ticket});
        if (found != waiting_.end()) {
          const auto done = std::move(found->second);
          waiting_.erase(found);
          done(decision.outcome);
        }
      }
    }
    const Instant timeout = node.broker->NextTimeout();
    if (timeout != Instant::max()) {
      queue_.At(std::max(timeout, queue_.now()), [this, &node, boot] {
        InProcess(node, boot, [this, &node] {
          if (node.broker->NextTimeout() <= queue_.now()) {
            node.broker->OnTime(queue_.now());
            Perform(node);
          }
        });
      });
    }
  }

  void Lend(QuotaNode& holder,
            QuotaNode& borrower,
            const serving::UnitsRequest& request) {
    const Instant now = queue_.now();
    holder.loans.Expire(now);
    const serving::LoanBook::Key key{borrower.name, request.id};
    double units = 0;
    if (const serving::Loan* known = holder.loans.Find(key)) {
      units = known->units;
    } else {
      units = holder.quotas.Take(request.workspace, request.units, now);
      if (units > 0) {
        holder.loans.Add(key, {request.workspace, units, now, {}});
      }
    }
    const QuotaLevel left = holder.quotas.Level(request.workspace, now);
    Send(holder, borrower.name, kGrantBytes,
         [this, id = request.id, units, left](QuotaNode& node) {
           node.broker->OnGrant({id, units, left}, queue_.now());
           Perform(node);
         });
  }

  // Sends a datagram, which may be lost or delivered twice.
  void Send(QuotaNode& from,
            const std::string& to,
            std::int64_t bytes,
            const std::function<void(QuotaNode&)>& deliver) {
    QuotaNode& receiver = *nodes_[IndexOf(to)];
    for (QuotaNode* node : {&from, &receiver}) {
      ++node->messages;
      node->bytes += bytes + kHeaderBytes;
    }
    if (random_.OneIn(kLossOneIn) || from.partition != receiver.partition) {
      return;
    }
    const Micros delay = from.failure_domain == receiver.failure_domain
                             ? kInDomainDelay
                             : kCrossDomainDelay;
    const int copies = random_.OneIn(kLossOneIn) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      queue_.After(Scaled(delay, 1 + 0.3 * random_.Unit()) + Micros(200 * i),
                   [this, &receiver, boot = receiver.boot, deliver] {
                     InProcess(receiver, boot,
                               [&receiver, deliver] { deliver(receiver); });
                   });
    }
  }

  std::size_t IndexOf(const std::string& name) const {
    return std::stoul(name.substr(name.find('-') + 1));
  }
  std::size_t IndexOf(const QuotaNode& node) const {
    return IndexOf(node.name);
  }

  // Equal parts ---------------------------------------------------------

  void ChargeEqual(QuotaNode& node, const QuotaRequest& request) {
    const Instant now = queue_.now();
    Bucket& own = equal_[IndexOf(node)][request.workspace];
    if (own.Spend(request.units, now)) {
      Decide(request, true, now);
      return;
    }
    constexpr Micros kBackoff = 150ms;
    Instant& backoff =
        node.no_lender_until[QuotaLoad::NameOf(request.workspace)];
    if (now >= backoff) {
      BorrowEqual(node, request);
    }
    const bool granted = own.Spend(request.units, now);
    if (!granted) {
      backoff = std::max(backoff, now + kBackoff);
    }
    Decide(request, granted, now);
  }

  // Borrows from up to three random peers, without the time that it takes.
  void BorrowEqual(QuotaNode& node, const QuotaRequest& request) {
    constexpr int kLenders = 3;
    constexpr double kReserveSeconds = 0.5;
    Bucket& own = equal_[IndexOf(node)][request.workspace];
    for (int i = 0; i < kLenders && own.balance < request.units; ++i) {
      QuotaNode& peer = *nodes_[random_.Below(nodes_.size())];
      node.messages += 2;
      peer.messages += 2;
      if (!peer.up || queue_.now() < peer.paused_until || &peer == &node ||
          peer.partition != node.partition) {
        continue;
      }
      Bucket& lender = equal_[IndexOf(peer)][request.workspace];
      lender.Refill(queue_.now());
      const double given =
          std::clamp(lender.balance - kReserveSeconds * lender.spent_per_s, 0.0,
                     request.units - own.balance);
      lender.balance -= given;
      own.balance += given;
    }
  }

  // Figures -------------------------------------------------------------

  QuotaFigures Figures() {
    const double seconds =
        std::chrono::duration<double>(run_.warm_up + run_.fault).count();
    for (std::size_t w = 0; w < load_.workspaces(); ++w) {
      figures_.wrongful += std::max<std::int64_t>(0, wrongful_[w]);
      figures_.largest_wrongful +=
          std::max<std::int64_t>(0, wrongful_largest_[w]);
    }
    figures_.units_over = auditor_.most_over();
    for (const auto& node : nodes_) {
      const double messages = static_cast<double>(node->messages) / seconds;
      figures_.messages_per_s += messages / static_cast<double>(nodes_.size());
      figures_.busiest_messages_per_s =
          std::max(figures_.busiest_messages_per_s, messages);
      figures_.busiest_bytes_per_s =
          std::max(figures_.busiest_bytes_per_s,
                   static_cast<double>(node->bytes) / seconds);
    }
    if (!waits_.empty()) {
      std::ranges::sort(waits_);
      figures_.wait_p50 = waits_[waits_.size() / 2];
      figures_.wait_p99 = waits_[waits_.size() * 99 / 100];
    }
    return figures_;
  }

  QuotaRun run_;
  QuotaCase shape_;
  QuotaWay way_;
  QuotaLoad load_;
  Random random_;
  EventQueue queue_;
  QuotaAuditor auditor_;
  QuotaLeader leader_;
  std::vector<std::unique_ptr<QuotaNode>> nodes_;
  std::vector<std::vector<Bucket>> equal_;
  std::vector<Bucket> central_;
  serving::ServingConfig config_;
  /// Refusals less those of the central bucket, by workspace.
  std::vector<std::int64_t> wrongful_;
  std::vector<std::int64_t> wrongful_largest_;
  std::map<std::pair<const QuotaNode*, std::uint64_t>,
           std::function<void(const ChargeOutcome&)>>
      waiting_;
  std::vector<Micros> waits_;
  bool in_fault_ = false;
  QuotaFigures figures_;
};

}  // namespace

QuotaFigures RunQuotas(const QuotaRun& run,
                       const QuotaCase& shape,
                       QuotaWay way) {
  return QuotaSim(run, shape, way).Run();
}

}  // namespace jackdaw
