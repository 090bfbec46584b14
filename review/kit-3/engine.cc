#include "engine.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/json.hpp>

#include "platform/tables.h"

namespace review {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Interval at which the engine writes its entry.
constexpr jackdaw::Micros kHeartbeat = 1200ms;

std::string Text(int status, std::string_view fields, std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  text += std::string_view(reason.data(), reason.size());
  text += "\r\n";
  text += fields;
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

std::string Field(const EngineRequest& request, const char* name) {
  const auto value = request[name];
  return std::string(value.data(), value.size());
}

}  // namespace

Engine::Engine(Lab& lab, Shape shape) : lab_(lab), shape_(std::move(shape)) {
  models_ = {shape_.models.begin(), shape_.models.end()};
}

std::string Engine::BodyOf(std::string_view attempt) const {
  return "{\"answer to\":\"" + std::string(attempt) + "\"}";
}

void Engine::Start() {
  const asio::ip::tcp::endpoint at(
      asio::ip::make_address(lab_.Address(shape_.number)), address_.port());
  // The accept of the incarnation before has ended, but not yet returned.
  acceptor_ = std::make_shared<asio::ip::tcp::acceptor>(lab_.context(), at);
  address_ = acceptor_->local_endpoint();
  up_ = true;
  born_ms_ = lab_.UnixMs();
  asio::co_spawn(lab_.context(), Accept(), asio::detached);
  asio::co_spawn(lab_.context(), Register(), asio::detached);
}

void Engine::Crash() {
  up_ = false;
  acceptor_->close();
  for (const auto& connection : connections_) {
    boost::system::error_code ignored;
    connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    connection->socket.close(ignored);
  }
  connections_.clear();
  // A restart finds nothing of before.
  sequence_ = 0;
  fence_ = 0;
  busy_ = false;
  cut_.insert(cut_.end(), running_.begin(), running_.end());
  running_.clear();
  models_.clear();
}

Task Engine::Accept() {
  const std::shared_ptr<asio::ip::tcp::acceptor> acceptor = acceptor_;
  for (;;) {
    auto [failure, socket] = co_await acceptor->async_accept(kAwait);
    if (failure) {
      co_return;
    }
    auto connection = std::make_shared<EngineConnection>(std::move(socket));
    connections_.insert(connection);
    asio::co_spawn(lab_.context(), Serve(connection), asio::detached);
  }
}

Task Engine::Serve(std::shared_ptr<EngineConnection> connection) {
  boost::beast::flat_buffer buffer;
  while (connection->socket.is_open()) {
    EngineRequest request;
    auto [failure, size] =
        co_await http::async_read(connection->socket, buffer, request, kAwait);
    if (failure || !connection->socket.is_open()) {
      break;
    }
    ++connection->requests;
    co_await Answer(connection, request);
  }
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  connections_.erase(connection);
}

Task Engine::Send(std::shared_ptr<EngineConnection> connection,
                  std::string bytes) {
  co_await asio::async_write(connection->socket, asio::buffer(bytes), kAwait);
}

Task Engine::Answer(std::shared_ptr<EngineConnection> connection,
                    const EngineRequest& request) {
  const std::string path(request.target().data(), request.target().size());
  if (path == "/report") {
    co_await Send(connection,
                  Text(200, "Content-Type: application/json\r\n", Report()));
  } else if (path == "/order") {
    co_await TakeOrder(connection, request);
  } else if (path == "/healthz") {
    co_await Send(connection,
                  Text(200, "X-Instance-Id: " + shape_.id + "\r\n", ""));
  } else {
    co_await Run(connection, request);
  }
}

Task Engine::Run(std::shared_ptr<EngineConnection> connection,
                 const EngineRequest& request) {
  const std::string attempt = Field(request, "X-Attempt-Id");
  const std::string model = Field(request, "X-Model");
  const std::string expected = Field(request, "X-Expected-Instance");
  const std::string echo = "X-Attempt-Id: " + attempt + "\r\n";
  if (connection->owes_stray_bytes) {
    connection->owes_stray_bytes = false;
    ++strays_;
    lab_.Note(shape_.id + " sends stray bytes where the answer to " + attempt +
              " is expected");
    co_await Send(connection, stray_bytes);
  }
  const bool other = !expected.empty() && expected != shape_.id;
  if (other || (!model.empty() && !models_.contains(model))) {
    co_await Send(connection, Text(421, echo + "X-Not-Executed: 1\r\n", ""));
    co_return;
  }
  ++runs_[attempt];
  if (is_deadly && is_deadly(attempt, request.body())) {
    Crash();
    co_return;
  }
  running_.insert(attempt);
  const std::int64_t born = born_ms_;
  co_await lab_.Pause(shape_.work);
  if (born != born_ms_ || !up_) {
    co_return;
  }
  running_.erase(attempt);
  const std::string fields =
      echo + "X-Server-Signature: s." + shape_.id + "." + attempt +
      "\r\nX-Server-Load: " + std::to_string(running_.size()) + ",0," +
      std::to_string(shape_.slots) + "\r\nKeep-Alive: timeout=10\r\n";
  if (model.empty()) {
    connection->owes_stray_bytes = garbles && garbles();
    co_await Send(connection, Text(200, fields, BodyOf(attempt)));
    co_return;
  }
  co_await Send(connection,
                Text(200, fields + "Content-Type: text/event-stream\r\n",
                     "id: 1\ndata: " + attempt + "\n\n"));
}

Task Engine::TakeOrder(std::shared_ptr<EngineConnection> connection,
                       const EngineRequest& request) {
  boost::system::error_code failure;
  const json::value body = json::parse(request.body(), failure);
  int status = 400;
  if (!failure && body.is_object() &&
      body.get_object().contains("fencing-token") &&
      body.get_object().contains("holder")) {
    const json::object& fields = body.get_object();
    Order order;
    order.load = fields.at("op").as_string() == "load";
    order.model = fields.at("model").as_string().c_str();
    if (const auto* adapter = fields.if_contains("adapter")) {
      order.adapter = adapter->as_string().c_str();
    }
    if (const auto* expected = fields.if_contains("precondition")) {
      order.precondition = expected->to_number<std::int64_t>();
    }
    order.fencing_token = fields.at("fencing-token").to_number<std::int64_t>();
    order.holder = fields.at("holder").as_string().c_str();
    const std::string expected = Field(request, "X-Expected-Instance");
    if (!expected.empty() && expected != shape_.id) {
      status = 421;
    } else if (order_is_late && order_is_late(order)) {
      lab_.Note(shape_.id + " leaves an order unanswered: " +
                (order.load ? "load " : "unload ") + order.model +
                " precondition " + std::to_string(order.precondition) +
                " X-Expected-Instance " + expected);
      asio::co_spawn(lab_.context(), CarryOutLate(order), asio::detached);
      if (on_late_order) {
        on_late_order(order);
      }
      // No answer. The sender gives up, or the engine ends.
      co_await lab_.Pause(std::chrono::hours(1));
      co_return;
    } else {
      status = CarryOut(order);
      lab_.Note(shape_.id + " answers " + std::to_string(status) + " to " +
                (order.load ? "load " : "unload ") + order.model + "/" +
                order.adapter + " precondition " +
                std::to_string(order.precondition) + " token " +
                std::to_string(order.fencing_token) + " of " + order.holder);
    }
  }
  co_await Send(connection,
                Text(status, "Content-Type: application/json\r\n", "{}"));
}

Task Engine::CarryOutLate(Order order) {
  co_await lab_.Pause(late_by);
  if (!up_) {
    lab_.Note(shape_.id + " is down when the late order is due");
    co_return;
  }
  const std::int64_t sequence = sequence_;
  const int status = CarryOut(order);
  lab_.Note(shape_.id + " carries out the late order to load " + order.model +
            ": sequence is " + std::to_string(sequence) + ", outcome " +
            std::to_string(status));
}

// @returns the status of the answer
int Engine::CarryOut(const Order& order) {
  if (order.fencing_token < fence_) {
    return 412;
  }
  fence_ = order.fencing_token;
  if (busy_ || (order.precondition >= 0 && order.precondition != sequence_)) {
    return 409;
  }
  if (!order.adapter.empty()) {
    return 400;
  }
  if (models_.contains(order.model) == order.load) {
    return 200;
  }
  ++sequence_;
  if (!order.load) {
    models_.erase(order.model);
    return 202;
  }
  const double size = shape_.model_mb * static_cast<double>(models_.size() + 1);
  if (size > shape_.weights_mb) {
    std::string held;
    for (const std::string& model : models_) {
      held += " " + model;
    }
    lab_.Note(shape_.id + " holds" + held + " and is ordered to load " +
              order.model + ": " + std::to_string(size) + " of " +
              std::to_string(shape_.weights_mb) + " MB; it crashes");
    overloads_.push_back(order.model);
    Crash();
    return 202;
  }
  busy_ = true;
  asio::co_spawn(lab_.context(), Load(order, born_ms_), asio::detached);
  return 202;
}

Task Engine::Load(Order order, std::int64_t born_ms) {
  co_await lab_.Pause(shape_.load_time);
  if (up_ && born_ms == born_ms_) {
    models_.insert(order.model);
    busy_ = false;
    // An entry that changes is written at once.
    co_await lab_.Write(std::string(jackdaw::serving::platform::kTargetTable),
                        shape_.id, Entry());
  }
}

Task Engine::Register() {
  const std::int64_t born = born_ms_;
  while (up_ && born == born_ms_) {
    co_await lab_.Write(std::string(jackdaw::serving::platform::kTargetTable),
                        shape_.id, Entry());
    co_await lab_.Pause(kHeartbeat);
  }
}

std::string Engine::Entry() const {
  json::array models;
  for (const std::string& model : models_) {
    models.push_back({{"name", model}, {"version", 1}, {"adapters", {}}});
  }
  return json::serialize(json::value{{"service", shape_.service},
                                     {"address", jackdaw::ToText(address_)},
                                     {"zone", shape_.zone},
                                     {"version", "1"},
                                     {"born", born_ms_},
                                     {"slots", shape_.slots},
                                     {"state", "ready"},
                                     {"cold-remaining-ms", 0},
                                     {"sequence", sequence_},
                                     {"stage", "both"},
                                     {"models", std::move(models)}});
}

std::string Engine::Report() const {
  json::array models;
  for (const std::string& model : models_) {
    models.push_back({{"name", model}, {"version", 1}, {"adapters", {}}});
  }
  return json::serialize(json::value{{"stage", "both"},
                                     {"models", std::move(models)},
                                     {"busy", busy_},
                                     {"sequence", sequence_},
                                     {"born", born_ms_},
                                     {"queued", 0},
                                     {"active", running_.size()},
                                     {"kv-used", 0},
                                     {"kv-total", 100000},
                                     {"handles", 0}});
}

}  // namespace review
