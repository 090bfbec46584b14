#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lab.h"

namespace review {

using EngineRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// One connection of an engine.
struct EngineConnection {
  explicit EngineConnection(boost::asio::ip::tcp::socket socket)
      : socket(std::move(socket)) {}

  boost::asio::ip::tcp::socket socket;
  /// Requests that it has carried.
  int requests = 0;
  /// Bytes that belong to no request are due on it.
  bool owes_stray_bytes = false;
};

/// An engine as the pages describe it: it registers itself in the store, runs
/// requests and carries out orders. Faults are set by its members.
class Engine {
 public:
  struct Shape {
    std::string id;
    std::string service;
    std::string zone;
    int number = 0;
    std::vector<std::string> models;
    int slots = 64;
    /// Time for which a request runs.
    jackdaw::Micros work{30'000};
    /// Size of each model and room for all of them; 0 for a plain engine.
    double model_mb = 0;
    double weights_mb = 0;
    jackdaw::Micros load_time{500'000};
  };

  /// An order as it was received.
  struct Order {
    bool load = false;
    std::string model;
    std::string adapter;
    std::int64_t precondition = -1;
    std::int64_t fencing_token = 0;
    std::string holder;
  };

  Engine(Lab& lab, Shape shape);

  /// Starts the engine: a new incarnation under the same id and address.
  void Start();
  /// Ends it as a crash does: all its connections are reset.
  void Crash();
  bool up() const { return up_; }
  const std::string& id() const { return shape_.id; }

  /// Decides, for each answer to a request, whether stray bytes follow it at
  /// the point where the next answer on the connection is expected.
  std::function<bool()> garbles;
  std::string stray_bytes;
  /// Decides whether an order gets no answer and is carried out later.
  std::function<bool(const Order&)> order_is_late;
  jackdaw::Micros late_by{0};
  /// Decides whether a request crashes the engine as it begins to run.
  std::function<bool(const std::string& attempt, const std::string& body)>
      is_deadly;
  /// Called after a late order was received.
  std::function<void(const Order&)> on_late_order;

  /// Requests that ran, by attempt id.
  const std::map<std::string, int>& runs() const { return runs_; }
  /// Attempts that ran as the engine crashed.
  const std::vector<std::string>& cut() const { return cut_; }
  /// Orders that would have loaded more than the engine holds.
  const std::vector<std::string>& overloads() const { return overloads_; }
  /// Body of the answer to an attempt.
  std::string BodyOf(std::string_view attempt) const;
  const std::set<std::string>& models() const { return models_; }
  int strays() const { return strays_; }

 private:
  Task Accept();
  Task Serve(std::shared_ptr<EngineConnection> connection);
  Task Register();
  Task Answer(std::shared_ptr<EngineConnection> connection,
              const EngineRequest& request);
  Task Run(std::shared_ptr<EngineConnection> connection,
           const EngineRequest& request);
  Task TakeOrder(std::shared_ptr<EngineConnection> connection,
                 const EngineRequest& request);
  Task CarryOutLate(Order order);
  Task Load(Order order, std::int64_t born_ms);
  int CarryOut(const Order& order);
  Task Send(std::shared_ptr<EngineConnection> connection, std::string bytes);
  std::string Entry() const;
  std::string Report() const;

  Lab& lab_;
  Shape shape_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  boost::asio::ip::tcp::endpoint address_;
  std::set<std::shared_ptr<EngineConnection>> connections_;
  bool up_ = false;
  std::int64_t born_ms_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  bool busy_ = false;
  std::set<std::string> models_;
  std::map<std::string, int> runs_;
  std::vector<std::string> overloads_;
  std::set<std::string> running_;
  std::vector<std::string> cut_;
  int strays_ = 0;
};

}  // namespace review
