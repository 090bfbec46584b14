#include "operator/config_writer.h"

#include <algorithm>
#include <charconv>

#include "config/check.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time for one answer of the platform.
constexpr Micros kAnswerTime = 3s;
constexpr std::size_t kMinOperationSize = 8;
constexpr std::size_t kMaxOperationSize = 64;
// Times that the row is read after a lost answer.
constexpr int kReadBackTries = 3;

bool IsOperation(std::string_view text) {
  return text.size() >= kMinOperationSize && text.size() <= kMaxOperationSize &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
         });
}

Error Conflict(std::uint64_t found, std::uint64_t expected) {
  return {ErrorKind::kConflict,
          "version " + std::to_string(found) + " is in force, not " +
              std::to_string(expected),
          "read the configuration again and repeat the change"};
}

// What a row says of an operation that may have written it.
Result<std::uint64_t> OutcomeOf(const StoredConfig& head,
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
       EncodeStoredConfig(
           {write.expected + 1, write.operation, write.document})});
  return transaction;
}

// Built outside a coroutine: GCC 12 destroys braced temporaries of a co_await
// expression twice.
Error Raced() {
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
  if (!IsOperation(write.operation)) {
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

asio::awaitable<Result<ConfigWriter::Found>> ConfigWriter::Read() {
  ReadQuery query;
  query.keys.emplace_back(kConfigRow);
  Result<std::vector<Row>> rows = co_await platform_.Read(
      std::move(query), context_.clock.Now() + kAnswerTime);
  if (!rows) {
    co_return rows.error();
  }
  Found found;
  if (!rows.value().empty()) {
    const Row& row = rows.value().front();
    auto head = DecodeStoredConfig(row.value);
    if (!head) {
      co_return head.error();
    }
    found.row_version = row.version;
    found.head = std::move(head.value());
  }
  co_return found;
}

Result<void> ConfigWriter::Check(const ConfigWrite& write,
                                 const Found& found) const {
  BOOST_OUTCOME_TRY(const auto after,
                    ParseFleetConfig(write.document, write.expected + 1));
  if (found.head.version == 0) {
    return CheckChange(FleetConfig(), after, ToMillis(context_.clock.Now()));
  }
  BOOST_OUTCOME_TRY(const auto before,
                    ParseFleetConfig(found.head.document, found.head.version));
  return CheckChange(before, after, ToMillis(context_.clock.Now()));
}

asio::awaitable<Result<std::uint64_t>> ConfigWriter::Write(ConfigWrite write) {
  Result<Found> found = co_await Read();
  if (!found) {
    co_return found.error();
  }
  const StoredConfig& head = found.value().head;
  if (head.version > 0 && head.operation == write.operation) {
    co_return OutcomeOf(head, write);
  }
  if (head.version != write.expected) {
    co_return Conflict(head.version, write.expected);
  }
  const Result<void> checked = Check(write, found.value());
  if (!checked) {
    co_return checked.error();
  }
  Result<Commit> commit = co_await platform_.Transact(
      MakeTransaction(found.value().row_version, write),
      context_.clock.Now() + kAnswerTime);
  if (!commit) {
    co_return co_await ReadBack(write, commit.error());
  }
  if (!commit.value().committed) {
    // The client of the platform may have sent the write a second time.
    const Error raced = Raced();
    co_return co_await ReadBack(write, raced);
  }
  co_return write.expected + 1;
}

// Finds out whether a write took effect whose answer does not tell.
asio::awaitable<Result<std::uint64_t>> ConfigWriter::ReadBack(
    const ConfigWrite& write,
    Error cause) {
  for (int i = 0; i < kReadBackTries; ++i) {
    Result<Found> found = co_await Read();
    if (!found) {
      continue;
    }
    const StoredConfig& head = found.value().head;
    if (head.operation == write.operation) {
      co_return OutcomeOf(head, write);
    }
    if (head.version > write.expected) {
      co_return Conflict(head.version, write.expected);
    }
    co_return cause;
  }
  co_return Error{
      ErrorKind::kTimeout,
      "it is open whether the change took effect (" + cause.Line() + ")",
      "repeat it with the same operation id"};
}

}  // namespace jackdaw
