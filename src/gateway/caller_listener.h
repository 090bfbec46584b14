#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>

#include "core/error.h"
#include "gateway/caller_connection.h"
#include "http/endpoint.h"

namespace jackdaw::serving {

/// Accepts callers' connections and tracks the open ones.
class CallerListener {
 public:
  CallerListener(boost::asio::io_context& context,
                 CallerHandler& handler,
                 TimerQueue& timers,
                 const MonotonicClock& clock,
                 const MemoryLimits& limits = {});
  ~CallerListener();

  /// Binds and starts to accept connections. Port 0 lets the system choose.
  /// @returns the bound endpoint, or kAddressInUse
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// Ends all requests in progress because the instance shuts down.
  void EndTasks();
  /// Stops accepting connections and closes those without a request.
  void StopAccepting();
  /// Returns the number of connections with a request in progress or a response
  /// that is not yet written.
  std::size_t busy();
  /// Memory and descriptors that callers' connections use.
  const CallerResources& resources() const { return *resources_; }

 private:
  using ConnectionPtr = std::shared_ptr<CallerConnection>;

  void Accept();
  bool AcceptOne();
  void AcceptPending();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void RemoveClosed();
  ConnectionPtr Find(MemoryBudget::Id id) const;
  std::size_t Descriptors() const;
  bool CloseOldest(std::size_t descriptors);
  bool MakeRoom(std::size_t descriptors);
  void ScheduleCheck();
  void CheckMemory();
  void GiveUpVictims(Instant now);
  void ResumePaused();
  void LogShortage(Instant now);

  boost::asio::io_context& context_;
  CallerHandler& handler_;
  TimerQueue& timers_;
  const MonotonicClock& clock_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<CallerResources> resources_;
  std::unordered_map<MemoryBudget::Id, std::weak_ptr<CallerConnection>>
      connections_;
  TimerQueue::Handle check_timer_;
  TimerQueue::Handle accept_timer_;
  bool check_scheduled_ = false;
  Instant shortage_logged_at_{};
  std::size_t accepted_ = 0;
  bool making_room_ = false;
};

}  // namespace jackdaw::serving
