#include "operator/config_writer.h"

#include <algorithm>
#include <charconv>

#include "config/check.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Timeout of one request to the platform.
constexpr Micros kPlatformTimeout = 3s;
constexpr std::size_t kMinOperationIdSize = 8;
constexpr std::size_t kMaxOperationIdSize = 64;
// Number of attempts to read the row after a lost response.
constexpr int kReadBackAttempts = 3;

bool IsOperationId(std::string_view text) {
  return text.size() >= kMinOperationIdSize &&
         text.size() <= kMaxOperationIdSize &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
         });
}

Error VersionConflict(std::uint64_t stored, std::uint64_t expected) {
  return {ErrorKind::kConflict,
          "version " + std::to_string(stored) + " is in force, not " +
              std::to_string(expected),
          "read the configuration again and repeat the change"};
}

// Result of a repeated write whose operation id is already in the row.
Result<std::uint64_t> RepeatedWriteResult(const PublishedConfig& head,
                                          const ConfigWrite& write) {
  if (head.document == write.document) {
    return head.version;
  }
  return Error{ErrorKind::kConflict,
               "operation '" + write.operation + "' wrote another document",
               "use a new operation id for each change"};
}

Transaction MakeTransaction(std::uint64_t row_version,
                            const ConfigWrite& write) {
  Transaction transaction;
  transaction.checks.push_back({std::string(kConfigRow), row_version});
  transaction.writes.push_back(
      {std::string(kConfigRow),
       EncodePublishedConfig(
           {write.expected + 1, write.operation, write.document})});
  return transaction;
}

// Separate function, because GCC 12 destroys braced temporaries of a co_await
// expression twice.
Error ConcurrentChangeError() {
  return {ErrorKind::kConflict, "another operator changed the configuration",
          "read it again and repeat the change"};
}

}  // namespace

Result<ConfigWrite> ParseConfigWrite(const HttpRequest& request) {
  ConfigWrite write;
  const std::string expected = request.Query("expect");
  const auto [end, failure] = std::from_chars(
      expected.data(), expected.data() + expected.size(), write.expected);
  if (expected.empty() || failure != std::errc() ||
      end != expected.data() + expected.size()) {
    return Error{ErrorKind::kInvalidSetting,
                 "expect '" + expected + "' is no version",
                 "give the version that the document was edited from"};
  }
  write.operation = request.Query("operation");
  if (!IsOperationId(write.operation)) {
    return Error{ErrorKind::kInvalidSetting,
                 "operation '" + write.operation + "' is no operation id",
                 "give 8 to 64 letters, digits, - or _, new for each change"};
  }
  write.document = request.body;
  return write;
}

ConfigWriter::ConfigWriter(asio::io_context& context, InstanceContext& instance)
    : context_(instance),
      platform_(context, instance.clock, instance.settings.platform) {}

asio::awaitable<Result<ConfigWriter::StoredConfig>> ConfigWriter::Read() {
  ReadQuery query;
  query.keys.emplace_back(kConfigRow);
  Result<std::vector<Row>> rows = co_await platform_.Read(
      std::move(query), context_.clock.Now() + kPlatformTimeout);
  if (!rows) {
    co_return rows.error();
  }
  StoredConfig stored;
  if (!rows.value().empty()) {
    const Row& row = rows.value().front();
    auto head = DecodePublishedConfig(row.value);
    if (!head) {
      co_return head.error();
    }
    stored.row_version = row.version;
    stored.head = std::move(head.value());
  }
  co_return stored;
}

Result<void> ConfigWriter::Check(const ConfigWrite& write,
                                 const StoredConfig& stored) const {
  BOOST_OUTCOME_TRY(const auto after,
                    ParseFleetConfig(write.document, write.expected + 1));
  if (stored.head.version == 0) {
    return CheckChange(FleetConfig(), after, ToMillis(context_.clock.Now()));
  }
  BOOST_OUTCOME_TRY(const auto before, ParseFleetConfig(stored.head.document,
                                                        stored.head.version));
  return CheckChange(before, after, ToMillis(context_.clock.Now()));
}

asio::awaitable<Result<std::uint64_t>> ConfigWriter::Write(ConfigWrite write) {
  Result<StoredConfig> stored = co_await Read();
  if (!stored) {
    co_return stored.error();
  }
  const PublishedConfig& head = stored.value().head;
  if (head.version > 0 && head.operation == write.operation) {
    co_return RepeatedWriteResult(head, write);
  }
  if (head.version != write.expected) {
    co_return VersionConflict(head.version, write.expected);
  }
  const Result<void> checked = Check(write, stored.value());
  if (!checked) {
    co_return checked.error();
  }
  Result<Commit> commit = co_await platform_.Transact(
      MakeTransaction(stored.value().row_version, write),
      context_.clock.Now() + kPlatformTimeout);
  if (!commit) {
    co_return co_await ReadBack(write, commit.error());
  }
  if (!commit.value().committed) {
    // The platform client may have retried the write after the first attempt
    // took effect; the row shows which operation wrote it.
    const Error conflict = ConcurrentChangeError();
    co_return co_await ReadBack(write, conflict);
  }
  co_return write.expected + 1;
}

// Reads the row to determine whether a write without a conclusive response took
// effect. @param cause error returned if it did not
asio::awaitable<Result<std::uint64_t>> ConfigWriter::ReadBack(
    const ConfigWrite& write,
    Error cause) {
  for (int i = 0; i < kReadBackAttempts; ++i) {
    Result<StoredConfig> stored = co_await Read();
    if (!stored) {
      continue;
    }
    const PublishedConfig& head = stored.value().head;
    if (head.operation == write.operation) {
      co_return RepeatedWriteResult(head, write);
    }
    if (head.version > write.expected) {
      co_return VersionConflict(head.version, write.expected);
    }
    co_return cause;
  }
  co_return Error{
      ErrorKind::kTimeout,
      "it is open whether the change took effect (" + cause.Line() + ")",
      "repeat it with the same operation id"};
}

}  // namespace jackdaw
