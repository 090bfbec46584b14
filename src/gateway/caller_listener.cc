#include "gateway/caller_listener.h"

#include <algorithm>

#include "core/log.h"

namespace jackdaw::serving {
namespace {

// Length of the queue of connections that are not yet accepted.
constexpr int kBacklog = 1024;
// Closed connections are removed from the list once per this many accepts.
constexpr std::size_t kAcceptsPerCleanup = 128;

}  // namespace

CallerListener::CallerListener(boost::asio::io_context& context,
                               CallerHandler& handler,
                               TimerQueue& timers,
                               const MonotonicClock& clock)
    : context_(context),
      handler_(handler),
      timers_(timers),
      clock_(clock),
      acceptor_(context) {}

Result<Endpoint> CallerListener::Listen(const Endpoint& endpoint) {
  boost::system::error_code failure;
  acceptor_.open(endpoint.protocol(), failure);
  if (!failure) {
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true),
                         failure);
    acceptor_.bind(endpoint, failure);
  }
  if (!failure) {
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

void CallerListener::Accept() {
  acceptor_.async_accept(context_, [this](const auto& failure,
                                          boost::asio::ip::tcp::socket socket) {
    if (failure == boost::asio::error::operation_aborted) {
      return;
    }
    if (failure) {
      Log(LogLevel::kWarn, "accept_failed", {{"error", failure.message()}});
    } else {
      auto connection = std::make_shared<CallerConnection>(
          std::move(socket), handler_, timers_, clock_);
      connections_.push_back(connection);
      connection->Start();
    }
    if (++accepted_ % kAcceptsPerCleanup == 0) {
      RemoveClosed();
    }
    Accept();
  });
}

void CallerListener::RemoveClosed() {
  connections_.remove_if([](const auto& weak) { return weak.expired(); });
}

std::size_t CallerListener::busy() {
  RemoveClosed();
  return static_cast<std::size_t>(std::count_if(
      connections_.begin(), connections_.end(), [](const auto& weak) {
        const auto connection = weak.lock();
        return connection != nullptr && connection->busy();
      }));
}

void CallerListener::EndTasks() {
  const auto connections = connections_;
  for (const auto& weak : connections) {
    if (const auto connection = weak.lock()) {
      connection->EndTask();
    }
  }
}

void CallerListener::StopAccepting() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->CloseIfIdle();
    }
  }
}

}  // namespace jackdaw::serving
