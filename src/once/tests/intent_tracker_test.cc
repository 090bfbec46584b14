#include <boost/test/unit_test.hpp>

#include "replay/once_world.h"

namespace jackdaw {
namespace {

constexpr Instant kStart{1000s};

// Polls once, returns the first action of type T and discards the others.
template <typename T>
T PollForFirst(IntentTracker& tracker, Instant now) {
  for (auto& action : tracker.Poll(now)) {
    if (auto* found = std::get_if<T>(&action)) {
      return std::move(*found);
    }
  }
  BOOST_FAIL("Poll returned no action of this type");
  return {};
}

BOOST_AUTO_TEST_CASE(ConflictInABatchDoesNotFailOtherCalls) {
  MemoryTable table;
  IntentTracker tracker{IntentLimits{}};
  IntentRow other;
  other.fingerprint = "f";
  other.request_id = "elsewhere";
  table.Apply({{}, {{"once/b", EncodeIntentRow(other)}}});
  for (const char* key : {"once/a", "once/b", "once/c"}) {
    BOOST_TEST(tracker.Claim(kStart, key, "f", key, kStart + 1s).has_value());
  }
  Instant now = kStart + 3ms;
  const auto first = PollForFirst<SendTransaction>(tracker, now);
  BOOST_TEST(first.transaction.writes.size() == 3U);
  tracker.OnCommit(now, first.batch, table.Apply(first.transaction));
  const auto read = PollForFirst<SendRead>(tracker, now);
  tracker.OnRows(now, read.batch, table.Read({read.keys, {}, 0}));
  now += 3ms;
  int pending = 0;
  SendTransaction second;
  for (auto& action : tracker.Poll(now)) {
    if (const auto* answer = std::get_if<ClaimResult>(&action)) {
      pending += answer->kind == ClaimResult::Kind::kPending ? 1 : 0;
    } else {
      second = std::get<SendTransaction>(action);
    }
  }
  BOOST_TEST(pending == 1);
  BOOST_TEST(second.transaction.writes.size() == 2U);
  tracker.OnCommit(now, second.batch, table.Apply(second.transaction));
  int granted = 0;
  for (auto& action : tracker.Poll(now)) {
    granted += std::get<ClaimResult>(action).kind == ClaimResult::Kind::kClaimed
                   ? 1
                   : 0;
  }
  BOOST_TEST(granted == 2);
}

BOOST_AUTO_TEST_CASE(LateClaimIsFencedAndResubmissionRuns) {
  MemoryTable table;
  IntentTracker tracker{IntentLimits{}};
  tracker.Claim(kStart, "once/a", "f", "r1", kStart + 10ms);
  Instant now = kStart + 3ms;
  const auto late = PollForFirst<SendTransaction>(tracker, now);
  tracker.OnTransactionLost(now, late.batch);
  now = kStart + 10ms;
  BOOST_TEST((PollForFirst<ClaimResult>(tracker, now).kind ==
              ClaimResult::Kind::kTimedOut));
  now += 100ms;
  const auto read = PollForFirst<SendRead>(tracker, now);
  tracker.OnRows(now, read.batch, table.Read({read.keys, {}, 0}));
  const auto mark = PollForFirst<SendTransaction>(tracker, now);
  tracker.OnCommit(now, mark.batch, table.Apply(mark.transaction));
  BOOST_TEST(!table.Apply(late.transaction).committed);
  IntentTracker other{IntentLimits{}};
  other.Claim(now, "once/a", "f", "r2", now + 1s);
  now += 3ms;
  auto claim = PollForFirst<SendTransaction>(other, now);
  other.OnCommit(now, claim.batch, table.Apply(claim.transaction));
  const auto back = PollForFirst<SendRead>(other, now);
  other.OnRows(now, back.batch, table.Read({back.keys, {}, 0}));
  claim = PollForFirst<SendTransaction>(other, now + 3ms);
  other.OnCommit(now, claim.batch, table.Apply(claim.transaction));
  BOOST_TEST((PollForFirst<ClaimResult>(other, now).kind ==
              ClaimResult::Kind::kClaimed));
}

BOOST_AUTO_TEST_CASE(OutcomeBodyMayBeBinaryAndIsSizeLimited) {
  IntentRow row;
  row.phase = IntentPhase::kDone;
  row.fingerprint = "f";
  row.request_id = "r";
  row.outcome.status = 200;
  for (int size = 0; size < 300; ++size) {
    row.outcome.body.push_back(static_cast<char>(size));
    const auto back = DecodeIntentRow(EncodeIntentRow(row));
    BOOST_TEST_REQUIRE(back.has_value());
    BOOST_TEST_REQUIRE((back.value().outcome.body == row.outcome.body));
  }
  row.outcome.body.assign(kMaxStoredBody + 1, 'x');
  const StoredOutcome bounded = LimitOutcomeSize(row.outcome);
  BOOST_TEST(bounded.body_left_out);
  BOOST_TEST(bounded.body.empty());
}

BOOST_AUTO_TEST_CASE(RandomHistoriesDispatchEachCallAtMostOnce) {
  int ran = 0;
  int replayed = 0;
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      OnceWorld world(seed, OnceMutant::kNone);
      world.Run(1500);
      world.Resubmit();
      BOOST_TEST(world.doubled() == 0);
      BOOST_TEST(world.false_no() == 0);
      BOOST_TEST(world.lost() == 0);
      BOOST_TEST(world.open_calls() == 0U);
      ran += world.ran();
      replayed += world.replayed();
      refused += world.refused_no();
    }
  }
  // The random histories must cover each of these outcomes often enough.
  BOOST_TEST(ran > 1000);
  BOOST_TEST(replayed > 1000);
  BOOST_TEST(refused > 1000);
}

BOOST_AUTO_TEST_CASE(EachMutantIsDetected) {
  for (const auto mutant :
       {OnceMutant::kDispatchesAfterGivingUp, OnceMutant::kRunsPending,
        OnceMutant::kTableWithoutChecks,
        OnceMutant::kDeletesInsteadOfMarking}) {
    int breaches = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      OnceWorld world(seed, mutant);
      world.Run(1500);
      world.Resubmit();
      breaches += world.doubled() + world.false_no() + world.lost();
    }
    BOOST_TEST_CONTEXT("mutant " << static_cast<int>(mutant)) {
      BOOST_TEST(breaches > 0);
    }
  }
}

}  // namespace
}  // namespace jackdaw
