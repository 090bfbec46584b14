#include "once/intent_store.h"

#include <boost/json.hpp>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// Time for one attempt at the table service.
constexpr Micros kAttemptTime = 2s;

std::string EncodeIntent(std::string_view fingerprint,
                         std::string_view request_id,
                         const StoredOutcome* outcome) {
  json::object row{{"fingerprint", fingerprint}, {"request_id", request_id}};
  if (outcome != nullptr) {
    row["status"] = outcome->status;
    row["content_type"] = outcome->content_type;
    row["body"] = outcome->body;
  }
  return json::serialize(row);
}

Result<IntentState> ReadIntent(std::string_view value,
                               std::string_view fingerprint,
                               std::string_view request_id) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(value));
  ObjectReader reader(parsed, "");
  IntentState state;
  const std::string owner_fingerprint = reader.Text("fingerprint");
  const std::string owner = reader.Text("request_id");
  state.outcome.status =
      static_cast<int>(reader.IntegerOr("status", 0, 999, 0));
  state.outcome.content_type = reader.TextOr("content_type", "");
  state.outcome.body = reader.TextOr("body", "");
  BOOST_OUTCOME_TRY(reader.Finish());
  if (owner_fingerprint != fingerprint) {
    state.kind = IntentState::Kind::kMismatch;
  } else if (state.outcome.status != 0) {
    state.kind = IntentState::Kind::kDone;
  } else {
    state.kind = owner == request_id ? IntentState::Kind::kRun
                                     : IntentState::Kind::kPending;
  }
  return state;
}

}  // namespace

IntentStore::IntentStore(Duty& duty,
                         const MonotonicClock& clock,
                         const Endpoint& platform)
    : duty_(duty), clock_(clock), platform_(duty.context(), clock, platform) {}

asio::awaitable<Result<IntentState>> IntentStore::Claim(std::string key,
                                                        std::string fingerprint,
                                                        std::string request_id,
                                                        Instant deadline) {
  auto claim = [this, key = std::move(key),
                fingerprint = std::move(fingerprint),
                request_id = std::move(request_id),
                deadline]() -> asio::awaitable<Result<IntentState>> {
    co_return co_await ClaimHere(key, fingerprint, request_id, deadline);
  };
  co_return co_await AskAsync<IntentState>(duty_, std::move(claim));
}

// Writes the row if it is absent. Where the answer is lost or the row is
// there, it is read back: the request id in it tells whose it is.
asio::awaitable<Result<IntentState>> IntentStore::ClaimHere(
    std::string key,
    std::string fingerprint,
    std::string request_id,
    Instant deadline) {
  Transaction transaction;
  transaction.checks.push_back({key, 0});
  transaction.writes.push_back(
      {key, EncodeIntent(fingerprint, request_id, nullptr)});
  Result<Commit> commit = co_await platform_.Transact(
      std::move(transaction), std::min(deadline, clock_.Now() + kAttemptTime));
  if (commit && commit.value().committed) {
    co_return IntentState{IntentState::Kind::kRun, {}};
  }
  ReadQuery query;
  query.keys.push_back(key);
  Result<std::vector<Row>> rows = co_await platform_.Read(
      std::move(query), std::min(deadline, clock_.Now() + kAttemptTime));
  if (!rows) {
    co_return rows.error();
  }
  if (rows.value().empty()) {
    co_return Error{ErrorKind::kUnavailable, "the intent could not be stored",
                    "send the call again"};
  }
  co_return ReadIntent(rows.value().front().value, fingerprint, request_id);
}

asio::awaitable<Result<void>> IntentStore::Store(std::string key,
                                                 std::string fingerprint,
                                                 std::string request_id,
                                                 StoredOutcome outcome,
                                                 Instant deadline) {
  auto store = [this, key = std::move(key),
                value = EncodeIntent(fingerprint, request_id, &outcome),
                deadline]() -> asio::awaitable<Result<void>> {
    Transaction transaction;
    transaction.writes.push_back({key, value});
    Result<Commit> commit =
        co_await platform_.Transact(std::move(transaction), deadline);
    co_return commit ? Result<void>(success()) : Result<void>(commit.error());
  };
  co_return co_await AskAsync<void>(duty_, std::move(store));
}

}  // namespace jackdaw
