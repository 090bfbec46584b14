#include "quarantine/crash_store.h"

#include <algorithm>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Timeout of one request to the table service.
constexpr Micros kRequestTimeout = 500ms;
// Attempts of one write while other instances change the same row.
constexpr int kWriteAttempts = 4;
// Maximum number of rows deleted in one round.
constexpr std::size_t kMaxDeletesPerRound = 32;

std::string RowKey(const std::string& digest) {
  return std::string(kCrashPrefix) + digest;
}

std::string SlotKey(const std::string& target) {
  return std::string(kCrashSlotPrefix) + target;
}

Error NotWritten() {
  return {ErrorKind::kConflict, "the suspect's row could not be written",
          "retry the write"};
}

ReadQuery PrefixQuery(std::uint64_t newer_than) {
  ReadQuery query;
  query.prefixes.emplace_back(kCrashPrefix);
  query.newer_than = newer_than;
  return query;
}

// Returns a write of the suspect's row and the target's slot, conditional on
// both versions. A missing value deletes the row.
Transaction WriteClaimRows(const SuspectClaim& claim,
                           std::uint64_t version,
                           std::uint64_t slot_version,
                           std::optional<std::string> row,
                           std::optional<std::string> slot) {
  Transaction transaction;
  transaction.checks.push_back({RowKey(claim.digest), version});
  transaction.checks.push_back({SlotKey(claim.target), slot_version});
  transaction.writes.push_back({RowKey(claim.digest), std::move(row)});
  transaction.writes.push_back({SlotKey(claim.target), std::move(slot)});
  return transaction;
}

Transaction WriteRow(const std::string& digest,
                     std::uint64_t version,
                     std::optional<std::string> row) {
  Transaction transaction;
  transaction.checks.push_back({RowKey(digest), version});
  transaction.writes.push_back({RowKey(digest), std::move(row)});
  return transaction;
}

}  // namespace

CrashStore::CrashStore(Duty& thread,
                       const MonotonicClock& clock,
                       const Endpoint& platform)
    : clock_(clock), platform_(thread.context(), clock, platform) {}

Instant CrashStore::RequestDeadline() const {
  return clock_.Now() + kRequestTimeout;
}

asio::awaitable<Result<CrashStore::ClaimRows>> CrashStore::ReadClaimRows(
    const SuspectClaim& claim) {
  ReadQuery query;
  query.keys.push_back(RowKey(claim.digest));
  query.keys.push_back(SlotKey(claim.target));
  Result<std::vector<Row>> rows =
      co_await platform_.Read(std::move(query), RequestDeadline());
  if (!rows) {
    co_return rows.error();
  }
  ClaimRows stored;
  for (const auto& row : rows.value()) {
    if (row.key == RowKey(claim.digest)) {
      auto decoded = DecodeCrashRow(row.value);
      if (!decoded) {
        co_return decoded.error();
      }
      stored.row = std::move(decoded.value());
      stored.version = row.version;
    } else if (auto until = DecodeCrashSlot(row.value); until) {
      stored.slot_until = until.value();
      stored.slot_version = row.version;
    }
  }
  co_return stored;
}

asio::awaitable<Result<Suspect>> CrashStore::Publish(std::string digest,
                                                     Suspect suspect) {
  const SuspectClaim claim{digest, {}, {}, {}};
  for (int i = 0; i < kWriteAttempts; ++i) {
    Result<ClaimRows> stored = co_await ReadClaimRows(claim);
    if (!stored) {
      co_return stored.error();
    }
    CrashRow row = stored.value().row;
    row.suspect.Merge(suspect);
    Result<Commit> commit = co_await platform_.Transact(
        WriteRow(digest, stored.value().version, EncodeCrashRow(row)),
        RequestDeadline());
    if (!commit) {
      co_return commit.error();
    }
    if (commit.value().committed) {
      co_return row.suspect;
    }
  }
  co_return NotWritten();
}

// If the answer to the write is lost, the holder is read back from the row.
asio::awaitable<Result<ClaimOutcome>> CrashStore::Claim(SuspectClaim claim,
                                                        Suspect suspect) {
  Result<ClaimRows> read = co_await ReadClaimRows(claim);
  if (!read) {
    co_return read.error();
  }
  ClaimRows stored = std::move(read.value());
  const Instant now = clock_.Now();
  stored.row.suspect.Merge(suspect);
  if (stored.row.suspect.quarantined) {
    co_return ClaimOutcome::kQuarantined;
  }
  if (!stored.row.claim.holder.empty()) {
    co_return stored.row.claim.until > now ? ClaimOutcome::kBusy
                                           : ClaimOutcome::kLapsed;
  }
  if (stored.slot_version != 0 && stored.slot_until > now) {
    co_return ClaimOutcome::kTargetTaken;
  }
  stored.row.claim = StoredClaim{claim.holder, claim.target, claim.until};
  Result<Commit> commit = co_await platform_.Transact(
      WriteClaimRows(claim, stored.version, stored.slot_version,
                     EncodeCrashRow(stored.row), EncodeCrashSlot(claim.until)),
      RequestDeadline());
  if (commit) {
    co_return commit.value().committed ? ClaimOutcome::kGranted
                                       : ClaimOutcome::kBusy;
  }
  Result<ClaimRows> again = co_await ReadClaimRows(claim);
  if (!again) {
    co_return again.error();
  }
  co_return again.value().row.claim.holder == claim.holder
      ? ClaimOutcome::kGranted
      : ClaimOutcome::kBusy;
}

asio::awaitable<Result<void>> CrashStore::Release(SuspectClaim claim,
                                                  AttemptOutcome end) {
  for (int i = 0; i < kWriteAttempts; ++i) {
    Result<ClaimRows> read = co_await ReadClaimRows(claim);
    if (!read) {
      co_return read.error();
    }
    ClaimRows stored = std::move(read.value());
    if (stored.row.claim.holder != claim.holder) {
      co_return success();
    }
    stored.row.claim = StoredClaim{};
    if (end == AttemptOutcome::kCrashed) {
      stored.row.suspect.AddCrash(claim.target, true);
    }
    std::optional<std::string> row;
    if (end != AttemptOutcome::kCompleted || stored.row.suspect.quarantined) {
      row = EncodeCrashRow(stored.row);
    }
    Result<Commit> commit = co_await platform_.Transact(
        WriteClaimRows(claim, stored.version, stored.slot_version,
                       std::move(row), std::nullopt),
        RequestDeadline());
    if (commit && commit.value().committed) {
      co_return success();
    }
  }
  co_return NotWritten();
}

asio::awaitable<Result<std::vector<SuspectRow>>> CrashStore::ReadNewer() {
  Result<std::vector<Row>> rows =
      co_await platform_.Read(PrefixQuery(newest_version_), RequestDeadline());
  if (!rows) {
    co_return rows.error();
  }
  std::vector<SuspectRow> suspects;
  for (const auto& row : rows.value()) {
    newest_version_ = std::max(newest_version_, row.version);
    if (auto decoded = DecodeCrashRow(row.value); decoded) {
      suspects.push_back({row.key.substr(kCrashPrefix.size()),
                          std::move(decoded.value().suspect)});
    }
  }
  co_return suspects;
}

asio::awaitable<Result<void>> CrashStore::DeleteExpired() {
  Result<std::vector<Row>> rows =
      co_await platform_.Read(PrefixQuery(0), RequestDeadline());
  if (!rows) {
    co_return rows.error();
  }
  std::size_t deleted = 0;
  for (const auto& row : rows.value()) {
    const auto decoded = DecodeCrashRow(row.value);
    const Instant now = clock_.Now();
    if (!decoded || decoded.value().suspect.until > now ||
        decoded.value().claim.until > now) {
      continue;
    }
    const std::string digest = row.key.substr(kCrashPrefix.size());
    static_cast<void>(co_await platform_.Transact(
        WriteRow(digest, row.version, std::nullopt), RequestDeadline()));
    if (++deleted == kMaxDeletesPerRound) {
      break;
    }
  }
  co_return success();
}

}  // namespace jackdaw
