#include "http/client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <vector>

#include "http/connection_watch.h"
#include "http/parse.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Largest answer body read from a server.
constexpr std::uint64_t kAnswerBodyLimit = 64ULL * 1024 * 1024;
// Bytes read ahead of the parser, at most. An answer whose head, chunk size or
// trailer does not end within them fails. The parser throws at longer fields.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;
// Informational responses before the final one, at most.
constexpr int kMaxInformational = 8;
// Body bytes taken from a connection in one read.
constexpr std::size_t kReadBytes = 16UL * 1024;
// Time to connect; a server's system accepts at once also when it is slow.
constexpr Micros kConnectTime = 2s;
// Time that an idle connection is kept.
constexpr Micros kKeptTime = 15s;
Error FromFailure(const beast::error_code& failure, const Endpoint& endpoint) {
  if (failure == beast::error::timeout) {
    return {ErrorKind::kTimeout, ToText(endpoint) + " gave no answer in time",
            "check that the process there is alive"};
  }
  if (failure == http::error::end_of_stream ||
      failure == http::error::partial_message) {
    return {ErrorKind::kTruncated, ToText(endpoint) + " closed the connection",
            "check why the process there ended"};
  }
  return {ErrorKind::kUnavailable, ToText(endpoint) + ": " + failure.message(),
          "check that the address is right and the process there alive"};
}

}  // namespace

struct HttpClient::Pool {
  // A connection that no request uses.
  struct Kept {
    std::unique_ptr<beast::tcp_stream> stream;
    Instant until;
  };

  Pool(asio::io_context& context, const MonotonicClock& clock, std::size_t kept)
      : context(context), clock(clock), kept_per_endpoint(kept) {}

  std::unique_ptr<beast::tcp_stream> Take(const Endpoint& endpoint) {
    auto& idle = kept[endpoint];
    while (!idle.empty()) {
      auto stream = std::move(idle.back().stream);
      const bool fresh = clock.Now() < idle.back().until;
      idle.pop_back();
      if (!fresh) {
        continue;
      }
      // A server that closed while idle shows as readable or as an error.
      char probe = 0;
      beast::error_code failure;
      stream->socket().non_blocking(true, failure);
      stream->socket().receive(asio::buffer(&probe, 1),
                               asio::socket_base::message_peek, failure);
      if (failure == asio::error::would_block) {
        return stream;
      }
    }
    return nullptr;
  }

  void Give(const Endpoint& endpoint,
            std::unique_ptr<beast::tcp_stream> stream) {
    auto& idle = kept[endpoint];
    if (idle.size() < kept_per_endpoint) {
      stream->expires_never();
      idle.push_back({std::move(stream), clock.Now() + kKeptTime});
    }
  }

  asio::io_context& context;
  const MonotonicClock& clock;
  std::size_t kept_per_endpoint;
  std::map<Endpoint, std::vector<Kept>> kept;
};

namespace {

template <typename Pool>
class BeastCall final : public HttpCall {
 public:
  BeastCall(std::shared_ptr<Pool> pool,
            const Endpoint& endpoint,
            HttpRequest&& request,
            Instant deadline,
            ConnectionChoice choice)
      : pool_(std::move(pool)),
        endpoint_(endpoint),
        deadline_(deadline),
        choice_(choice) {
    message_.version(11);
    message_.method_string(request.method);
    message_.target(request.target);
    if (FindHeader(request.headers, "Host").empty()) {
      message_.set(http::field::host, ToText(endpoint));
    }
    for (const auto& header : request.headers) {
      message_.insert(header.name, header.value);
    }
    message_.body() = std::move(request.body);
    message_.prepare_payload();
  }

  bool bytes_sent() const override { return bytes_sent_; }
  void SetDeadline(Instant deadline) override { deadline_ = deadline; }
  void Cancel() override {
    cancelled_ = true;
    if (stream_) {
      stream_->close();
    }
  }

  // A kept connection may be dead without a sign. Where it fails before any
  // byte of the answer, a fresh one is tried before the server is blamed.
  asio::awaitable<Result<HttpResponse>> Start() override {
    if (choice_ == ConnectionChoice::kKeptOrFresh) {
      stream_ = pool_->Take(endpoint_);
    }
    if (stream_) {
      const beast::error_code failure = co_await Exchange();
      if (!failure) {
        co_return Head();
      }
      if (cancelled_ || failure == beast::error::timeout) {
        co_return FromFailure(failure, endpoint_);
      }
      buffer_.clear();
    }
    stream_ = std::make_unique<beast::tcp_stream>(pool_->context);
    Arm(kConnectTime);
    auto [connect_failure] = co_await stream_->async_connect(endpoint_, kAwait);
    if (connect_failure) {
      co_return FromFailure(connect_failure, endpoint_);
    }
    WatchConnection(stream_->socket());
    const beast::error_code failure = co_await Exchange();
    if (failure) {
      co_return FromFailure(failure, endpoint_);
    }
    co_return Head();
  }

  asio::awaitable<Result<bool>> ReadSome(std::string& out) override {
    while (!parser_->is_done()) {
      std::array<char, kReadBytes> bytes;  // NOLINT: filled by the read
      parser_->get().body().data = bytes.data();
      parser_->get().body().size = bytes.size();
      Arm();
      auto [failure, size] =
          co_await http::async_read_some(*stream_, buffer_, *parser_, kAwait);
      out.append(bytes.data(), bytes.size() - parser_->get().body().size);
      if (failure && failure != http::error::need_buffer) {
        co_return FromFailure(failure, endpoint_);
      }
      if (parser_->get().body().size != bytes.size()) {
        co_return true;
      }
    }
    Finish();
    co_return false;
  }

 private:
  // Sends the request and reads status and headers of the answer.
  asio::awaitable<beast::error_code> Exchange() {
    bytes_sent_ = true;
    Arm();
    auto [write_failure, written] =
        co_await http::async_write(*stream_, message_, kAwait);
    if (write_failure) {
      co_return write_failure;
    }
    for (int i = 0; i <= kMaxInformational; ++i) {
      parser_.emplace();
      parser_->body_limit(kAnswerBodyLimit);
      Arm();
      auto [failure, size] =
          co_await http::async_read_header(*stream_, buffer_, *parser_, kAwait);
      if (failure) {
        co_return failure;
      }
      const auto& head = parser_->get();
      if (!IsValidStatusLine(head.result_int(), head.version())) {
        break;
      }
      if (!IsInformational(head.result_int())) {
        co_return beast::error_code();
      }
    }
    co_return http::error::bad_status;
  }

  HttpResponse Head() const {
    HttpResponse head;
    head.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get()) {
      head.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    return head;
  }

  void Arm(Micros most = Micros::max()) {
    const Micros left = deadline_ - pool_->clock.Now();
    stream_->expires_after(std::clamp(left, Micros(0), most));
  }

  void Finish() {
    if (stream_ && parser_->get().keep_alive()) {
      pool_->Give(endpoint_, std::move(stream_));
    }
    stream_.reset();
  }

  std::shared_ptr<Pool> pool_;
  Endpoint endpoint_;
  Instant deadline_;
  ConnectionChoice choice_;
  bool bytes_sent_ = false;
  bool cancelled_ = false;
  http::request<http::string_body> message_;
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<http::response_parser<http::buffer_body>> parser_;
};

}  // namespace

HttpClient::HttpClient(asio::io_context& context,
                       const MonotonicClock& clock,
                       std::size_t kept_per_endpoint)
    : pool_(std::make_shared<Pool>(context, clock, kept_per_endpoint)) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::Prepare(const Endpoint& endpoint,
                                              HttpRequest request,
                                              Instant deadline,
                                              ConnectionChoice choice) {
  return std::make_unique<BeastCall<Pool>>(pool_, endpoint, std::move(request),
                                           deadline, choice);
}

asio::awaitable<Result<std::string>> ReadBody(HttpCall& call,
                                              std::size_t max_body) {
  std::string body;
  for (;;) {
    const Result<bool> more = co_await call.ReadSome(body);
    if (!more) {
      co_return more.error();
    }
    if (!more.value()) {
      co_return body;
    }
    if (body.size() > max_body) {
      call.Cancel();
      co_return Error{
          ErrorKind::kTruncated,
          "an answer is longer than " + std::to_string(max_body) + " bytes",
          "check what the server there sends"};
    }
  }
}

asio::awaitable<Result<HttpResponse>> HttpClient::Fetch(Endpoint endpoint,
                                                        HttpRequest request,
                                                        Instant deadline,
                                                        std::size_t max_body) {
  auto call = Prepare(endpoint, std::move(request), deadline,
                      ConnectionChoice::kKeptOrFresh);
  Result<HttpResponse> head = co_await call->Start();
  if (!head) {
    co_return head.error();
  }
  Result<std::string> body = co_await ReadBody(*call, max_body);
  if (!body) {
    co_return body.error();
  }
  head.value().body = std::move(body.value());
  co_return head;
}

Result<HttpResponse> FetchNow(const Endpoint& endpoint,
                              HttpRequest request,
                              Micros limit) {
  asio::io_context context(1);
  const MonotonicClock clock;
  HttpClient client(context, clock, 0);
  Result<HttpResponse> answer = Error{};
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        answer = co_await client.Fetch(endpoint, std::move(request),
                                       clock.Now() + limit, kAnswerBodyLimit);
      },
      asio::detached);
  context.run();
  return answer;
}

}  // namespace jackdaw
