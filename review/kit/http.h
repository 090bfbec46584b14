#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field of that name, or an empty string.
std::string FindField(const Headers& headers, std::string_view name);

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  std::string Path() const;
  /// Returns a decoded parameter of the query, or an empty string.
  std::string Query(std::string_view name) const;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

/// An IPv4 address and port.
struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// Returns an address of that IP number with a port that is free now.
Address FreeAddress(const std::string& ip);

/// A connection over which whole messages are read and written.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects. @returns null if there is no connection in time
  static std::unique_ptr<Connection> Open(const Address& address,
                                          std::chrono::milliseconds limit);

  bool Write(std::string_view bytes);
  std::optional<Request> ReadRequest();
  std::optional<Response> ReadResponse();
  /// Limits the time of each read from now on.
  void SetReadLimit(std::chrono::milliseconds limit);
  /// Ends the connection with a reset.
  void Reset();
  int fd() const { return fd_; }

 private:
  bool FillUntil(std::string_view mark, std::size_t& end);
  bool ReadHead(std::string& first_line, Headers& headers);
  bool ReadBody(const Headers& headers, std::string& body);

  int fd_;
  std::string input_;
};

std::string Encode(const Response& response);
std::string Encode(const Request& request);

/// Serves each connection in a thread of its own.
class Server {
 public:
  /// Answers a request, or returns nothing: the connection then stays open
  /// without an answer until its client closes it.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  Server(const Address& address, Handler handler);
  ~Server();

  const Address& address() const { return address_; }
  /// Closes all connections with a reset.
  void ResetConnections();

 private:
  void Accept();
  void Serve(int fd);

  Address address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> ending_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace review
