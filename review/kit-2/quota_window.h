#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine.h"
#include "fleet.h"

namespace review {

/// A request that ran: when its client sent it and when it first reached an
/// engine that ran it.
struct Run {
  std::int64_t sent_ms = 0;
  std::int64_t arrived_ms = 0;
  std::int64_t tokens = 0;
  std::string instance;
};

/// Returns the tenant's requests that ran, by their time of arrival. A request
/// counts once.
inline std::vector<Run> RunsOf(Fleet& fleet, const std::string& tenant) {
  std::map<std::string, std::int64_t> arrived;
  for (const auto& engine : fleet.engines()) {
    for (const Arrival& arrival : engine->arrivals()) {
      if (arrival.ran) {
        const auto [at, added] =
            arrived.emplace(arrival.attempt, arrival.at_ms);
        at->second = std::min(at->second, arrival.at_ms);
      }
    }
  }
  std::vector<Run> runs;
  for (const Sent& sent : fleet.sent()) {
    const auto at = arrived.find(sent.attempt);
    if (sent.tenant == tenant && at != arrived.end()) {
      runs.push_back({sent.at_ms, at->second, sent.tokens, sent.instance});
    }
  }
  std::ranges::sort(runs, {}, &Run::arrived_ms);
  return runs;
}

/// The window with the most tokens.
struct Fullest {
  std::int64_t tokens = 0;
  std::int64_t end_ms = 0;
  std::map<std::string, std::int64_t> by_instance;
};

/// Returns the window of that length in which the most tokens were both sent
/// and arrived, among the windows that end after `from_ms`.
inline Fullest FullestWindow(const std::vector<Run>& runs,
                             std::int64_t length_ms,
                             std::int64_t from_ms) {
  Fullest fullest;
  std::size_t first = 0;
  for (std::size_t last = 0; last < runs.size(); ++last) {
    const std::int64_t end = runs[last].arrived_ms;
    while (runs[first].arrived_ms <= end - length_ms) {
      ++first;
    }
    if (end < from_ms) {
      continue;
    }
    Fullest window;
    window.end_ms = end;
    for (std::size_t i = first; i <= last; ++i) {
      if (runs[i].sent_ms > end - length_ms) {
        window.tokens += runs[i].tokens;
        window.by_instance[runs[i].instance] += runs[i].tokens;
      }
    }
    if (window.tokens > fullest.tokens) {
      fullest = std::move(window);
    }
  }
  return fullest;
}

}  // namespace review
