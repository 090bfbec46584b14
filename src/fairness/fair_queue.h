#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jackdaw {

/// Weighted fair queue across workspaces (start-time fair queueing). Capacity
/// is shared by weight: the request with the earliest virtual start time is
/// taken first, and each request delays the next one of its workspace by its
/// cost divided by the weight. A workspace that sends several times its share
/// thus delays its own requests, not those of others. Does no I/O.
/// @tparam T type of a waiting request
template <typename T>
class FairQueue {
 public:
  /// Sets the weight of a workspace, such as its rate. @param weight above 0
  void SetWeight(std::string_view workspace, std::int64_t weight) {
    FlowOf(workspace).weight = std::max<std::int64_t>(1, weight);
  }

  /// Adds a request. @param cost tokens that it may use
  void Push(std::string_view workspace, std::int64_t cost, T item) {
    Flow& flow = FlowOf(workspace);
    const double start = std::max(virtual_time_, flow.last_finish);
    flow.last_finish =
        start + static_cast<double>(cost) / static_cast<double>(flow.weight);
    flow.waiting.push_back({start, std::move(item)});
    ++size_;
  }

  /// Removes the request with the earliest virtual start time.
  /// @returns nothing when none waits
  std::optional<T> Pop() {
    Flow* next = nullptr;
    for (auto& [name, flow] : flows_) {
      if (!flow.waiting.empty() &&
          (next == nullptr ||
           flow.waiting.front().start < next->waiting.front().start)) {
        next = &flow;
      }
    }
    if (next == nullptr) {
      return std::nullopt;
    }
    Waiting taken = std::move(next->waiting.front());
    next->waiting.pop_front();
    virtual_time_ = std::max(virtual_time_, taken.start);
    --size_;
    return std::move(taken.item);
  }

  /// Removes the requests for which `gone` returns true, such as those past
  /// their deadline. @returns the number of requests removed
  template <typename F>
  std::size_t Remove(F gone) {
    std::size_t removed = 0;
    for (auto& [name, flow] : flows_) {
      removed += std::erase_if(flow.waiting, [&](const Waiting& waiting) {
        return gone(waiting.item);
      });
    }
    size_ -= removed;
    return removed;
  }

  std::size_t size() const { return size_; }
  std::size_t WaitingCount(std::string_view workspace) const {
    const auto found = flows_.find(workspace);
    return found == flows_.end() ? 0 : found->second.waiting.size();
  }

 private:
  struct Waiting {
    double start = 0;
    T item;
  };
  struct Flow {
    std::int64_t weight = 1;
    double last_finish = 0;
    std::deque<Waiting> waiting;
  };

  Flow& FlowOf(std::string_view workspace) {
    const auto found = flows_.find(workspace);
    return found != flows_.end()
               ? found->second
               : flows_.emplace(std::string(workspace), Flow{}).first->second;
  }

  std::map<std::string, Flow, std::less<>> flows_;
  double virtual_time_ = 0;
  std::size_t size_ = 0;
};

}  // namespace jackdaw
