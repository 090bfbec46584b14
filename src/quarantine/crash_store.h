#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/duty.h"
#include "platform/table_store.h"
#include "quarantine/crash_row.h"

namespace jackdaw {

/// What became of the wish to run a suspect.
enum class ClaimOutcome : std::uint8_t {
  kGranted,
  /// It runs elsewhere, or its row was changed meanwhile.
  kBusy,
  /// Another suspect runs at the target.
  kTargetTaken,
  /// Its last claim was never released.
  kLapsed,
  kQuarantined,
};

/// How a claimed run ended.
enum class AttemptOutcome : std::uint8_t { kCompleted, kFailed, kCrashed };

/// A claim on a run: which request runs which suspect at which target.
struct SuspectClaim {
  std::string digest;
  std::string holder;
  std::string target;
  /// Moment after which the claim counts as lapsed.
  Instant until{};
};

/// A suspect read from the table service.
struct SuspectRow {
  std::string digest;
  Suspect suspect;
};

/// Rows of suspects and of claims on running them. At most one run of a
/// suspect is claimed at any moment, and one suspect at each target. All
/// members run on the thread of the platform client.
class CrashStore {
 public:
  CrashStore(Duty& thread,
             const MonotonicClock& clock,
             const Endpoint& platform);

  /// Joins what is known here into the row. @returns what the row then holds
  boost::asio::awaitable<Result<Suspect>> Publish(std::string digest,
                                                  Suspect suspect);
  /// Claims a run. @param suspect what is known here, for a row that is absent
  boost::asio::awaitable<Result<ClaimOutcome>> Claim(SuspectClaim claim,
                                                     Suspect suspect);
  /// Ends a claimed run; a whole one deletes the row.
  boost::asio::awaitable<Result<void>> Release(SuspectClaim claim,
                                               AttemptOutcome end);
  /// Rows written since the last call; all rows on the first.
  boost::asio::awaitable<Result<std::vector<SuspectRow>>> ReadNewer();
  /// Deletes rows that have expired.
  boost::asio::awaitable<Result<void>> DeleteExpired();

 private:
  struct ClaimRows {
    CrashRow row;
    std::uint64_t version = 0;
    Instant slot_until{};
    std::uint64_t slot_version = 0;
  };

  boost::asio::awaitable<Result<ClaimRows>> ReadClaimRows(
      const SuspectClaim& claim);
  Instant AnswerDeadline() const;

  const MonotonicClock& clock_;
  serving::platform::TableStore platform_;
  std::uint64_t newest_version_ = 0;
};

}  // namespace jackdaw
