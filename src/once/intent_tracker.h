#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "once/intent_action.h"

namespace jackdaw {

/// Bounds and pace of an IntentTracker.
struct IntentLimits {
  /// Wait for more writes before a transaction, where none was sent lately.
  Micros window = 3ms;
  /// Least time between the starts of two transactions.
  Micros interval = 3ms;
  /// Wait before a write is tried again after the store failed.
  Micros backoff = 100ms;
  /// Time after which a write that nobody waits for is dropped.
  Micros write_timeout = 600s;
  std::size_t rows_per_batch = 48;
  // A batch takes no further row once it holds this many bytes.
  std::size_t batch_bytes = 512UL * 1024;
  std::size_t batches_in_flight = 4;
  std::size_t calls = 4096;
};

/// Decides what to read and write so that each call runs at most once over
/// all instances. Pure: events and `now` in, actions out.
///
/// A claim writes the call's row on condition that it is absent or marked as
/// not run. Writes of many calls share a transaction. A transaction that
/// conflicts or whose answer is lost is resolved by reading its rows: the
/// submission in a row tells whose it is. A claim that is given up is fenced:
/// its row is marked as not run on condition of its version, so that a claim
/// that takes effect late finds its condition gone.
class IntentTracker {
 public:
  explicit IntentTracker(const IntentLimits& limits) : limits_(limits) {}

  /// Asks for the right to dispatch a call. The answer comes as ClaimResult.
  /// @param key row key @param fingerprint digest of the request
  /// @param request_id this submission, unique over all instances
  /// @param deadline moment at which the claim is given up
  /// @returns the call, or nothing when too many calls are open
  std::optional<CallId> Claim(Instant now,
                              std::string key,
                              std::string fingerprint,
                              std::string request_id,
                              Instant deadline);

  /// The call was granted and no byte of it left: others may run it.
  void Release(Instant now, CallId call);
  /// The call was dispatched and its outcome will not be known.
  void Abandon(Instant now, CallId call);
  /// The call ran with this outcome.
  void Finish(Instant now, CallId call, StoredOutcome outcome);

  /// A transaction was answered.
  void OnCommit(Instant now, std::uint64_t batch, const Commit& commit);
  /// A transaction's answer was lost; it may yet take effect.
  void OnTransactionLost(Instant now, std::uint64_t batch);
  /// A read was answered.
  void OnRows(Instant now, std::uint64_t batch, std::span<const Row> rows);
  /// A read failed.
  void OnReadLost(Instant now, std::uint64_t batch);

  /// Actions due now. Call after each event and at NextWake.
  std::vector<IntentAction> Poll(Instant now);
  /// Moment of the next Poll, if no event comes before.
  Instant NextWake() const;

  /// Sets the least time between two transactions.
  void SetInterval(Micros interval) { limits_.interval = interval; }
  /// Calls with a claim or a write under way.
  std::size_t open_calls() const { return calls_.size(); }

 private:
  enum class Step : std::uint8_t {
    kGranted,
    kWrite,
    kWriting,
    kRead,
    kReading
  };

  // One call: what its row shall say, and how far that has come.
  struct Call {
    std::string key;
    IntentRow row;
    Step step = Step::kWrite;
    // Version that the row must have for the write; 0 for absent.
    std::uint64_t version = 0;
    Instant deadline{};
    Instant not_before{};
    // Whether a transaction with the claim was ever sent.
    bool sent = false;
    // The claim has not been answered.
    bool claiming = true;
  };
  using Calls = std::map<CallId, Call>;

  struct Batch {
    std::vector<CallId> calls;
    // What each call's row said in the transaction.
    std::vector<IntentPhase> phases;
  };

  void Write(Instant now, CallId id, IntentPhase phase, StoredOutcome outcome);
  void CompleteClaim(CallId id, ClaimResult::Kind kind);
  void Settle(CallId id);
  void TimeOutClaim(Instant now, CallId id);
  void ExpireCalls(Instant now);
  void MakeTransaction(Instant now);
  void MakeRead(Instant now);
  void Resolve(Instant now, CallId id, const Row* row);
  void ResolveClaim(Instant now, CallId id, const IntentRow& row);
  void ScheduleRead(Instant now, const Batch& batch, Instant not_before);
  std::optional<Batch> TakeBatch(std::uint64_t number);

  IntentLimits limits_;
  Calls calls_;
  std::map<std::uint64_t, Batch> batches_;
  std::vector<IntentAction> actions_;
  std::uint64_t next_call_ = 1;
  std::uint64_t next_batch_ = 1;
  Instant next_transaction_{};
};

}  // namespace jackdaw
