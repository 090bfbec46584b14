#include "core/duty.h"

#include <pthread.h>

namespace jackdaw {
namespace {

// Tasks run per turn of the event loop before sockets are looked at again.
constexpr int kTasksPerTurn = 256;

}  // namespace

Duty::Duty(std::string name, std::size_t ring_capacity)
    : name_(std::move(name)),
      work_(boost::asio::make_work_guard(context_)),
      ring_(ring_capacity) {}

Duty::~Duty() {
  Stop();
}

void Duty::Start() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_.substr(0, 15).c_str());
    context_.run();
  });
}

void Duty::Stop() {
  work_.reset();
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void Duty::EndCoroutines() {
  while (ring_.TryPop()) {
  }
  context_.EndPending();
}

bool Duty::TryPost(Task task) {
  if (!ring_.TryPush(task)) {
    return false;
  }
  if (!wake_pending_.exchange(true, std::memory_order_acq_rel)) {
    boost::asio::post(context_, [this] { RunWaitingTasks(); });
  }
  return true;
}

// Drains the ring. The flag is lowered first, so that a task pushed during
// the drain always leads to another turn.
void Duty::RunWaitingTasks() {
  wake_pending_.store(false, std::memory_order_release);
  for (int i = 0; i < kTasksPerTurn; ++i) {
    auto task = ring_.TryPop();
    if (!task) {
      return;
    }
    (*task)();
  }
  if (!wake_pending_.exchange(true, std::memory_order_acq_rel)) {
    boost::asio::post(context_, [this] { RunWaitingTasks(); });
  }
}

}  // namespace jackdaw
