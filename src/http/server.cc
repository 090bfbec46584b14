#include "http/server.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/request_body.h"
#include "http/server_connections.h"
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

// Bounds of what is read and dropped of a rejected request.
constexpr std::chrono::milliseconds kDropTime(500);
constexpr std::size_t kMaxDropped = 1024UL * 1024;
constexpr std::size_t kDropBuffer = 4096;

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

// Answer to a complete request for which there is no memory. Nothing has read
// it.
HttpResponse MemoryShort() {
  HttpResponse response = JsonResponse(
      503,
      R"({"type":"about:blank","title":"memory-short","status":503,)"
      R"("kind":"memory-short","remedy":"come back in a second","ran":"no"})");
  response.headers[0].value = "application/problem+json";
  response.headers.push_back({"Retry-After", "1"});
  return response;
}

// Counts the bytes of a request while it runs.
class RunningGuard {
 public:
  RunningGuard(std::size_t& total, std::size_t bytes)
      : total_(total), bytes_(bytes) {
    total_ += bytes_;
  }
  ~RunningGuard() { total_ -= bytes_; }
  RunningGuard(const RunningGuard&) = delete;
  RunningGuard& operator=(const RunningGuard&) = delete;

 private:
  std::size_t& total_;
  std::size_t bytes_;
};

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
      if (failure || !connections.MakeRoom()) {
        continue;
      }
      beast::error_code ignored;
      if (limits.socket_bytes > 0) {
        socket.set_option(
            asio::socket_base::send_buffer_size(limits.socket_bytes), ignored);
      }
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      socket.set_option(asio::socket_base::keep_alive(true), ignored);
      asio::co_spawn(acceptor.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  // Counts the bytes of a response until its caller has taken them.
  class Watch final : public ResponseWatch {
   public:
    Watch(ServerConnections& connections, ServerConnection& connection)
        : connections_(connections), connection_(connection) {}

    void OnWriteBegun(std::size_t bytes) override {
      connections_.SetWait(connection_, ServerWait::kTaken);
      connections_.SetBytes(connection_, bytes);
    }
    void OnWritten() override {
      connections_.SetWait(connection_, ServerWait::kHandler);
    }

   private:
    ServerConnections& connections_;
    ServerConnection& connection_;
  };

  asio::awaitable<void> Serve(asio::ip::tcp::socket socket) {
    auto self = shared_from_this();
    ServerConnection connection(std::move(socket));
    connections.Add(connection);
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
      connections.Remove(connection);
    }
  }

  // Waits until a request begins. @returns false when the connection ends
  asio::awaitable<bool> AwaitFirstByte(ServerConnection& connection) {
    if (connection.buffer.size() > 0) {
      co_return true;
    }
    if (closing) {
      co_return false;
    }
    connection.buffer.shrink_to_fit();
    connections.SetWait(connection, ServerWait::kRequest);
    if (limits.total_bytes > 0 && connection.answered) {
      connections.SetBytes(connection, UnsentBytes(connection.stream.socket()));
    }
    connection.stream.expires_after(std::chrono::milliseconds(limits.idle_ms));
    auto [failure, size] = co_await connection.stream.async_read_some(
        connection.buffer.prepare(kFirstRead), kAwait);
    connection.buffer.commit(size);
    co_return !failure && !connection.closed;
  }

  // Reads a request. While more is held of incomplete requests than the bound,
  // the oldest of them is given up.
  asio::awaitable<beast::error_code> Read(ServerConnection& connection,
                                          Parser& parser) {
    parser.eager(true);
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    connection.stream.expires_after(std::chrono::milliseconds(
        limits.request_ms > 0 ? limits.request_ms : limits.idle_ms));
    connections.SetWait(connection, ServerWait::kRest);
    beast::error_code failure;
    while (!failure && !parser.is_done() && !connection.closed) {
      auto [read_failure, size] = co_await http::async_read_some(
          connection.stream, connection.buffer, parser, kAwait);
      failure = read_failure;
      connections.SetBytes(connection, HeldBytes(connection, parser));
    }
    if (connection.closed) {
      co_return asio::error::operation_aborted;
    }
    connections.SetWait(connection, ServerWait::kHandler);
    co_return failure;
  }

  static std::size_t HeldBytes(const ServerConnection& connection,
                               const Parser& parser) {
    std::size_t bytes =
        connection.buffer.capacity() + parser.get().body().capacity();
    for (const auto& field : parser.get()) {
      bytes += kFieldBytes + field.name_string().size() + field.value().size();
    }
    return bytes;
  }

  // Reads and drops what the caller of a rejected request still sends, so that
  // the connection is not reset before the caller has read the answer.
  static asio::awaitable<void> DropRest(ServerConnection& connection) {
    beast::error_code failure;
    connection.stream.socket().shutdown(asio::socket_base::shutdown_send,
                                        failure);
    connection.stream.expires_after(kDropTime);
    std::array<char, kDropBuffer> bytes;  // NOLINT: filled by the read
    for (std::size_t dropped = 0;
         !failure && !connection.closed && dropped < kMaxDropped;) {
      const auto [read_failure, size] =
          co_await connection.stream.async_read_some(asio::buffer(bytes),
                                                     kAwait);
      failure = read_failure;
      dropped += size;
    }
  }

  // Reads one request and answers it. @returns whether to read another
  asio::awaitable<bool> ServeOne(ServerConnection& connection) {
    Parser parser;
    const beast::error_code failure = co_await Read(connection, parser);
    if (failure && !IsParseFailure(failure)) {
      co_return false;
    }
    const std::size_t bytes = HeldBytes(connection, parser);
    const bool has_room =
        limits.total_bytes == 0 || running_bytes + bytes <= limits.total_bytes;
    const RunningGuard running(running_bytes, bytes);
    Watch watch(connections, connection);
    ServerExchange exchange(connection.stream, limits, parser.release(), watch);
    if (failure || !has_room) {
      exchange.CloseAfter();
      HttpResponse response = failure ? ParseFailure(failure) : MemoryShort();
      co_await exchange.Respond(std::move(response));
      if (failure) {
        co_await DropRest(connection);
      }
      co_return false;
    }
    if (closing) {
      exchange.CloseAfter();
    }
    try {
      connection.answered = true;
      co_await handler(exchange);
    } catch (const std::exception&) {
      exchange.CloseAfter();
    }
    co_return exchange.reusable();
  }

  asio::ip::tcp::acceptor acceptor;
  HttpLimits limits;
  Handler handler;
  ServerConnections connections{limits};
  // Bytes of complete requests that run.
  std::size_t running_bytes = 0;
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
    // Connections inherit it before they are accepted.
    if (const int bytes = state_->limits.socket_bytes; bytes > 0) {
      beast::error_code ignored;
      acceptor.set_option(asio::socket_base::receive_buffer_size(bytes),
                          ignored);
    }
    acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(state_->limits.backlog, failure);
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
  state_->connections.CancelIdle();
}

std::uint32_t HttpServer::connections() const {
  return state_->connections.count();
}

std::uint64_t HttpServer::active() const {
  return state_->active.load();
}

}  // namespace jackdaw
