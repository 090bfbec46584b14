#include "http/server_connections.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "http/server.h"

namespace jackdaw {
namespace {

// Time to take a response after which the connection may be closed in favor of
// a new one.
constexpr std::chrono::seconds kTakeTime(1);

}  // namespace

std::size_t UnsentBytes(boost::asio::ip::tcp::socket& socket) {
  int queued = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &queued) != 0) {
    return 0;
  }
  return static_cast<std::size_t>(queued);
}

ServerConnections::ServerConnections(const HttpLimits& limits)
    : limits_(limits) {}

bool ServerConnections::MakeRoom() {
  if (count_ < limits_.connections) {
    return true;
  }
  for (const ServerWait wait : {ServerWait::kRequest, ServerWait::kRest}) {
    if (auto& waiting = Of(wait).connections; !waiting.empty()) {
      Close(*waiting.front());
      return true;
    }
  }
  auto& taken = Of(ServerWait::kTaken).connections;
  const auto now = std::chrono::steady_clock::now();
  if (taken.empty() || now - taken.front()->since < kTakeTime) {
    return false;
  }
  Close(*taken.front());
  return true;
}

void ServerConnections::Add(ServerConnection& connection) {
  ++count_;
  auto& connections = Of(connection.wait).connections;
  connection.place = connections.insert(connections.end(), &connection);
}

void ServerConnections::Remove(ServerConnection& connection) {
  if (connection.closed) {
    return;
  }
  connection.closed = true;
  Waiting& waiting = Of(connection.wait);
  waiting.connections.erase(connection.place);
  waiting.bytes -= connection.bytes;
  --count_;
}

void ServerConnections::SetWait(ServerConnection& connection, ServerWait wait) {
  if (connection.closed) {
    return;
  }
  Waiting& before = Of(connection.wait);
  Waiting& after = Of(wait);
  before.bytes -= connection.bytes;
  connection.bytes = 0;
  after.connections.splice(after.connections.end(), before.connections,
                           connection.place);
  connection.wait = wait;
  connection.since = std::chrono::steady_clock::now();
}

void ServerConnections::SetBytes(ServerConnection& connection,
                                 std::size_t bytes) {
  if (connection.closed) {
    return;
  }
  Waiting& waiting = Of(connection.wait);
  waiting.bytes += bytes;
  waiting.bytes -= connection.bytes;
  connection.bytes = bytes;
  KeepBound(connection.wait);
}

// The connection's own coroutine ends later. What the kernel holds for a caller
// that does not read is dropped with the connection.
void ServerConnections::Close(ServerConnection& connection) {
  Remove(connection);
  boost::system::error_code ignored;
  connection.stream.socket().set_option(
      boost::asio::socket_base::linger(true, 0), ignored);
  connection.stream.close();
}

void ServerConnections::KeepBound(ServerWait wait) {
  Waiting& waiting = Of(wait);
  if (limits_.total_bytes == 0 || waiting.bytes <= limits_.total_bytes) {
    return;
  }
  if (wait == ServerWait::kRequest) {
    RecountUnsent();
  }
  for (auto at = waiting.connections.begin();
       waiting.bytes > limits_.total_bytes;) {
    ServerConnection& connection = **at++;
    if (connection.bytes > 0) {
      Close(connection);
    }
  }
}

// The responses may have been taken since.
void ServerConnections::RecountUnsent() {
  Waiting& waiting = Of(ServerWait::kRequest);
  for (ServerConnection* connection : waiting.connections) {
    if (connection->bytes > 0) {
      waiting.bytes -= connection->bytes;
      connection->bytes = UnsentBytes(connection->stream.socket());
      waiting.bytes += connection->bytes;
    }
  }
}

void ServerConnections::CancelIdle() {
  for (auto* connection : Of(ServerWait::kRequest).connections) {
    connection->stream.cancel();
  }
}

}  // namespace jackdaw
