#include "client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

namespace review {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

std::string Text(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

struct Client::State {
  explicit State(asio::io_context& context) : stream(context) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

Client::Client(Lab& lab, const Instance& instance)
    : lab_(lab), ip_(instance.ip), port_(instance.ports.at("entry")) {}

Client::~Client() = default;

asio::awaitable<Got> Client::Ask(Asked asked) {
  Got got;
  if (state_ == nullptr) {
    state_ = std::make_unique<State>(lab_.context());
    state_->stream.expires_after(std::chrono::seconds(1));
    auto [failure] = co_await state_->stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::make_address(ip_),
                                static_cast<std::uint16_t>(port_)),
        kAwait);
    if (failure) {
      state_.reset();
      co_return got;
    }
  }
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(asked.method);
  request.target(asked.path);
  request.set(http::field::host, "app.example");
  request.set("X-Attempt-Id", asked.attempt);
  request.set("X-Deadline-Ms", std::to_string(asked.deadline_ms));
  request.set("Authorization", "Token " + asked.key);
  if (!asked.model.empty()) {
    request.set("X-Model", asked.model);
    request.set("X-Token-Count", asked.tokens);
    request.set("X-Prompt-Prefix", "5c1e07a2:10");
  }
  request.body() = asked.body;
  request.prepare_payload();
  state_->stream.expires_after(std::chrono::milliseconds(asked.deadline_ms));
  auto [write_failure, written] =
      co_await http::async_write(state_->stream, request, kAwait);
  http::response<http::string_body> response;
  bool whole = false;
  if (!write_failure) {
    auto [read_failure, size] = co_await http::async_read(
        state_->stream, state_->buffer, response, kAwait);
    whole = !read_failure;
  }
  if (whole) {
    got.status = static_cast<int>(response.result_int());
    got.signature = Text(response["X-Server-Signature"]);
    got.attempt = Text(response["X-Attempt-Id"]);
    got.body = response.body();
  }
  if (!whole || !response.keep_alive()) {
    state_.reset();
  }
  co_return got;
}

}  // namespace review
