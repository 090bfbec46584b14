#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "budget/equal_split.h"
#include "core/time.h"

namespace jackdaw {

/// Decision on a request that needs tokens.
struct WaitDecision {
  enum class Kind : std::uint8_t { kRun, kWait, kRefuse };
  Kind kind = Kind::kRefuse;
  /// Identifies a request that waits or has waited; 0 for one that was decided
  /// on arrival.
  std::uint64_t id = 0;
  /// If the request is not run, the estimated time at which the tokens are
  /// available; Instant::max() for never.
  Instant retry_at{};
};

/// Requests that wait for their workspace's budget. Each workspace has a
/// bounded FIFO queue of its own, so that no workspace uses the slots of
/// another. A request that cannot meet its deadline, or finds its queue full,
/// is refused at once.
template <BudgetScheme Budget>
class WaitQueue {
 public:
  /// @param budget scheme to spend from; must outlive the queue
  explicit WaitQueue(Budget& budget) : budget_(budget) {}

  /// Decides on a request that arrives, and queues it if it has to wait.
  /// @param deadline latest time to run the request
  /// @param limit maximum number of waiting requests of the workspace
  WaitDecision Offer(Instant now,
                     std::string_view workspace,
                     std::int64_t tokens,
                     Instant deadline,
                     std::int64_t limit);

  /// Decides on waiting requests whose tokens are available or whose deadline
  /// has passed.
  std::vector<WaitDecision> Release(Instant now);

  /// Removes a request whose caller no longer waits.
  void Remove(std::uint64_t id);

  bool empty() const { return queues_.empty(); }

 private:
  struct WaitingRequest {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
    Instant deadline{};
  };
  struct WorkspaceQueue {
    std::deque<WaitingRequest> requests;
    // Sum over the waiting requests.
    std::int64_t tokens = 0;
  };

  void ReleaseFrom(Instant now,
                   const std::string& workspace,
                   WorkspaceQueue& queue,
                   std::vector<WaitDecision>& decided);

  Budget& budget_;
  std::map<std::string, WorkspaceQueue, std::less<>> queues_;
  std::uint64_t next_id_ = 1;
};

template <BudgetScheme Budget>
WaitDecision WaitQueue<Budget>::Offer(Instant now,
                                      std::string_view workspace,
                                      std::int64_t tokens,
                                      Instant deadline,
                                      std::int64_t limit) {
  budget_.RecordDemand(now, workspace, tokens);
  const auto found = queues_.find(workspace);
  const std::int64_t ahead = found == queues_.end() ? 0 : found->second.tokens;
  Instant ready{};
  if (ahead == 0) {
    const SpendResult spend = budget_.Spend(now, workspace, tokens);
    if (spend.granted) {
      return {WaitDecision::Kind::kRun, 0, {}};
    }
    ready = spend.ready_at;
  } else {
    ready = budget_.ReadyAt(now, workspace, ahead + tokens);
  }
  const std::int64_t waiting =
      found == queues_.end()
          ? 0
          : static_cast<std::int64_t>(found->second.requests.size());
  if (ready > deadline || waiting >= limit) {
    return {WaitDecision::Kind::kRefuse, 0, ready};
  }
  WorkspaceQueue& queue = queues_[std::string(workspace)];
  queue.requests.push_back({next_id_, tokens, deadline});
  queue.tokens += tokens;
  budget_.RequestTokens(now, workspace, queue.tokens,
                        queue.requests.front().tokens);
  return {WaitDecision::Kind::kWait, next_id_++, ready};
}

template <BudgetScheme Budget>
std::vector<WaitDecision> WaitQueue<Budget>::Release(Instant now) {
  std::vector<WaitDecision> decided;
  for (auto queue = queues_.begin(); queue != queues_.end();) {
    ReleaseFrom(now, queue->first, queue->second, decided);
    queue = queue->second.requests.empty() ? queues_.erase(queue)
                                           : std::next(queue);
  }
  return decided;
}

template <BudgetScheme Budget>
void WaitQueue<Budget>::ReleaseFrom(Instant now,
                                    const std::string& workspace,
                                    WorkspaceQueue& queue,
                                    std::vector<WaitDecision>& decided) {
  std::erase_if(queue.requests, [&](const WaitingRequest& waiting) {
    if (waiting.deadline > now) {
      return false;
    }
    decided.push_back({WaitDecision::Kind::kRefuse, waiting.id,
                       budget_.ReadyAt(now, workspace, queue.tokens)});
    queue.tokens -= waiting.tokens;
    return true;
  });
  while (!queue.requests.empty()) {
    const WaitingRequest& front = queue.requests.front();
    if (!budget_.Spend(now, workspace, front.tokens).granted) {
      budget_.RequestTokens(now, workspace, queue.tokens, front.tokens);
      return;
    }
    decided.push_back({WaitDecision::Kind::kRun, front.id, {}});
    queue.tokens -= front.tokens;
    queue.requests.pop_front();
  }
}

template <BudgetScheme Budget>
void WaitQueue<Budget>::Remove(std::uint64_t id) {
  for (auto queue = queues_.begin(); queue != queues_.end(); ++queue) {
    auto& requests = queue->second.requests;
    const auto found = std::find_if(
        requests.begin(), requests.end(),
        [&](const WaitingRequest& waiting) { return waiting.id == id; });
    if (found == requests.end()) {
      continue;
    }
    queue->second.tokens -= found->tokens;
    requests.erase(found);
    if (requests.empty()) {
      queues_.erase(queue);
    }
    return;
  }
}

}  // namespace jackdaw
