#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "once/intent_action.h"

namespace jackdaw {

/// Limits and intervals of an IntentTracker.
struct IntentLimits {
  /// Delay of a new write, during which other writes can join its transaction.
  Micros window = 3ms;
  /// Minimum time between the starts of two transactions.
  Micros interval = 3ms;
  /// Delay before the rows of a failed transaction or read are read again.
  Micros backoff = 100ms;
  /// Time after which the write of a final phase (done, unknown or not run) is
  /// dropped.
  Micros write_timeout = 600s;
  /// Maximum number of rows in one transaction or read.
  std::size_t rows_per_batch = 48;
  // No further row is added to a batch that holds this many bytes.
  std::size_t batch_bytes = 512UL * 1024;
  /// No transaction is started while this many transactions and reads are in
  /// flight.
  std::size_t batches_in_flight = 4;
  /// Maximum number of open calls.
  std::size_t calls = 4096;
};

/// Decides which rows to read and write so that each call runs at most once
/// across all instances. Performs no I/O and reads no clock: it receives events
/// and the current time, and returns actions.
///
/// A claim writes the row of the call on condition that the row is absent or
/// marked as not run. Writes of many calls share a transaction. After a
/// conflict or a lost response, the rows of the transaction are read: the
/// submission stored in a row identifies its owner. A claim that times out is
/// fenced: its row is marked as not run, conditional on the row version, so
/// that the version check of a delayed claim fails.
class IntentTracker {
 public:
  explicit IntentTracker(const IntentLimits& limits) : limits_(limits) {}

  /// Requests the right to dispatch a call. A later Poll returns the
  /// ClaimResult.
  /// @param key row key @param fingerprint digest of the request
  /// @param request_id id of this submission, unique across all instances
  /// @param deadline time at which the claim times out
  /// @returns the call id, or nullopt when too many calls are open
  std::optional<CallId> Claim(Instant now,
                              std::string key,
                              std::string fingerprint,
                              std::string request_id,
                              Instant deadline);

  /// Reports that no byte of a granted call was sent: another submission may
  /// run it.
  void Release(Instant now, CallId call);
  /// Reports that the call was dispatched and its outcome cannot be determined.
  void Abandon(Instant now, CallId call);
  /// Reports that the call ran with this outcome.
  void Finish(Instant now, CallId call, StoredOutcome outcome);

  /// Handles the response to a transaction.
  void OnCommit(Instant now, std::uint64_t batch, const Commit& commit);
  /// Handles a lost response; the transaction may still take effect.
  void OnTransactionLost(Instant now, std::uint64_t batch);
  /// Handles the response to a read.
  void OnRows(Instant now, std::uint64_t batch, std::span<const Row> rows);
  /// Handles a failed read.
  void OnReadLost(Instant now, std::uint64_t batch);

  /// Returns the actions that are due. Must be called after each event and at
  /// NextWake.
  std::vector<IntentAction> Poll(Instant now);
  /// Returns the time at which to call Poll if no event occurs earlier.
  Instant NextWake() const;

  /// Sets the minimum time between the starts of two transactions.
  void SetInterval(Micros interval) { limits_.interval = interval; }
  /// Number of calls with a claim, dispatch or write in progress.
  std::size_t open_calls() const { return calls_.size(); }

 private:
  enum class Step : std::uint8_t {
    kGranted,
    kWritePending,
    kWriteInFlight,
    kReadPending,
    kReadInFlight
  };

  // State of one call: the row to write and the progress of the write.
  struct Call {
    std::string key;
    IntentRow row;
    Step step = Step::kWritePending;
    // Version that the stored row must have for the write; 0 if absent.
    std::uint64_t version = 0;
    Instant deadline{};
    Instant not_before{};
    // Whether a transaction with a write of this call was ever sent.
    bool sent = false;
    // Whether the claim has not been completed yet.
    bool claiming = true;
  };
  using Calls = std::map<CallId, Call>;

  struct Batch {
    std::vector<CallId> calls;
    // Phase that the transaction writes for each call.
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
