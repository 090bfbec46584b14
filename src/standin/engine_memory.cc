#include "standin/engine_memory.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <cstdlib>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

constexpr std::int64_t kMaxCount = 1'000'000;
// Time between two looks at whether a model has requests left.
constexpr std::int64_t kUnloadPollMs = 5;
// Longest time for weights to come.
constexpr Micros kFetchTime = 600s;

}  // namespace

EngineMemory::EngineMemory(asio::io_context& context, EngineMemoryShape shape)
    : context_(context), shape_(std::move(shape)), client_(context, clock_, 1) {
  for (const auto& name : shape_.models) {
    if (name.empty()) {
      continue;
    }
    const Artifact item{ArtifactKind::kModel, name, 1};
    items_[item] = {item, shape_.model_mb, ArtifactState::kResident};
  }
}

std::optional<HttpResponse> EngineMemory::OnOrder(const HttpRequest& request) {
  const auto order = DecodeOrder(request.body);
  if (!order) {
    return JsonResponse(400, R"({"error":"not an order"})");
  }
  if (faults_.lost > 0) {
    --faults_.lost;
    return std::nullopt;
  }
  if (faults_.late > 0) {
    --faults_.late;
    asio::co_spawn(context_, CarryLate(order.value()), asio::detached);
    return std::nullopt;
  }
  if (faults_.doubled > 0) {
    --faults_.doubled;
    asio::co_spawn(context_, CarryLate(order.value()), asio::detached);
  }
  return Carry(order.value());
}

HttpResponse EngineMemory::Carry(const Order& order) {
  if (shape_.checks_fence && order.fence < fence_) {
    return JsonResponse(409, R"({"error":"old fencing number"})");
  }
  fence_ = std::max(fence_, order.fence);
  const auto found = items_.find(order.item);
  if (order.op == OrderOp::kLoad && found == items_.end()) {
    Load(order);
  } else if (order.op == OrderOp::kUnload && found != items_.end() &&
             found->second.state == ArtifactState::kResident) {
    found->second.state = ArtifactState::kUnloading;
    asio::co_spawn(context_, FinishUnload(order.item), asio::detached);
  }
  return JsonResponse(200, "{}");
}

// The memory is taken from the moment of the order.
void EngineMemory::Load(const Order& order) {
  items_[order.item] = {order.item, order.memory_mb, ArtifactState::kLoading};
  if (used_mb() > shape_.memory_mb) {
    std::fprintf(stderr, "%s: memory overcommitted by order %s\n",
                 shape_.name.c_str(), order.id.c_str());
    std::abort();
  }
  asio::co_spawn(context_, FinishLoad(order.item), asio::detached);
}

asio::awaitable<void> EngineMemory::FinishLoad(Artifact item) {
  if (shape_.weights) {
    HttpRequest request{"GET", "/v1/weights/" + item.name, {}, {}};
    request.target +=
        item.kind == ArtifactKind::kAdapter ? "?kind=adapter" : "";
    static_cast<void>(co_await client_.Fetch(
        *shape_.weights, std::move(request), clock_.Now() + kFetchTime));
  } else {
    co_await Wait(shape_.load_ms);
  }
  if (const auto found = items_.find(item); found != items_.end()) {
    found->second.state = ArtifactState::kResident;
  }
}

// Requests that run are finished before the memory is given back.
asio::awaitable<void> EngineMemory::FinishUnload(Artifact item) {
  while (item.kind == ArtifactKind::kModel && running_.contains(item.name)) {
    co_await Wait(kUnloadPollMs);
  }
  items_.erase(item);
}

asio::awaitable<void> EngineMemory::CarryLate(Order order) {
  co_await Wait(faults_.late_ms);
  static_cast<void>(Carry(order));
}

asio::awaitable<void> EngineMemory::Wait(std::int64_t ms) {
  asio::steady_timer timer(context_);
  timer.expires_after(std::chrono::milliseconds(ms));
  co_await timer.async_wait(asio::use_awaitable);
}

bool EngineMemory::Serves(std::string_view model) const {
  return std::any_of(items_.begin(), items_.end(), [&](const auto& entry) {
    return entry.first.kind == ArtifactKind::kModel &&
           entry.first.name == model &&
           entry.second.state == ArtifactState::kResident;
  });
}

void EngineMemory::OnRequest(std::string_view model, int change) {
  const auto found = running_.emplace(std::string(model), 0).first;
  found->second += change;
  if (found->second == 0) {
    running_.erase(found);
  }
}

std::vector<EngineArtifact> EngineMemory::Items() const {
  std::vector<EngineArtifact> items;
  items.reserve(items_.size());
  for (const auto& [item, entry] : items_) {
    items.push_back(entry);
  }
  return items;
}

std::int64_t EngineMemory::used_mb() const {
  std::int64_t used = 0;
  for (const auto& [item, entry] : items_) {
    used += entry.memory_mb;
  }
  return used;
}

OrderFaults EngineMemory::ReadFaults(ObjectReader& reader) const {
  OrderFaults faults;
  faults.lost = reader.IntegerOr("lose_orders", 0, kMaxCount, 0);
  faults.late = reader.IntegerOr("late_orders", 0, kMaxCount, 0);
  faults.late_ms = reader.IntegerOr("late_ms", 0, kMaxCount, 1000);
  faults.doubled = reader.IntegerOr("double_orders", 0, kMaxCount, 0);
  return faults;
}

}  // namespace jackdaw
