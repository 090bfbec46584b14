#include "quarantine/crash_store.h"

#include <algorithm>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time for one answer of the table service.
constexpr Micros kAnswerTime = 500ms;
// Tries against concurrent writers of the same row.
constexpr int kWriteTries = 4;
// Rows deleted in one round.
constexpr std::size_t kDeletedAtOnce = 32;

std::string RowKey(const std::string& digest) {
  return std::string(kCrashPrefix) + digest;
}

std::string SlotKey(const std::string& target) {
  return std::string(kCrashSlotPrefix) + target;
}

Error Contended() {
  return {ErrorKind::kConflict, "the row of the suspect is contended",
          "send again"};
}

ReadQuery PrefixQuery(std::uint64_t newer_than) {
  ReadQuery query;
  query.prefixes.emplace_back(kCrashPrefix);
  query.newer_than = newer_than;
  return query;
}

// Writes the row, and the slot where `slot` says what it becomes.
Transaction WriteBoth(const RunClaim& order,
                      std::uint64_t version,
                      std::uint64_t slot_version,
                      std::optional<std::string> row,
                      std::optional<std::string> slot) {
  Transaction transaction;
  transaction.checks.push_back({RowKey(order.digest), version});
  transaction.checks.push_back({SlotKey(order.target), slot_version});
  transaction.writes.push_back({RowKey(order.digest), std::move(row)});
  transaction.writes.push_back({SlotKey(order.target), std::move(slot)});
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

CrashStore::CrashStore(Duty& duty,
                       const MonotonicClock& clock,
                       const Endpoint& platform)
    : clock_(clock), platform_(duty.context(), clock, platform) {}

Instant CrashStore::Limit() const {
  return clock_.Now() + kAnswerTime;
}

asio::awaitable<Result<CrashStore::Found>> CrashStore::ReadBoth(
    const RunClaim& order) {
  ReadQuery query;
  query.keys.push_back(RowKey(order.digest));
  query.keys.push_back(SlotKey(order.target));
  Result<std::vector<Row>> rows =
      co_await platform_.Read(std::move(query), Limit());
  if (!rows) {
    co_return rows.error();
  }
  Found found;
  for (const auto& row : rows.value()) {
    if (row.key == RowKey(order.digest)) {
      auto decoded = DecodeCrashRow(row.value);
      if (!decoded) {
        co_return decoded.error();
      }
      found.row = std::move(decoded.value());
      found.version = row.version;
    } else if (auto until = DecodeCrashSlot(row.value); until) {
      found.slot_until = until.value();
      found.slot_version = row.version;
    }
  }
  co_return found;
}

asio::awaitable<Result<Suspect>> CrashStore::Publish(std::string digest,
                                                     Suspect suspect) {
  const RunClaim order{digest, {}, {}, {}};
  for (int i = 0; i < kWriteTries; ++i) {
    Result<Found> found = co_await ReadBoth(order);
    if (!found) {
      co_return found.error();
    }
    CrashRow row = found.value().row;
    row.suspect.Merge(suspect);
    Result<Commit> commit = co_await platform_.Transact(
        WriteRow(digest, found.value().version, EncodeCrashRow(row)), Limit());
    if (!commit) {
      co_return commit.error();
    }
    if (commit.value().committed) {
      co_return row.suspect;
    }
  }
  co_return Contended();
}

// An answer that was lost is resolved by reading the holder back.
asio::awaitable<Result<RunClaimOutcome>> CrashStore::Claim(RunClaim order,
                                                           Suspect suspect) {
  Result<Found> read = co_await ReadBoth(order);
  if (!read) {
    co_return read.error();
  }
  Found found = std::move(read.value());
  const Instant now = clock_.Now();
  found.row.suspect.Merge(suspect);
  if (found.row.suspect.quarantined) {
    co_return RunClaimOutcome::kQuarantined;
  }
  if (!found.row.claim.holder.empty()) {
    co_return found.row.claim.until > now ? RunClaimOutcome::kBusy
                                          : RunClaimOutcome::kLapsed;
  }
  if (found.slot_version != 0 && found.slot_until > now) {
    co_return RunClaimOutcome::kTargetTaken;
  }
  found.row.claim = CrashClaim{order.holder, order.target, order.until};
  Result<Commit> commit = co_await platform_.Transact(
      WriteBoth(order, found.version, found.slot_version,
                EncodeCrashRow(found.row), EncodeCrashSlot(order.until)),
      Limit());
  if (commit) {
    co_return commit.value().committed ? RunClaimOutcome::kGranted
                                       : RunClaimOutcome::kBusy;
  }
  Result<Found> again = co_await ReadBoth(order);
  if (!again) {
    co_return again.error();
  }
  co_return again.value().row.claim.holder == order.holder
      ? RunClaimOutcome::kGranted
      : RunClaimOutcome::kBusy;
}

asio::awaitable<Result<void>> CrashStore::Release(RunClaim order, RunEnd end) {
  for (int i = 0; i < kWriteTries; ++i) {
    Result<Found> read = co_await ReadBoth(order);
    if (!read) {
      co_return read.error();
    }
    Found found = std::move(read.value());
    if (found.row.claim.holder != order.holder) {
      co_return success();
    }
    found.row.claim = CrashClaim{};
    if (end == RunEnd::kCrashed) {
      found.row.suspect.AddCrash(order.target, true);
    }
    std::optional<std::string> row;
    if (end != RunEnd::kWhole || found.row.suspect.quarantined) {
      row = EncodeCrashRow(found.row);
    }
    Result<Commit> commit = co_await platform_.Transact(
        WriteBoth(order, found.version, found.slot_version, std::move(row),
                  std::nullopt),
        Limit());
    if (commit && commit.value().committed) {
      co_return success();
    }
  }
  co_return Contended();
}

asio::awaitable<Result<std::vector<SuspectRow>>> CrashStore::ReadNewer() {
  Result<std::vector<Row>> rows =
      co_await platform_.Read(PrefixQuery(newest_), Limit());
  if (!rows) {
    co_return rows.error();
  }
  std::vector<SuspectRow> suspects;
  for (const auto& row : rows.value()) {
    newest_ = std::max(newest_, row.version);
    if (auto decoded = DecodeCrashRow(row.value); decoded) {
      suspects.push_back({row.key.substr(kCrashPrefix.size()),
                          std::move(decoded.value().suspect)});
    }
  }
  co_return suspects;
}

asio::awaitable<Result<void>> CrashStore::DeleteExpired() {
  Result<std::vector<Row>> rows =
      co_await platform_.Read(PrefixQuery(0), Limit());
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
        WriteRow(digest, row.version, std::nullopt), Limit()));
    if (++deleted == kDeletedAtOnce) {
      break;
    }
  }
  co_return success();
}

}  // namespace jackdaw
