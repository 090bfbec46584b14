#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

#include "core/random.h"
#include "once/intent_tracker.h"
#include "replay/command.h"
#include "store/memory_table.h"

namespace jackdaw {
namespace {

constexpr int kInstances = 8;
constexpr Micros kRoundTrip = 3ms;
constexpr Micros kTick = 1ms;
constexpr int kTicks = 10'000;

// Load of one run: keyed calls a second over all instances.
struct OnceFigures {
  std::int64_t calls = 0;
  std::int64_t transactions = 0;
  std::int64_t rows = 0;
  std::int64_t waited_us = 0;
};

struct Flight {
  Instant due;
  int instance = 0;
  SendTransaction send;
};

// Drives the books of all instances against one table under a virtual clock.
OnceFigures RunOnce(int calls_per_second, Micros interval) {
  OnceFigures figures;
  Random random(1);
  MemoryTable table;
  IntentLimits limits;
  limits.interval = interval;
  std::vector<std::unique_ptr<IntentTracker>> books;
  books.reserve(kInstances);
  for (int i = 0; i < kInstances; ++i) {
    books.push_back(std::make_unique<IntentTracker>(limits));
  }
  std::deque<Flight> flights;
  std::vector<std::map<CallId, Instant>> begun(kInstances);
  Instant now{1000s};
  for (int tick = 0; tick < kTicks; ++tick, now += kTick) {
    const auto here =
        static_cast<int>(random.Below(1000)) < calls_per_second % 1000
            ? calls_per_second / 1000 + 1
            : calls_per_second / 1000;
    for (int n = 0; n < here; ++n) {
      const auto i = random.Below(kInstances);
      const std::string id = std::to_string(++figures.calls);
      if (const auto call =
              books[i]->Claim(now, "once/" + id, "f", id, now + 2s)) {
        begun[i][*call] = now;
      }
    }
    while (!flights.empty() && flights.front().due <= now) {
      const Flight& flight = flights.front();
      books[flight.instance]->OnCommit(now, flight.send.batch,
                                       table.Apply(flight.send.transaction));
      flights.pop_front();
    }
    for (int i = 0; i < kInstances; ++i) {
      for (auto& action : books[i]->Poll(now)) {
        if (auto* send = std::get_if<SendTransaction>(&action)) {
          ++figures.transactions;
          figures.rows +=
              static_cast<std::int64_t>(send->transaction.writes.size());
          flights.push_back({now + kRoundTrip, i, std::move(*send)});
        } else if (const auto* answer = std::get_if<ClaimResult>(&action)) {
          figures.waited_us += (now - begun[i][answer->call]).count();
          StoredOutcome outcome;
          outcome.status = 200;
          books[i]->Finish(now, answer->call, std::move(outcome));
        }
      }
    }
  }
  return figures;
}

}  // namespace

// Prints transactions, rows and waits for several loads; each call writes its
// intent and its outcome.
int OnceCommand(std::span<const std::string> /*arguments*/) {
  constexpr std::array kLoads{50, 200, 500, 1000, 2000};
  constexpr std::array kIntervals{3, 32};
  constexpr double kSeconds = kTicks / 1000.0;
  std::cout << "[";
  const char* separator = "";
  for (const int interval : kIntervals) {
    for (const int load : kLoads) {
      const OnceFigures figures =
          RunOnce(load, std::chrono::milliseconds(interval));
      std::cout << separator << "{\"interval_ms\":" << interval
                << ",\"calls_per_s\":"
                << static_cast<double>(figures.calls) / kSeconds
                << ",\"transactions_per_s\":"
                << static_cast<double>(figures.transactions) / kSeconds
                << ",\"rows_per_s\":"
                << static_cast<double>(figures.rows) / kSeconds
                << ",\"claim_wait_ms\":"
                << static_cast<double>(figures.waited_us) / 1000.0 /
                       static_cast<double>(figures.calls)
                << "}";
      separator = ",\n ";
    }
  }
  std::cout << "]\n";
  return 0;
}

}  // namespace jackdaw
