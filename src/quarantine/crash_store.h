#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/duty.h"
#include "platform/table_store.h"
#include "quarantine/crash_row.h"

namespace jackdaw {

/// Result of a request to claim a suspect.
enum class ClaimOutcome : std::uint8_t {
  kGranted,
  /// It runs elsewhere, or its row changed concurrently.
  kBusy,
  /// Another suspect runs at the target.
  kTargetTaken,
  /// Its last claim expired without being released.
  kLapsed,
  kQuarantined,
};

/// How a claimed attempt ended.
enum class AttemptOutcome : std::uint8_t { kCompleted, kFailed, kCrashed };

/// A claim to run a suspect: a lock that lets one request run it at one target.
struct SuspectClaim {
  std::string digest;
  /// Id of the request that holds the claim.
  std::string holder;
  std::string target;
  /// When the claim lapses unless it is released.
  Instant until{};
};

/// A suspect read from the table service.
struct SuspectRow {
  std::string digest;
  Suspect suspect;
};

/// Stores suspects and claims as rows of the table service. At any time at most
/// one attempt of a suspect is claimed, and one suspect at each target. All
/// members must be called on the thread of the platform client.
class CrashStore {
 public:
  CrashStore(Duty& thread,
             const MonotonicClock& clock,
             const Endpoint& platform);

  /// Merges this instance's record into the row. @returns the merged record
  boost::asio::awaitable<Result<Suspect>> Publish(std::string digest,
                                                  Suspect suspect);
  /// Claims a suspect for one target.
  /// @param suspect this instance's record, in case the row is absent
  boost::asio::awaitable<Result<ClaimOutcome>> Claim(SuspectClaim claim,
                                                     Suspect suspect);
  /// Releases a claim. Deletes the row of the suspect when the attempt ran to
  /// its end, unless the suspect is quarantined.
  boost::asio::awaitable<Result<void>> Release(SuspectClaim claim,
                                               AttemptOutcome end);
  /// Returns the rows written since the last call; the first call returns all.
  boost::asio::awaitable<Result<std::vector<SuspectRow>>> ReadNewer();
  /// Deletes expired rows of suspects.
  boost::asio::awaitable<Result<void>> DeleteExpired();

 private:
  // The rows that a claim concerns; version 0 means that a row is absent.
  struct ClaimRows {
    CrashRow row;
    std::uint64_t version = 0;
    Instant slot_until{};
    std::uint64_t slot_version = 0;
  };

  boost::asio::awaitable<Result<ClaimRows>> ReadClaimRows(
      const SuspectClaim& claim);
  Instant RequestDeadline() const;

  const MonotonicClock& clock_;
  serving::platform::TableStore platform_;
  std::uint64_t newest_version_ = 0;
};

}  // namespace jackdaw
