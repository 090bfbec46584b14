#include "once/intent_tracker.h"

#include <algorithm>
#include <set>

#include "core/invariant.h"

namespace jackdaw {

std::optional<CallId> IntentTracker::Claim(Instant now,
                                           std::string key,
                                           std::string fingerprint,
                                           std::string request_id,
                                           Instant deadline) {
  if (calls_.size() >= limits_.calls) {
    return std::nullopt;
  }
  const CallId id = next_call_++;
  Call& call = calls_[id];
  call.key = std::move(key);
  call.row.fingerprint = std::move(fingerprint);
  call.row.request_id = std::move(request_id);
  call.row.written = now;
  call.deadline = deadline;
  call.not_before = now + limits_.window;
  return id;
}

// Schedules a write of the final phase of a call whose claim was granted.
void IntentTracker::Write(Instant now,
                          CallId id,
                          IntentPhase phase,
                          StoredOutcome outcome) {
  const auto found = calls_.find(id);
  CheckInvariant(found != calls_.end() && found->second.step == Step::kGranted,
                 "only a granted call can be released, abandoned or finished");
  Call& call = found->second;
  call.row.phase = phase;
  call.row.outcome = std::move(outcome);
  call.row.written = now;
  call.step = Step::kWritePending;
  call.not_before = now + limits_.window;
  call.deadline = now + limits_.write_timeout;
}

void IntentTracker::Release(Instant now, CallId call) {
  Write(now, call, IntentPhase::kNotRun, {});
}

void IntentTracker::Abandon(Instant now, CallId call) {
  Write(now, call, IntentPhase::kUnknown, {});
}

void IntentTracker::Finish(Instant now, CallId call, StoredOutcome outcome) {
  Write(now, call, IntentPhase::kDone, LimitOutcomeSize(std::move(outcome)));
}

void IntentTracker::CompleteClaim(CallId id, ClaimResult::Kind kind) {
  Call& call = calls_.at(id);
  CheckInvariant(call.claiming, "a claim is completed only once");
  call.claiming = false;
  actions_.emplace_back(ClaimResult{id, kind, {}, {}});
}

void IntentTracker::Settle(CallId id) {
  actions_.emplace_back(CallSettled{id});
  calls_.erase(id);
}

// Completes a claim that was not stored by its deadline. If a transaction with
// the claim was sent, it may still take effect; the row is then marked as not
// run.
void IntentTracker::TimeOutClaim(Instant now, CallId id) {
  CompleteClaim(id, ClaimResult::Kind::kTimedOut);
  Call& call = calls_.at(id);
  if (!call.sent) {
    calls_.erase(id);
    return;
  }
  call.row.phase = IntentPhase::kNotRun;
  call.deadline = now + limits_.write_timeout;
}

void IntentTracker::ExpireCalls(Instant now) {
  std::vector<CallId> expired;
  for (const auto& [id, call] : calls_) {
    if (call.step != Step::kGranted && now >= call.deadline) {
      expired.push_back(id);
    }
  }
  for (const CallId id : expired) {
    if (calls_.at(id).claiming) {
      TimeOutClaim(now, id);
    } else {
      Settle(id);
    }
  }
}

std::vector<IntentAction> IntentTracker::Poll(Instant now) {
  ExpireCalls(now);
  while (batches_.size() < limits_.batches_in_flight &&
         now >= next_transaction_) {
    const std::size_t before = batches_.size();
    MakeTransaction(now);
    if (batches_.size() == before) {
      break;
    }
  }
  MakeRead(now);
  return std::exchange(actions_, {});
}

// Combines the writes that are due into one transaction. A key occurs in it at
// most once, so that no write overwrites another.
void IntentTracker::MakeTransaction(Instant now) {
  Batch batch;
  Transaction transaction;
  std::set<std::string_view> keys;
  std::size_t bytes = 0;
  for (auto& [id, call] : calls_) {
    if (call.step != Step::kWritePending || call.not_before > now ||
        batch.calls.size() >= limits_.rows_per_batch ||
        bytes >= limits_.batch_bytes || !keys.insert(call.key).second) {
      continue;
    }
    transaction.checks.push_back({call.key, call.version});
    transaction.writes.push_back({call.key, EncodeIntentRow(call.row)});
    bytes += transaction.writes.back().value->size();
    batch.calls.push_back(id);
    batch.phases.push_back(call.row.phase);
    call.step = Step::kWriteInFlight;
    call.sent = true;
  }
  if (batch.calls.empty()) {
    return;
  }
  const std::uint64_t number = next_batch_++;
  batches_[number] = std::move(batch);
  next_transaction_ = now + limits_.interval;
  actions_.emplace_back(SendTransaction{number, std::move(transaction)});
}

void IntentTracker::MakeRead(Instant now) {
  Batch batch;
  SendRead read;
  for (auto& [id, call] : calls_) {
    if (call.step == Step::kReadPending && call.not_before <= now &&
        batch.calls.size() < limits_.rows_per_batch) {
      batch.calls.push_back(id);
      read.keys.push_back(call.key);
      call.step = Step::kReadInFlight;
    }
  }
  if (!batch.calls.empty()) {
    read.batch = next_batch_++;
    batches_[read.batch] = std::move(batch);
    actions_.emplace_back(std::move(read));
  }
}

std::optional<IntentTracker::Batch> IntentTracker::TakeBatch(
    std::uint64_t number) {
  auto node = batches_.extract(number);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

void IntentTracker::ScheduleRead(Instant now,
                                 const Batch& batch,
                                 Instant not_before) {
  for (const CallId id : batch.calls) {
    if (const auto found = calls_.find(id); found != calls_.end()) {
      found->second.step = Step::kReadPending;
      found->second.not_before = std::max(now, not_before);
    }
  }
}

void IntentTracker::OnCommit(Instant now,
                             std::uint64_t number,
                             const Commit& commit) {
  const auto batch = TakeBatch(number);
  if (!batch) {
    return;
  }
  if (!commit.committed) {
    ScheduleRead(now, *batch, now);
    return;
  }
  for (std::size_t i = 0; i < batch->calls.size(); ++i) {
    const auto found = calls_.find(batch->calls[i]);
    if (found == calls_.end()) {
      continue;
    }
    Call& call = found->second;
    call.version = commit.version;
    if (call.claiming && now < call.deadline) {
      call.step = Step::kGranted;
      CompleteClaim(found->first, ClaimResult::Kind::kClaimed);
    } else if (call.row.phase == batch->phases[i] && !call.claiming) {
      Settle(found->first);
    } else {
      call.step = Step::kWritePending;
      call.not_before = now;
    }
  }
}

void IntentTracker::OnTransactionLost(Instant now, std::uint64_t number) {
  if (const auto batch = TakeBatch(number)) {
    ScheduleRead(now, *batch, now + limits_.backoff);
  }
}

void IntentTracker::OnReadLost(Instant now, std::uint64_t number) {
  OnTransactionLost(now, number);
}

void IntentTracker::OnRows(Instant now,
                           std::uint64_t number,
                           std::span<const Row> rows) {
  const auto batch = TakeBatch(number);
  if (!batch) {
    return;
  }
  for (const CallId id : batch->calls) {
    const auto call = calls_.find(id);
    if (call == calls_.end()) {
      continue;
    }
    const auto row =
        std::find_if(rows.begin(), rows.end(), [&](const Row& candidate) {
          return candidate.key == call->second.key;
        });
    Resolve(now, id, row == rows.end() ? nullptr : &*row);
  }
}

// Decides from the stored row whether the write of a call is repeated, has
// already taken effect or is obsolete.
void IntentTracker::Resolve(Instant now, CallId id, const Row* stored) {
  Call& call = calls_.at(id);
  call.step = Step::kWritePending;
  call.not_before = now;
  if (stored == nullptr) {
    // The row was absent or has expired. Only a claim or a not-run mark may
    // create it; an outcome is not written to an expired row.
    const bool may_create_row =
        call.claiming || call.row.phase == IntentPhase::kNotRun;
    call.version = 0;
    if (!may_create_row) {
      Settle(id);
    }
    return;
  }
  const auto row = DecodeIntentRow(stored->value);
  call.version = stored->version;
  if (!row) {
    if (call.claiming) {
      CompleteClaim(id, ClaimResult::Kind::kUnknown);
    }
    Settle(id);
    return;
  }
  if (call.claiming) {
    ResolveClaim(now, id, row.value());
    return;
  }
  const bool same_submission = row.value().request_id == call.row.request_id;
  const bool written = same_submission && row.value().phase == call.row.phase;
  const bool may_overwrite =
      same_submission || (row.value().phase == IntentPhase::kNotRun &&
                          call.row.phase == IntentPhase::kNotRun);
  if (written || !may_overwrite) {
    Settle(id);
  }
}

void IntentTracker::ResolveClaim(Instant now, CallId id, const IntentRow& row) {
  using Kind = ClaimResult::Kind;
  Call& call = calls_.at(id);
  if (row.phase == IntentPhase::kNotRun) {
    return;
  }
  if (row.phase == IntentPhase::kPending &&
      row.request_id == call.row.request_id) {
    if (now < call.deadline) {
      call.step = Step::kGranted;
      CompleteClaim(id, Kind::kClaimed);
    }
    return;
  }
  Kind kind = row.phase == IntentPhase::kPending ? Kind::kPending
              : row.phase == IntentPhase::kDone  ? Kind::kDone
                                                 : Kind::kUnknown;
  if (row.fingerprint != call.row.fingerprint) {
    kind = Kind::kMismatch;
  }
  CompleteClaim(id, kind);
  auto& answer = std::get<ClaimResult>(actions_.back());
  answer.outcome = row.outcome;
  answer.written = row.written;
  calls_.erase(id);
}

Instant IntentTracker::NextWake() const {
  Instant next = Instant::max();
  const bool has_batch_capacity = batches_.size() < limits_.batches_in_flight;
  for (const auto& [id, call] : calls_) {
    if (call.step == Step::kGranted) {
      continue;
    }
    next = std::min(next, call.deadline);
    if (call.step == Step::kWritePending && has_batch_capacity) {
      next = std::min(next, std::max(call.not_before, next_transaction_));
    } else if (call.step == Step::kReadPending) {
      next = std::min(next, call.not_before);
    }
  }
  return next;
}

}  // namespace jackdaw
