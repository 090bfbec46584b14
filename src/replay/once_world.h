#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "once/intent_tracker.h"
#include "store/memory_table.h"

namespace jackdaw {

/// What an instance under test does wrong, to show that the checks see it.
enum class OnceMutant {
  kNone,
  kDispatchesAfterGivingUp,
  kRunsPending,
  kTableWithoutChecks,
  kDeletesInsteadOfMarking
};

/// Three instances, one table and one target under a virtual clock, with
/// random faults. Notes each breach of "at most once" and "not run".
class OnceWorld {
 public:
  OnceWorld(std::uint64_t seed, OnceMutant mutant)
      : random_(seed), mutant_(mutant) {
    for (int i = 0; i < 3; ++i) {
      Restart(i);
    }
  }

  /// One step with faults.
  void StepOnce() {
    now_ += Micros(random_.Below(8000));
    faults_ = true;
    Step();
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      StepOnce();
    }
    faults_ = false;
    outage_ = false;
    for (int i = 0; i < 3000 && (!network_.empty() || i < 2000); ++i) {
      now_ += 5ms;
      DeliverOne();
      PollAll();
    }
  }

  /// Sends each key once more with no faults left; a key whose every
  /// submission was refused as not run must now run.
  void Resubmit() {
    for (int key = 0; key < kKeys; ++key) {
      Submit(key);
      for (int i = 0; i < 200; ++i) {
        now_ += 5ms;
        DeliverOne();
        PollAll();
      }
      if (!tainted_.contains(key) && runs_[KeyOf(key)] == 0) {
        ++lost_;
      }
    }
  }

  int doubled() const { return doubled_; }
  int false_no() const { return false_no_; }
  int lost() const { return lost_; }
  int ran() const { return static_cast<int>(runs_.size()); }
  int replayed() const { return replayed_; }
  int refused_no() const { return refused_no_; }
  std::size_t open_calls() const {
    std::size_t open = 0;
    for (const auto& instance : instances_) {
      open += instance->book.open_calls();
    }
    return open;
  }

 private:
  static constexpr int kKeys = 60;

  struct Submission {
    int key = 0;
    std::string request_id;
  };
  struct Instance {
    explicit Instance(const IntentLimits& limits) : book(limits) {}
    IntentTracker book;
    std::map<CallId, Submission> open;
    std::map<CallId, Submission> granted;
    std::uint64_t incarnation = 0;
  };
  // A message to the table, or its answer on the way back.
  struct Message {
    Instant due;
    int instance;
    std::uint64_t incarnation;
    IntentAction action;
  };

  static std::string KeyOf(int key) { return "once/" + std::to_string(key); }

  void Restart(int i) {
    instances_.resize(3);
    IntentLimits limits;
    limits.backoff = 20ms;
    auto next = std::make_unique<Instance>(limits);
    next->incarnation = ++incarnations_;
    if (instances_[i]) {
      for (const auto& [id, submission] : instances_[i]->open) {
        tainted_.insert(submission.key);
      }
      for (const auto& [id, submission] : instances_[i]->granted) {
        tainted_.insert(submission.key);
      }
      // Claims given up whose mark is not yet written die with it.
      for (const int key : unsettled_[i]) {
        tainted_.insert(key);
      }
      unsettled_[i].clear();
    }
    instances_[i] = std::move(next);
  }

  void Step() {
    if (random_.OneIn(400)) {
      outage_ = !outage_;
    }
    if (random_.OneIn(600)) {
      Restart(static_cast<int>(random_.Below(3)));
    }
    if (random_.OneIn(3)) {
      Submit(static_cast<int>(random_.Below(kKeys)));
    }
    DispatchSome();
    DeliverOne();
    PollAll();
  }

  void Submit(int key) {
    Instance& instance = *instances_[random_.Below(3)];
    const std::string request_id = "r" + std::to_string(++requests_);
    const auto call = instance.book.Claim(
        now_, KeyOf(key), "f", request_id,
        now_ + Micros(faults_ ? 10'000 + random_.Below(200'000) : 900'000));
    if (call) {
      instance.open[*call] = {key, request_id};
    }
  }

  // The target: runs are counted for each key.
  void RunAtTarget(const Submission& submission) {
    doubled_ += ++runs_[KeyOf(submission.key)] > 1 ? 1 : 0;
    false_no_ += told_no_.contains(submission.request_id) ? 1 : 0;
    ran_.insert(submission.request_id);
  }

  void SayNo(const Submission& submission) {
    ++refused_no_;
    told_no_.insert(submission.request_id);
    false_no_ += ran_.contains(submission.request_id) ? 1 : 0;
  }

  void DispatchSome() {
    for (auto& instance : instances_) {
      for (auto it = instance->granted.begin();
           it != instance->granted.end();) {
        if (!random_.OneIn(3)) {
          ++it;
          continue;
        }
        Dispatch(*instance, it->first, it->second);
        it = instance->granted.erase(it);
      }
    }
  }

  void Dispatch(Instance& instance, CallId call, const Submission& to) {
    const std::uint64_t fate = faults_ ? random_.Below(4) : 3;
    if (fate == 0) {
      instance.book.Release(now_, call);
      SayNo(to);
      unsettled_[IndexOf(instance)].insert(to.key);
      return;
    }
    if (fate == 1) {
      // Bytes left; whether the target ran it is not known.
      if (random_.OneIn(2)) {
        RunAtTarget(to);
      }
      tainted_.insert(to.key);
      instance.book.Abandon(now_, call);
      return;
    }
    RunAtTarget(to);
    StoredOutcome outcome;
    outcome.status = 200;
    outcome.body = to.request_id;
    instance.book.Finish(now_, call, outcome);
  }

  int IndexOf(const Instance& instance) const {
    for (int i = 0; i < 3; ++i) {
      if (instances_[i].get() == &instance) {
        return i;
      }
    }
    return 0;
  }

  void PollAll() {
    for (int i = 0; i < 3; ++i) {
      for (auto& action : instances_[i]->book.Poll(now_)) {
        Act(i, std::move(action));
      }
      if (!faults_) {
        DispatchSome();
      }
    }
  }

  void Act(int i, IntentAction action) {
    Instance& instance = *instances_[i];
    if (const auto* answer = std::get_if<ClaimResult>(&action)) {
      OnAnswer(instance, *answer);
    } else if (std::get_if<CallSettled>(&action) == nullptr) {
      network_.push_back({now_ + Micros(random_.Below(6000)), i,
                          instance.incarnation, std::move(action)});
    }
  }

  void OnAnswer(Instance& instance, const ClaimResult& answer) {
    using Kind = ClaimResult::Kind;
    auto node = instance.open.extract(answer.call);
    const Submission& submission = node.mapped();
    const bool runs =
        answer.kind == Kind::kClaimed ||
        (answer.kind == Kind::kPending && mutant_ == OnceMutant::kRunsPending);
    if (answer.kind == Kind::kClaimed) {
      instance.granted[answer.call] = submission;
    } else if (runs) {
      RunAtTarget(submission);
    } else if (answer.kind == Kind::kTimedOut) {
      SayNo(submission);
      unsettled_[IndexOf(instance)].insert(submission.key);
      if (mutant_ == OnceMutant::kDispatchesAfterGivingUp) {
        RunAtTarget(submission);
      }
    } else if (answer.kind == Kind::kDone) {
      ++replayed_;
      false_no_ += runs_[KeyOf(submission.key)] == 1 ? 0 : 1;
    }
  }

  void DeliverOne() {
    std::vector<Message> due;
    std::erase_if(network_, [&](Message& message) {
      if (message.due > now_) {
        return false;
      }
      due.push_back(std::move(message));
      return true;
    });
    for (auto& message : due) {
      Deliver(message);
    }
  }

  // A late write is a transaction whose sender was told nothing and which
  // takes effect up to two seconds afterwards.
  void Deliver(Message& message) {
    Instance* instance = instances_[message.instance].get();
    const bool alive = instance->incarnation == message.incarnation;
    if (auto* read = std::get_if<SendRead>(&message.action)) {
      if (alive && (outage_ || (faults_ && random_.OneIn(10)))) {
        instance->book.OnReadLost(now_, read->batch);
      } else if (alive) {
        instance->book.OnRows(now_, read->batch,
                              table_.Read({read->keys, {}, 0}));
      }
      return;
    }
    auto& send = std::get<SendTransaction>(message.action);
    const std::uint64_t fate = faults_ ? random_.Below(8) : 7;
    if (outage_ || fate == 0) {
      Lose(instance, alive, send.batch);
      return;
    }
    if (fate == 1 && send.batch != 0) {
      Lose(instance, alive, send.batch);
      message.due = now_ + Micros(random_.Below(2'000'000));
      send.batch = 0;
      network_.push_back(std::move(message));
      return;
    }
    const Commit commit = Apply(send.transaction);
    if (fate == 2) {
      Lose(instance, alive, send.batch);
    } else if (alive) {
      instance->book.OnCommit(now_, send.batch, commit);
    }
  }

  void Lose(Instance* instance, bool alive, std::uint64_t batch) {
    if (alive) {
      instance->book.OnTransactionLost(now_, batch);
    }
  }

  Commit Apply(Transaction transaction) {
    if (mutant_ == OnceMutant::kTableWithoutChecks) {
      transaction.checks.clear();
    }
    if (mutant_ == OnceMutant::kDeletesInsteadOfMarking) {
      for (auto& write : transaction.writes) {
        if (write.value->find("not-run") != std::string::npos) {
          write.value.reset();
        }
      }
    }
    return table_.Apply(transaction);
  }

  Random random_;
  OnceMutant mutant_;
  Instant now_{1'000'000s};
  MemoryTable table_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<Message> network_;
  std::map<std::string, int> runs_;
  std::set<std::string> ran_;
  std::set<std::string> told_no_;
  // Keys whose outcome may rightly stay unknown.
  std::set<int> tainted_;
  std::map<int, std::set<int>> unsettled_;
  bool outage_ = false;
  bool faults_ = true;
  std::uint64_t incarnations_ = 0;
  std::uint64_t requests_ = 0;
  int doubled_ = 0;
  int false_no_ = 0;
  int lost_ = 0;
  int replayed_ = 0;
  int refused_no_ = 0;
};

}  // namespace jackdaw
