#pragma once

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstdint>
#include <list>

namespace jackdaw {

struct HttpLimits;

/// What an open connection waits for.
enum class ServerWait : std::uint8_t {
  /// The handler of its request.
  kHandler,
  /// A request. Its bytes are those of responses that the kernel still holds.
  kRequest,
  /// The rest of a request.
  kRest,
  /// The caller, which is to take a response.
  kTaken,
};

/// A connection of HttpServer.
struct ServerConnection {
  /// Bytes read ahead of the parser, at most. The parser throws at longer
  /// fields.
  static constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

  explicit ServerConnection(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  ServerWait wait = ServerWait::kHandler;
  std::list<ServerConnection*>::iterator place;
  std::chrono::steady_clock::time_point since;
  /// Bytes held while it waits.
  std::size_t bytes = 0;
  /// It has carried a request.
  bool answered = false;
  bool closed = false;
};

/// The open connections of a server, and the bounds of their number and of what
/// they hold. At a bound the connection that has waited the longest is closed.
class ServerConnections {
 public:
  explicit ServerConnections(const HttpLimits& limits);

  /// Returns whether there is room for another connection, if need be after
  /// another one was closed.
  bool MakeRoom();
  void Add(ServerConnection& connection);
  /// Forgets a connection that ends.
  void Remove(ServerConnection& connection);
  /// Sets what a connection waits for, from now on, with no bytes held.
  void SetWait(ServerConnection& connection, ServerWait wait);
  /// Sets the bytes that it holds while it waits. This may close it.
  void SetBytes(ServerConnection& connection, std::size_t bytes);
  /// Lets connections without a request end.
  void CancelIdle();
  std::uint32_t count() const { return count_; }

 private:
  struct Waiting {
    std::list<ServerConnection*> connections;
    std::size_t bytes = 0;
  };

  Waiting& Of(ServerWait wait) {
    return waiting_[static_cast<std::size_t>(wait)];
  }
  void Close(ServerConnection& connection);
  void KeepBound(ServerWait wait);
  void RecountUnsent();

  const HttpLimits& limits_;
  std::array<Waiting, 4> waiting_;
  std::uint32_t count_ = 0;
};

/// Returns the bytes that the kernel holds for the other side of a connection;
/// 0 if it does not tell.
std::size_t UnsentBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace jackdaw
