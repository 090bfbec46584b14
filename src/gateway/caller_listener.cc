#include "gateway/caller_listener.h"

#include <malloc.h>

#include <algorithm>

#include "core/log.h"

namespace jackdaw::serving {
namespace {

// Length of the queue of connections that are not yet accepted.
constexpr int kBacklog = 1024;
// Bound of the kernel's buffer for what a connection receives.
constexpr int kReceiveBufferBytes = 4 * 1024;
// Closed connections are removed from the list once per this many accepts.
constexpr std::size_t kAcceptsPerCleanup = 128;
// Interval of checks while memory or descriptors are short.
constexpr Micros kCheckInterval = 50ms;
// Interval at which memory that was released is returned to the system.
constexpr Micros kReleaseInterval = 1s;
// Connections that are closed in favor of one new connection or request.
constexpr std::size_t kMaxEvictions = 64;
// Interval of log lines about a shortage.
constexpr Micros kLogInterval = 1s;

}  // namespace

CallerListener::CallerListener(boost::asio::io_context& context,
                               CallerHandler& handler,
                               TimerQueue& timers,
                               const MonotonicClock& clock,
                               const MemoryLimits& limits)
    : context_(context),
      handler_(handler),
      timers_(timers),
      clock_(clock),
      acceptor_(context),
      resources_(std::make_shared<CallerResources>(limits)) {
  resources_->on_short = [this] { ScheduleCheck(); };
  resources_->make_room = [this] {
    return MakeRoom(resources_->budget.limits().descriptors);
  };
}

CallerListener::~CallerListener() {
  for (const auto& [id, weak] : connections_) {
    if (const ConnectionPtr connection = weak.lock()) {
      connection->ReleaseIfPaused();
    }
  }
  timers_.Clear(check_timer_);
  timers_.Clear(accept_timer_);
  resources_->on_short = [] {};
  resources_->make_room = [] { return true; };
}

Result<Endpoint> CallerListener::Listen(const Endpoint& endpoint) {
  boost::system::error_code failure;
  acceptor_.open(endpoint.protocol(), failure);
  if (!failure) {
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true),
                         failure);
    // Connections inherit it before they are accepted, when they may be sent
    // as much as it takes.
    boost::system::error_code ignored;
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes),
        ignored);
    acceptor_.bind(endpoint, failure);
  }
  if (!failure) {
    acceptor_.non_blocking(true, failure);
    acceptor_.listen(kBacklog, failure);
  }
  if (failure) {
    return Error{
        ErrorKind::kAddressInUse,
        "cannot listen on " + ToText(endpoint) + ": " + failure.message(),
        "stop the process that listens there or change the setting 'entry'"};
  }
  Accept();
  return acceptor_.local_endpoint();
}

// Accepts the next connection, unless all descriptors for callers carry running
// requests. It waits in the listener's queue then.
void CallerListener::Accept() {
  acceptor_.async_wait(
      boost::asio::socket_base::wait_read, [this](const auto& failure) {
        if (failure == boost::asio::error::operation_aborted ||
            !acceptor_.is_open()) {
          return;
        }
        if (AcceptOne()) {
          Accept();
        } else {
          timers_.Set(accept_timer_, clock_.Now() + kCheckInterval,
                      [this] { Accept(); });
        }
      });
}

// @returns false if there is no descriptor for the connection now
bool CallerListener::AcceptOne() {
  if (!MakeRoom(resources_->budget.limits().callers)) {
    return false;
  }
  boost::system::error_code failure;
  boost::asio::ip::tcp::socket socket(context_);
  acceptor_.accept(socket, failure);
  if (!failure) {
    OnAccepted(std::move(socket));
    return true;
  }
  if (failure == boost::asio::error::would_block) {
    return true;
  }
  Log(LogLevel::kWarn, "accept_failed", {{"error", failure.message()}});
  return false;
}

// Accepts what waits in the listener's queue: its end would reset connections
// on which a request may have arrived.
void CallerListener::AcceptPending() {
  boost::system::error_code failure;
  for (int i = 0; !failure && i < kBacklog; ++i) {
    if (!MakeRoom(resources_->budget.limits().callers)) {
      return;
    }
    boost::asio::ip::tcp::socket socket(context_);
    acceptor_.accept(socket, failure);
    if (!failure) {
      OnAccepted(std::move(socket));
    }
  }
}

void CallerListener::OnAccepted(boost::asio::ip::tcp::socket socket) {
  auto connection = std::make_shared<CallerConnection>(
      std::move(socket), handler_, timers_, clock_, resources_);
  connections_.emplace(connection->id(), connection);
  connection->Start();
  if (++accepted_ % kAcceptsPerCleanup == 0) {
    RemoveClosed();
  }
}

void CallerListener::RemoveClosed() {
  std::erase_if(connections_,
                [](const auto& item) { return item.second.expired(); });
}

CallerListener::ConnectionPtr CallerListener::Find(MemoryBudget::Id id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.lock();
}

std::size_t CallerListener::Descriptors() const {
  return resources_->budget.connections() + handler_.other_descriptors();
}

// Closes connections without a running request until fewer than so many
// descriptors are open. @returns false if not enough could be closed
bool CallerListener::MakeRoom(std::size_t descriptors) {
  // A connection that is to be closed may turn out to have a request, which
  // asks for room itself.
  if (making_room_) {
    return Descriptors() < descriptors;
  }
  making_room_ = true;
  const bool made = CloseOldest(descriptors);
  making_room_ = false;
  return made;
}

bool CallerListener::CloseOldest(std::size_t descriptors) {
  std::size_t tries = kMaxEvictions;
  while (Descriptors() >= descriptors && tries-- > 0) {
    const auto oldest = resources_->budget.Oldest();
    const ConnectionPtr connection = oldest ? Find(*oldest) : nullptr;
    if (connection == nullptr) {
      return false;
    }
    connection->Evict();
  }
  return Descriptors() < descriptors;
}

void CallerListener::ScheduleCheck() {
  if (check_scheduled_) {
    return;
  }
  check_scheduled_ = true;
  const Micros interval =
      resources_->budget.short_of_memory() ? kCheckInterval : kReleaseInterval;
  timers_.Set(check_timer_, clock_.Now() + interval, [this] { CheckMemory(); });
}

// Gives up what the budget names, then lets the paused connections read on as
// far as there is room.
void CallerListener::CheckMemory() {
  check_scheduled_ = false;
  MemoryBudget& budget = resources_->budget;
  if (budget.short_of_memory()) {
    const Instant now = clock_.Now();
    LogShortage(now);
    GiveUpVictims(now);
    ResumePaused();
  }
  // The allocator would keep what a crowd has held.
  if (budget.TakeRelease()) {
    ::malloc_trim(0);
  }
  if (budget.short_of_memory() || budget.awaits_release()) {
    ScheduleCheck();
  }
}

void CallerListener::GiveUpVictims(Instant now) {
  MemoryBudget& budget = resources_->budget;
  while (const auto victim = budget.Victim(now)) {
    const ConnectionPtr connection = Find(*victim);
    if (connection == nullptr) {
      budget.Close(*victim);
      continue;
    }
    connection->GiveUp();
  }
}

void CallerListener::ResumePaused() {
  const MemoryBudget& budget = resources_->budget;
  for (const MemoryBudget::Id id : budget.Paused()) {
    if (const ConnectionPtr connection = Find(id)) {
      connection->Resume();
    }
  }
  for (const MemoryBudget::Id id : budget.Receiving()) {
    if (const ConnectionPtr connection = Find(id)) {
      connection->ResumeTask();
    }
  }
}

void CallerListener::LogShortage(Instant now) {
  if (now - shortage_logged_at_ < kLogInterval) {
    return;
  }
  shortage_logged_at_ = now;
  const MemoryBudget& budget = resources_->budget;
  Log(LogLevel::kWarn, "memory_short",
      {{"held_bytes", std::to_string(budget.bytes())},
       {"bound_bytes", std::to_string(budget.limits().bytes)},
       {"connections", std::to_string(budget.connections())},
       {"paused", std::to_string(budget.paused())},
       {"requests_dropped", std::to_string(resources_->requests_dropped)},
       {"unread_dropped", std::to_string(resources_->unread_dropped)}});
}

std::size_t CallerListener::busy() {
  RemoveClosed();
  return static_cast<std::size_t>(std::count_if(
      connections_.begin(), connections_.end(), [](const auto& item) {
        const auto connection = item.second.lock();
        return connection != nullptr && connection->busy();
      }));
}

void CallerListener::EndTasks() {
  const auto connections = connections_;
  for (const auto& [id, weak] : connections) {
    if (const auto connection = weak.lock()) {
      connection->EndTask();
    }
  }
}

void CallerListener::StopAccepting() {
  timers_.Clear(accept_timer_);
  AcceptPending();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  const auto connections = connections_;
  for (const auto& [id, weak] : connections) {
    if (const auto connection = weak.lock()) {
      connection->CloseIfIdle();
    }
  }
}

}  // namespace jackdaw::serving
