#include "core/bounded_ring.h"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

namespace jackdaw {
namespace {

BOOST_AUTO_TEST_CASE(RefusesWhenFull) {
  BoundedRing<int> ring(4);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(ring.TryPush(i));
  }
  int extra = 9;
  BOOST_TEST(!ring.TryPush(extra));
  BOOST_TEST(ring.TryPop().value() == 0);
  BOOST_TEST(ring.TryPush(extra));
}

BOOST_AUTO_TEST_CASE(KeepsEveryItemAcrossThreads) {
  constexpr int kProducers = 3;
  constexpr int kItems = 20'000;
  BoundedRing<int> ring(64);
  std::vector<std::thread> producers;
  producers.reserve(kProducers);
  for (int p = 0; p < kProducers; ++p) {
    producers.emplace_back([&] {
      for (int i = 1; i <= kItems; ++i) {
        int item = i;
        while (!ring.TryPush(item)) {
          std::this_thread::yield();
        }
      }
    });
  }
  std::int64_t sum = 0;
  for (int got = 0; got < kProducers * kItems;) {
    if (const auto item = ring.TryPop()) {
      sum += *item;
      ++got;
    }
  }
  for (auto& producer : producers) {
    producer.join();
  }
  BOOST_TEST(sum == std::int64_t{kProducers} * kItems * (kItems + 1) / 2);
}

}  // namespace
}  // namespace jackdaw
