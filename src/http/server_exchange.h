#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/request_body.h"
#include "http/server.h"

namespace jackdaw {

/// Learns of the bytes that wait to be taken by a caller.
class ResponseWatch {
 public:
  virtual ~ResponseWatch() = default;
  virtual void OnWriteBegun(std::size_t bytes) = 0;
  virtual void OnWritten() = 0;
};

/// A request on a connection of HttpServer, and the way to answer it.
class ServerExchange final : public HttpExchange {
 public:
  using Message = boost::beast::http::request<RequestBody>;

  ServerExchange(boost::beast::tcp_stream& stream,
                 const HttpLimits& limits,
                 Message&& message,
                 ResponseWatch& watch)
      : stream_(stream),
        watch_(watch),
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
    boost::beast::error_code failure;
    auto& socket = stream_.socket();
    socket.non_blocking(true, failure);
    const std::size_t size =
        socket.receive(boost::asio::buffer(&probe, 1),
                       boost::asio::socket_base::message_peek, failure);
    return failure ? failure != boost::asio::error::would_block : size == 0;
  }

  boost::asio::awaitable<bool> Respond(HttpResponse plain) override {
    boost::beast::http::response<boost::beast::http::string_body> message;
    FillHead(message, plain);
    message.body() = std::move(plain.body);
    message.prepare_payload();
    begun_ = true;
    stream_.expires_after(write_limit_);
    watch_.OnWriteBegun(message.body().capacity());
    auto [failure, size] =
        co_await boost::beast::http::async_write(stream_, message, kAwait);
    watch_.OnWritten();
    ended_ = !failure;
    co_return !failure;
  }

  boost::asio::awaitable<bool> BeginStream(HttpResponse head) override {
    boost::beast::http::response<boost::beast::http::empty_body> message;
    FillHead(message, head);
    message.chunked(true);
    boost::beast::http::response_serializer<boost::beast::http::empty_body>
        serializer(message);
    begun_ = true;
    stream_.expires_after(write_limit_);
    auto [failure, size] = co_await boost::beast::http::async_write_header(
        stream_, serializer, kAwait);
    co_return !failure;
  }

  boost::asio::awaitable<bool> WriteChunk(std::string_view bytes) override {
    if (bytes.empty()) {
      co_return true;
    }
    stream_.expires_after(write_limit_);
    auto chunk = boost::beast::http::make_chunk(
        boost::asio::buffer(bytes.data(), bytes.size()));
    watch_.OnWriteBegun(bytes.size());
    auto [failure, size] =
        co_await boost::asio::async_write(stream_, chunk, kAwait);
    watch_.OnWritten();
    co_return !failure;
  }

  boost::asio::awaitable<bool> EndStream() override {
    stream_.expires_after(write_limit_);
    auto last = boost::beast::http::make_chunk_last();
    auto [failure, size] =
        co_await boost::asio::async_write(stream_, last, kAwait);
    ended_ = !failure;
    co_return !failure;
  }

 private:
  static constexpr auto kAwait =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  static HttpRequest ToPlain(Message&& message);
  template <typename Message>
  void FillHead(Message& message, const HttpResponse& plain) {
    message.version(version_);
    message.result(static_cast<unsigned>(plain.status));
    for (const auto& header : plain.headers) {
      message.insert(header.name, header.value);
    }
    message.keep_alive(keep_alive_);
  }

  boost::beast::tcp_stream& stream_;
  ResponseWatch& watch_;
  std::chrono::milliseconds write_limit_;
  unsigned version_;
  bool keep_alive_;
  bool begun_ = false;
  bool ended_ = false;
  HttpRequest request_;
};

inline HttpRequest ServerExchange::ToPlain(Message&& message) {
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

}  // namespace jackdaw
