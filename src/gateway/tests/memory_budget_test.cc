#include "gateway/memory_budget.h"

#include <boost/test/unit_test.hpp>

namespace jackdaw::serving {
namespace {

constexpr std::size_t kMegabyte = 1024UL * 1024;
constexpr Instant kStart{100s};

struct Account : MemoryBudget {
  Account() : MemoryBudget({32 * kMegabyte, 24 * kMegabyte, 100, 120}) {}

  /// Adds an incomplete request of so many bytes.
  Id Upload(std::size_t bytes, Instant now) {
    const Id id = Open(now);
    OnRequestBegun(id, now);
    SetBytes(id, bytes);
    OnProgress(id, bytes, now);
    return id;
  }
};

// Guards against a refusal while there is room.
BOOST_AUTO_TEST_CASE(ARequestThatFindsTheAccountFreeIsNeverPaused) {
  Account budget;
  const auto id = budget.Open(kStart);
  budget.OnRequestBegun(id, kStart);
  for (std::size_t size = 0; size <= 6 * kMegabyte; size += 16384) {
    budget.SetBytes(id, size);
    BOOST_TEST_REQUIRE(budget.MayRead(id, kStart + 1s));
  }
  BOOST_TEST(!budget.Victim(kStart + 60s).has_value());
}

// Guards against uploads that wait for each other.
BOOST_AUTO_TEST_CASE(OfUploadsThatDoNotFitTheOldestGoesOn) {
  Account budget;
  const auto first = budget.Upload(12 * kMegabyte, kStart);
  const auto second = budget.Upload(12 * kMegabyte, kStart + 10ms);
  BOOST_TEST(budget.MayRead(first, kStart + 20ms));
  BOOST_TEST(!budget.MayRead(second, kStart + 20ms));
  BOOST_TEST(budget.paused() == 1U);
  budget.OnRequestComplete(first);
  budget.Close(first);
  BOOST_TEST(budget.MayRead(second, kStart + 30ms));
  BOOST_TEST(budget.paused() == 0U);
}

// Guards against incomplete bodies that hold the memory while others wait.
BOOST_AUTO_TEST_CASE(TheLargestStalledUploadIsGivenUpFirst) {
  Account budget;
  const auto small = budget.Upload(8 * kMegabyte, kStart);
  const auto large = budget.Upload(16 * kMegabyte, kStart);
  const auto waits = budget.Upload(100'000, kStart + 1s);
  BOOST_TEST(!budget.MayRead(waits, kStart + 1s));
  BOOST_TEST(!budget.Victim(kStart + 900ms).has_value());
  BOOST_TEST((budget.Victim(kStart + 1s) == large));
  budget.Close(large);
  BOOST_TEST(!budget.Victim(kStart + 1s).has_value());
  BOOST_TEST(budget.MayRead(waits, kStart + 1s));
  BOOST_TEST(budget.MayRead(small, kStart + 1s));
}

// Guards against a slow trickle that passes for progress.
BOOST_AUTO_TEST_CASE(AFewBytesAreNoProgress) {
  Account budget;
  const auto slow = budget.Upload(25 * kMegabyte, kStart);
  const auto waits = budget.Upload(100'000, kStart);
  for (int i = 1; i <= 10; ++i) {
    budget.OnProgress(slow, 100, kStart + i * 100ms);
  }
  BOOST_TEST(!budget.MayRead(waits, kStart + 1s));
  BOOST_TEST((budget.Victim(kStart + 1s) == slow));
}

// Guards against the loss of a request that a target may run.
BOOST_AUTO_TEST_CASE(ARunningRequestWhoseCallerReadsIsNeverGivenUp) {
  Account budget;
  const auto id = budget.Upload(40 * kMegabyte, kStart);
  budget.OnRequestComplete(id);
  BOOST_TEST(budget.short_of_memory());
  BOOST_TEST(!budget.Victim(kStart + 60s).has_value());
  BOOST_TEST(!budget.Oldest().has_value());
  budget.SetWriteBlocked(id, true, kStart + 60s);
  BOOST_TEST(!budget.Victim(kStart + 60s).has_value());
  BOOST_TEST((budget.Victim(kStart + 61s) == id));
}

// Guards against small requests that wait behind large bodies.
BOOST_AUTO_TEST_CASE(ASmallRequestUsesTheRoomThatLargeBodiesLeave) {
  Account budget;
  budget.Upload(25 * kMegabyte, kStart);
  const auto small = budget.Upload(1000, kStart + 1ms);
  BOOST_TEST(budget.MayRead(small, kStart + 2ms));
}

// Guards against a pause without an end.
BOOST_AUTO_TEST_CASE(ARequestThatWasPausedForTooLongIsGivenUp) {
  Account budget;
  const auto running = budget.Upload(25 * kMegabyte, kStart);
  budget.OnRequestComplete(running);
  const auto older = budget.Upload(60'000, kStart);
  const auto waits = budget.Upload(60'000, kStart + 1ms);
  BOOST_TEST(budget.MayRead(older, kStart + 2ms));
  BOOST_TEST(!budget.MayRead(waits, kStart + 2ms));
  budget.OnProgress(older, 20'000, kStart + 1900ms);
  BOOST_TEST(!budget.Victim(kStart + 1900ms).has_value());
  BOOST_TEST((budget.Victim(kStart + 2002ms) == waits));
}

BOOST_AUTO_TEST_CASE(TheLongestIdleConnectionIsClosedBeforeIncompleteRequests) {
  Account budget;
  const auto reading = budget.Upload(10, kStart);
  const auto late = budget.Open(kStart + 2s);
  const auto idle = budget.Open(kStart + 1s);
  BOOST_TEST((budget.Oldest() == idle));
  budget.Close(idle);
  BOOST_TEST((budget.Oldest() == late));
  budget.Close(late);
  BOOST_TEST((budget.Oldest() == reading));
}

// Guards against an account that drifts from what is held.
BOOST_AUTO_TEST_CASE(NothingIsHeldAfterAllConnectionsHaveClosed) {
  Account budget;
  const auto first = budget.Upload(30 * kMegabyte, kStart);
  const auto second = budget.Upload(100'000, kStart);
  BOOST_TEST(!budget.MayRead(second, kStart));
  budget.SetWriteBlocked(first, true, kStart);
  budget.SetBytes(first, 7);
  budget.Close(first);
  budget.Close(second);
  budget.Close(second);
  BOOST_TEST(budget.bytes() == 0U);
  BOOST_TEST(budget.paused() == 0U);
}

// Guards against connections that wait for their first byte without an end.
BOOST_AUTO_TEST_CASE(TheFirstBytesOfARequestAreAlwaysRead) {
  Account budget;
  const auto running = budget.Upload(40 * kMegabyte, kStart);
  budget.OnRequestComplete(running);
  const auto idle = budget.Open(kStart);
  BOOST_TEST(budget.MayRead(idle, kStart) > 0U);
  BOOST_TEST(budget.paused() == 0U);
  const auto larger = budget.Upload(60'000, kStart);
  BOOST_TEST(budget.MayRead(larger, kStart) == 0U);
  BOOST_TEST((budget.Victim(kStart) == larger));
}

// Guards against requests that run although there is no memory for them.
BOOST_AUTO_TEST_CASE(ARequestRunsOnlyIfThereIsRoomForItsTarget) {
  Account budget;
  BOOST_TEST(budget.MayRun());
  const auto id = budget.Upload(32 * kMegabyte - 30'000, kStart);
  BOOST_TEST(!budget.MayRun());
  BOOST_TEST(budget.short_of_memory());
  budget.Close(id);
  BOOST_TEST(!budget.short_of_memory());
  BOOST_TEST(budget.MayRun());
}

// Guards against responses that gather for callers that do not read.
BOOST_AUTO_TEST_CASE(AResponseWaitsUntilThereIsRoom) {
  Account budget;
  const auto id = budget.Open(kStart);
  BOOST_TEST(budget.MayHoldBack());
  BOOST_TEST(budget.MayReceive(id));
  const auto other = budget.Upload(32 * kMegabyte, kStart);
  BOOST_TEST(!budget.MayHoldBack());
  BOOST_TEST(!budget.MayReceive(id));
  BOOST_TEST((budget.Receiving() == std::vector<MemoryBudget::Id>{id}));
  budget.Close(other);
  BOOST_TEST(budget.MayReceive(id));
  BOOST_TEST(budget.Receiving().empty());
  BOOST_TEST(!budget.short_of_memory());
}

// Guards against large buffers of the kernel for a whole crowd.
BOOST_AUTO_TEST_CASE(LargeBuffersAreGivenOnlyWhileMostMemoryIsFree) {
  Account budget;
  std::size_t wide = 0;
  for (int i = 0; i < 1000; ++i) {
    wide += budget.MayWiden(budget.Open(kStart)) ? 1U : 0U;
  }
  BOOST_TEST(wide > 0U);
  BOOST_TEST(wide * 192 * 1024 <= 12 * kMegabyte);
}

// Guards against memory that the allocator keeps after a crowd.
BOOST_AUTO_TEST_CASE(MemoryIsReturnedOnceAfterMuchWasReleased) {
  Account budget;
  const auto id = budget.Upload(20 * kMegabyte, kStart);
  BOOST_TEST(!budget.TakeRelease());
  budget.Close(id);
  BOOST_TEST(budget.awaits_release());
  BOOST_TEST(budget.TakeRelease());
  BOOST_TEST(!budget.awaits_release());
  BOOST_TEST(!budget.TakeRelease());
}

BOOST_AUTO_TEST_CASE(TheBoundsFollowFromTheMachine) {
  const MemoryLimits limits = LimitsOf(120, 3075);
  BOOST_TEST(limits.bytes == 60 * kMegabyte);
  BOOST_TEST(limits.upload_bytes == 45 * kMegabyte);
  BOOST_TEST(limits.callers == 2304U);
  BOOST_TEST(limits.descriptors == 3011U);
}

}  // namespace
}  // namespace jackdaw::serving
