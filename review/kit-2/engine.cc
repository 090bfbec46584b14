#include "engine.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <stdexcept>

#include "platform/order_codec.h"
#include "platform/row_codec.h"
#include "platform/standin/platform_standin.h"
#include "platform/tables.h"
#include "platform/target_row.h"

namespace review {
namespace {

namespace asio = boost::asio;
namespace platform = jackdaw::serving::platform;

using jackdaw::HttpExchange;
using jackdaw::HttpHeader;
using jackdaw::HttpRequest;
using jackdaw::HttpResponse;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// Interval of the entry's renewal.
constexpr jackdaw::Micros kHeartbeat = 1200ms;
// Tokens of an event.
constexpr std::int64_t kStride = 3;

std::int64_t Number(std::string_view text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::int64_t EventsOf(const HttpRequest& request) {
  const std::string_view counts = request.Header("X-Token-Count");
  const std::size_t comma = counts.find(',');
  const std::int64_t tokens = comma == std::string_view::npos
                                  ? kStride
                                  : Number(counts.substr(comma + 1));
  return std::max<std::int64_t>(1, tokens / kStride);
}

}  // namespace

Engine::Engine(asio::io_context& context, Shape shape)
    : context_(context),
      shape_(std::move(shape)),
      client_(context, clock_, 1),
      server_(context, jackdaw::HttpLimits{}, [this](HttpExchange& exchange) {
        return Handle(exchange);
      }) {
  entry_.id = shape_.id;
  entry_.service = shape_.service;
  entry_.failure_domain = shape_.zone;
  entry_.slots = shape_.slots;
  entry_.born_ms = jackdaw::ToMillis(clock_.Now());
  for (const std::string& model : shape_.models) {
    entry_.models.push_back({model, 1, {}});
  }
}

void Engine::Start(const jackdaw::Endpoint& address) {
  const auto bound = server_.Listen(address);
  if (!bound) {
    throw std::runtime_error(bound.error().Line());
  }
  entry_.address = bound.value();
  asio::co_spawn(context_, Register(), asio::detached);
}

asio::awaitable<void> Engine::Pause(jackdaw::Micros span) {
  asio::steady_timer timer(context_, span);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<bool> Engine::WriteEntry() {
  platform::RowTransaction write;
  if (withdrawn_) {
    write.drops.push_back({std::string(platform::kTargetTable), "", entry_.id});
  } else {
    write.puts.push_back({{std::string(platform::kTargetTable), "", entry_.id},
                          platform::EncodeTarget(entry_)});
  }
  HttpRequest request{"POST",
                      std::string(platform::kOperatorWritePath),
                      {},
                      platform::EncodeTransaction(write)};
  writing_ = true;
  const auto answer = co_await client_.Fetch(shape_.store, std::move(request),
                                             clock_.Now() + 2s);
  writing_ = false;
  co_return answer&& answer.value().status == 200;
}

asio::awaitable<void> Engine::Register() {
  while (!withdrawn_) {
    co_await WriteEntry();
    co_await Pause(kHeartbeat);
  }
}

// Writes the entry as it is now, after a write that is under way.
asio::awaitable<std::int64_t> Engine::WriteLast() {
  while (writing_) {
    co_await Pause(1ms);
  }
  const bool written = co_await WriteEntry();
  co_return written ? jackdaw::ToMillis(clock_.Now()) : 0;
}

asio::awaitable<std::int64_t> Engine::Drain() {
  entry_.state = jackdaw::serving::TargetState::kDraining;
  return WriteLast();
}

asio::awaitable<std::int64_t> Engine::Withdraw() {
  withdrawn_ = true;
  return WriteLast();
}

void Engine::Exit() {
  exited_ = true;
  withdrawn_ = true;
  server_.StopAccepting();
  server_.CloseIdle();
}

bool Engine::Holds(std::string_view model) const {
  return std::ranges::find(shape_.models, model) != shape_.models.end();
}

std::vector<HttpHeader> Engine::Headers(const HttpRequest& request) const {
  return {{"X-Attempt-Id", std::string(request.Header("X-Attempt-Id"))},
          {"X-Server-Load",
           std::to_string(running_) + ",0," + std::to_string(shape_.slots)},
          {"Keep-Alive", "timeout=10"}};
}

asio::awaitable<void> Engine::Handle(HttpExchange& exchange) {
  if (exchange.request().Path() == "/report") {
    platform::EngineReport report;
    report.models = shape_.models;
    HttpResponse answer =
        jackdaw::JsonResponse(200, platform::EncodeReport(report));
    co_await exchange.Respond(std::move(answer));
  } else if (exchange.request().Path() == "/order") {
    // What the engine holds stays as it is: another order is under way.
    const auto order = platform::DecodeOrder(exchange.request());
    const bool holds =
        order && order.value().load && Holds(order.value().model);
    HttpResponse answer = jackdaw::JsonResponse(holds ? 200 : 409, "{}");
    co_await exchange.Respond(std::move(answer));
  } else {
    co_await Run(exchange);
  }
}

asio::awaitable<void> Engine::Run(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string attempt(request.Header("X-Attempt-Id"));
  const std::string_view expected = request.Header("X-Expected-Instance");
  const std::string_view model = request.Header("X-Model");
  int refusal = 0;
  if (attempt.empty()) {
    refusal = 400;
  } else if ((!expected.empty() && expected != shape_.id) ||
             (!model.empty() && !Holds(model))) {
    refusal = 421;
  } else if (running_ >= shape_.slots) {
    refusal = 503;
  }
  arrivals_.push_back({jackdaw::ToMillis(clock_.Now()), attempt,
                       std::string(request.Header("X-Tenant")), refusal == 0});
  if (refusal != 0) {
    HttpResponse answer{refusal, Headers(request), {}};
    answer.headers.push_back({"X-Not-Executed", "1"});
    co_await exchange.Respond(std::move(answer));
    co_return;
  }
  ++running_;
  co_await Pause(shape_.first_time);
  if (exited_) {
    cut_.push_back(attempt);
    exchange.CloseAfter();
  } else if (!model.empty()) {
    co_await Stream(exchange);
  } else {
    HttpResponse answer{200, Headers(request), "answer to " + attempt};
    answer.headers.push_back({"X-Server-Signature", "s." + shape_.id});
    co_await exchange.Respond(std::move(answer));
  }
  --running_;
}

asio::awaitable<void> Engine::Stream(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string attempt(request.Header("X-Attempt-Id"));
  HttpResponse head{200, Headers(request), {}};
  head.headers.push_back({"X-Server-Signature", "s." + shape_.id});
  head.headers.push_back({"Content-Type", "text/event-stream"});
  bool wanted = co_await exchange.BeginStream(std::move(head));
  const std::int64_t events = EventsOf(request);
  for (std::int64_t i = Number(request.Header("Last-Event-Id")) + 1;
       wanted && i <= events; ++i) {
    const std::string number = std::to_string(i);
    const std::string event =
        "id: " + number + "\ndata: " + attempt + " " + number + "\n\n";
    wanted = co_await exchange.WriteChunk(event);
    co_await Pause(shape_.gap);
  }
  if (wanted) {
    co_await exchange.EndStream();
  }
}

}  // namespace review
