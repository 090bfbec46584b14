#include "http/server.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>

namespace jackdaw {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Bytes taken in the read that waits for a request to begin.
constexpr std::size_t kFirstRead = 4096;
// Bytes read ahead of the parser, at most. The parser throws at longer fields.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

using Parser = http::request_parser<http::string_body>;

HttpRequest ToPlain(http::request<http::string_body>&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

class BeastExchange final : public HttpExchange {
 public:
  BeastExchange(beast::tcp_stream& stream,
                const HttpLimits& limits,
                http::request<http::string_body>&& message)
      : stream_(stream),
        write_limit_(limits.write_ms),
        version_(message.version()),
        keep_alive_(message.keep_alive()),
        request_(ToPlain(std::move(message))) {}

  const HttpRequest& request() const override { return request_; }
  bool reusable() const { return ended_ && keep_alive_; }
  bool begun() const { return begun_; }
  void CloseAfter() override { keep_alive_ = false; }

  bool CallerGone() const override {
    char probe = 0;
    beast::error_code failure;
    auto& socket = stream_.socket();
    socket.non_blocking(true, failure);
    const std::size_t size = socket.receive(
        asio::buffer(&probe, 1), asio::socket_base::message_peek, failure);
    return failure ? failure != asio::error::would_block : size == 0;
  }

  asio::awaitable<bool> Respond(HttpResponse plain) override {
    http::response<http::string_body> message;
    FillHead(message, plain);
    message.body() = std::move(plain.body);
    message.prepare_payload();
    begun_ = true;
    stream_.expires_after(write_limit_);
    auto [failure, size] = co_await http::async_write(stream_, message, kAwait);
    ended_ = !failure;
    co_return !failure;
  }

  asio::awaitable<bool> BeginStream(HttpResponse head) override {
    http::response<http::empty_body> message;
    FillHead(message, head);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    begun_ = true;
    stream_.expires_after(write_limit_);
    auto [failure, size] =
        co_await http::async_write_header(stream_, serializer, kAwait);
    co_return !failure;
  }

  asio::awaitable<bool> WriteChunk(std::string_view bytes) override {
    if (bytes.empty()) {
      co_return true;
    }
    stream_.expires_after(write_limit_);
    auto chunk = http::make_chunk(asio::buffer(bytes.data(), bytes.size()));
    auto [failure, size] = co_await asio::async_write(stream_, chunk, kAwait);
    co_return !failure;
  }

  asio::awaitable<bool> EndStream() override {
    stream_.expires_after(write_limit_);
    auto last = http::make_chunk_last();
    auto [failure, size] = co_await asio::async_write(stream_, last, kAwait);
    ended_ = !failure;
    co_return !failure;
  }

 private:
  template <typename Message>
  void FillHead(Message& message, const HttpResponse& plain) {
    message.version(version_);
    message.result(static_cast<unsigned>(plain.status));
    for (const auto& header : plain.headers) {
      message.insert(header.name, header.value);
    }
    message.keep_alive(keep_alive_);
  }

  beast::tcp_stream& stream_;
  std::chrono::milliseconds write_limit_;
  unsigned version_;
  bool keep_alive_;
  bool begun_ = false;
  bool ended_ = false;
  HttpRequest request_;
};

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
      if (failure || connections >= limits.connections) {
        continue;
      }
      beast::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      socket.set_option(asio::socket_base::keep_alive(true), ignored);
      asio::co_spawn(acceptor.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket socket) {
    auto self = shared_from_this();
    ++connections;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer{kMaxUnparsedBytes};
    bool go_on = true;
    while (go_on) {
      go_on = co_await AwaitFirstByte(stream, buffer);
      if (go_on) {
        ++active;
        go_on = co_await ServeOne(stream, buffer);
        --active;
      }
    }
    beast::error_code ignored;
    stream.socket().shutdown(asio::socket_base::shutdown_send, ignored);
    --connections;
  }

  // Waits until a request begins. @returns false when the connection ends
  asio::awaitable<bool> AwaitFirstByte(beast::tcp_stream& stream,
                                       beast::flat_buffer& buffer) {
    if (buffer.size() > 0) {
      co_return true;
    }
    if (closing) {
      co_return false;
    }
    const auto place = idle.insert(idle.end(), &stream);
    stream.expires_after(std::chrono::milliseconds(limits.idle_ms));
    auto [failure, size] =
        co_await stream.async_read_some(buffer.prepare(kFirstRead), kAwait);
    idle.erase(place);
    buffer.commit(size);
    co_return !failure;
  }

  // Reads one request and answers it. @returns whether to read another
  asio::awaitable<bool> ServeOne(beast::tcp_stream& stream,
                                 beast::flat_buffer& buffer) {
    Parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    stream.expires_after(std::chrono::milliseconds(limits.idle_ms));
    auto [failure, size] =
        co_await http::async_read(stream, buffer, parser, kAwait);
    if (failure && !IsParseFailure(failure)) {
      co_return false;
    }
    BeastExchange exchange(stream, limits, parser.release());
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
  // Connections on which no request has begun.
  std::list<beast::tcp_stream*> idle;
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
  for (auto* stream : state_->idle) {
    stream->cancel();
  }
}

std::uint64_t HttpServer::active() const {
  return state_->active.load();
}

}  // namespace jackdaw
