#include "http/server.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>

#include "http/request_body.h"
#include "http/server_exchange.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Bytes taken in the read that waits for a request to begin.
constexpr std::size_t kFirstRead = 4096;
// Memory of a header field besides its bytes.
constexpr std::size_t kFieldBytes = 96;
// Bytes read ahead of the parser, at most. The parser throws at longer fields.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

using Parser = http::request_parser<RequestBody>;

// Answer to bytes that do not form an acceptable request. Such a request was
// read by nobody, so "ran" is always "no".
HttpResponse ParseFailure(const beast::error_code& failure) {
  int status = 400;
  std::string kind = "malformed-request";
  std::string remedy = "send a well-formed HTTP/1.1 request";
  if (failure == http::error::body_limit) {
    status = 413;
    kind = "body-too-large";
    remedy = "send a smaller body";
  } else if (failure == http::error::header_limit) {
    status = 431;
    kind = "headers-too-large";
    remedy = "send fewer or shorter headers";
  }
  HttpResponse response = JsonResponse(
      status, R"({"type":"about:blank","title":")" + kind + R"(","status":)" +
                  std::to_string(status) + R"(,"kind":")" + kind +
                  R"(","remedy":")" + remedy + R"(","ran":"no"})");
  response.headers[0].value = "application/problem+json";
  return response;
}

bool IsParseFailure(const beast::error_code& failure) {
  return failure.category() ==
             make_error_code(http::error::bad_method).category() &&
         failure != http::error::end_of_stream &&
         failure != http::error::partial_message;
}

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context& context, const HttpLimits& limits, Handler handler)
      : acceptor(context), limits(limits), handler(std::move(handler)) {}

  asio::awaitable<void> AcceptLoop() {
    auto self = shared_from_this();
    while (acceptor.is_open()) {
      auto [failure, socket] = co_await acceptor.async_accept(kAwait);
      if (failure == asio::error::operation_aborted) {
        co_return;
      }
      if (failure) {
        continue;
      }
      MakeRoom();
      if (connections >= limits.connections) {
        continue;
      }
      beast::error_code ignored;
      if (limits.socket_bytes > 0) {
        socket.set_option(
            asio::socket_base::receive_buffer_size(limits.socket_bytes),
            ignored);
        socket.set_option(
            asio::socket_base::send_buffer_size(limits.socket_bytes), ignored);
      }
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      socket.set_option(asio::socket_base::keep_alive(true), ignored);
      asio::co_spawn(acceptor.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  // An open connection. It is in `idle` or `reading` while it waits for bytes.
  struct Connection {
    explicit Connection(asio::ip::tcp::socket socket)
        : stream(std::move(socket)) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{kMaxUnparsedBytes};
    // Bytes held of an incomplete request.
    std::size_t bytes = 0;
    bool closed = false;
  };
  using Connections = std::list<Connection*>;

  // Closes the connection that waits the longest for a request, or else for the
  // rest of one, if there is no room for another connection.
  void MakeRoom() {
    Connections& waiting = idle.empty() ? reading : idle;
    if (connections >= limits.connections && !waiting.empty()) {
      CloseOldest(waiting);
    }
  }

  // The connection's own coroutine ends later.
  void CloseOldest(Connections& waiting) {
    Connection& connection = *waiting.front();
    waiting.pop_front();
    connection.closed = true;
    connection.stream.close();
    SetBytes(connection, 0);
    --connections;
  }

  void SetBytes(Connection& connection, std::size_t bytes) {
    total_bytes += bytes;
    total_bytes -= connection.bytes;
    connection.bytes = bytes;
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket socket) {
    auto self = shared_from_this();
    ++connections;
    Connection connection(std::move(socket));
    bool go_on = true;
    while (go_on) {
      go_on = co_await AwaitFirstByte(connection);
      if (go_on) {
        ++active;
        go_on = co_await ServeOne(connection);
        --active;
      }
    }
    if (!connection.closed) {
      beast::error_code ignored;
      connection.stream.socket().shutdown(asio::socket_base::shutdown_send,
                                          ignored);
      --connections;
    }
  }

  // Waits until a request begins. @returns false when the connection ends
  asio::awaitable<bool> AwaitFirstByte(Connection& connection) {
    if (connection.buffer.size() > 0) {
      co_return true;
    }
    if (closing) {
      co_return false;
    }
    connection.buffer.shrink_to_fit();
    const auto place = idle.insert(idle.end(), &connection);
    connection.stream.expires_after(std::chrono::milliseconds(limits.idle_ms));
    auto [failure, size] = co_await connection.stream.async_read_some(
        connection.buffer.prepare(kFirstRead), kAwait);
    if (connection.closed) {
      co_return false;
    }
    idle.erase(place);
    connection.buffer.commit(size);
    co_return !failure;
  }

  // Reads a request. While more is held of incomplete requests than the bound,
  // the oldest of them is given up.
  asio::awaitable<beast::error_code> Read(Connection& connection,
                                          Parser& parser) {
    parser.eager(true);
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    connection.stream.expires_after(std::chrono::milliseconds(
        limits.request_ms > 0 ? limits.request_ms : limits.idle_ms));
    const auto place = reading.insert(reading.end(), &connection);
    beast::error_code failure;
    while (!failure && !parser.is_done() && !connection.closed) {
      auto [read_failure, size] = co_await http::async_read_some(
          connection.stream, connection.buffer, parser, kAwait);
      failure = read_failure;
      if (!connection.closed) {
        SetBytes(connection, HeldBytes(connection, parser));
      }
      while (limits.total_bytes > 0 && total_bytes > limits.total_bytes &&
             !reading.empty()) {
        CloseOldest(reading);
      }
    }
    if (connection.closed) {
      co_return asio::error::operation_aborted;
    }
    SetBytes(connection, 0);
    reading.erase(place);
    co_return failure;
  }

  static std::size_t HeldBytes(const Connection& connection,
                               const Parser& parser) {
    std::size_t bytes =
        connection.buffer.capacity() + parser.get().body().capacity();
    for (const auto& field : parser.get()) {
      bytes += kFieldBytes + field.name_string().size() + field.value().size();
    }
    return bytes;
  }

  // Reads one request and answers it. @returns whether to read another
  asio::awaitable<bool> ServeOne(Connection& connection) {
    Parser parser;
    const beast::error_code failure = co_await Read(connection, parser);
    if (failure && !IsParseFailure(failure)) {
      co_return false;
    }
    ServerExchange exchange(connection.stream, limits, parser.release());
    if (failure) {
      exchange.CloseAfter();
      co_await exchange.Respond(ParseFailure(failure));
      co_return false;
    }
    if (closing) {
      exchange.CloseAfter();
    }
    try {
      co_await handler(exchange);
    } catch (const std::exception&) {
      exchange.CloseAfter();
    }
    co_return exchange.reusable();
  }

  asio::ip::tcp::acceptor acceptor;
  HttpLimits limits;
  Handler handler;
  std::uint32_t connections = 0;
  // Connections on which no request has begun, and those whose request is
  // incomplete; those that wait longest come first.
  Connections idle;
  Connections reading;
  std::size_t total_bytes = 0;
  bool closing = false;
  std::atomic<std::uint64_t> active{0};
};

HttpServer::HttpServer(asio::io_context& context,
                       const HttpLimits& limits,
                       Handler handler)
    : state_(std::make_shared<State>(context, limits, std::move(handler))) {}

HttpServer::~HttpServer() {
  StopAccepting();
}

Result<Endpoint> HttpServer::Listen(const Endpoint& endpoint) {
  beast::error_code failure;
  auto& acceptor = state_->acceptor;
  acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return Error{ErrorKind::kAddressInUse,
                 ToText(endpoint) + ": " + failure.message(),
                 "free the port or set another; 0 lets the system pick"};
  }
  asio::co_spawn(acceptor.get_executor(), state_->AcceptLoop(), asio::detached);
  return acceptor.local_endpoint();
}

void HttpServer::StopAccepting() {
  beast::error_code ignored;
  state_->acceptor.close(ignored);
}

void HttpServer::CloseIdle() {
  state_->closing = true;
  for (auto* connection : state_->idle) {
    connection->stream.cancel();
  }
}

std::uint32_t HttpServer::connections() const {
  return state_->connections;
}

std::uint64_t HttpServer::active() const {
  return state_->active.load();
}

}  // namespace jackdaw
