#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <string>

#include "core/time.h"
#include "gateway/recent_ids.h"
#include "http/endpoint.h"

namespace jackdaw::serving {

/// How a connection to a target ended.
enum class ConnectionEnd : std::uint8_t {
  /// The target closed the connection normally.
  kClosed,
  /// The connection was reset, or could not be opened.
  kBroken,
  /// The target acknowledged nothing for too long. It may still run the
  /// request.
  kTimedOut,
};

/// Receives the events of a connection while a request uses it.
class TargetConnectionUser {
 public:
  virtual ~TargetConnectionUser() = default;
  virtual void OnConnected() = 0;
  /// Returns whether received bytes may be read. If not, the connection does
  /// not read until ResumeReading is called.
  virtual bool MayReceive() = 0;
  /// Called when the connection's input buffer has new bytes.
  virtual void OnDataReceived() = 0;
  virtual void OnConnectionEnd(ConnectionEnd end) = 0;
};

/// A connection to a target that carries one request at a time. It is read
/// also while idle, so that a close, or bytes that belong to no request, are
/// noticed before the next request is sent.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  /// @param open_count number of open connections, which this one is added to
  TargetConnection(boost::asio::io_context& context,
                   std::shared_ptr<std::size_t> open_count);
  ~TargetConnection();
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  /// Opens the connection and then calls OnConnected or OnConnectionEnd.
  void Open(const Endpoint& address, TargetConnectionUser& user);
  /// Assigns the open connection to a request.
  void Attach(TargetConnectionUser& user) { user_ = &user; }
  /// Releases the connection from its request. Bytes received from now on close
  /// it.
  void Detach() { user_ = nullptr; }
  /// Sends a request. Only one send may be in progress.
  /// @param body shared with the request, which may be sent again
  void Send(std::string head, std::shared_ptr<const std::string> body);
  /// Pauses and resumes reading, for a caller that is slower than the target.
  void PauseReading() { reading_paused_ = true; }
  void ResumeReading();
  /// Closes the connection at once. The user is not called any more.
  void Close();

  boost::beast::flat_buffer& input() { return input_; }
  bool usable() const { return open_ && !closed_ && input_.size() == 0; }
  bool open() const { return open_; }
  bool sending() const { return sending_; }
  /// The connection has carried a request before.
  bool used() const { return used_; }
  void set_used() { used_ = true; }
  /// Ids of the requests that the connection has carried.
  RecentIds& request_ids() { return request_ids_; }
  Instant opened_at() const { return opened_at_; }
  void set_opened_at(Instant at) { opened_at_ = at; }
  Instant keep_until() const { return keep_until_; }
  void set_keep_until(Instant until) { keep_until_ = until; }
  Instant idle_since() const { return idle_since_; }
  void set_idle_since(Instant since) { idle_since_ = since; }

 private:
  void Read();
  void OnReadable();
  void OnFailure(const boost::system::error_code& failure);

  std::shared_ptr<std::size_t> open_count_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer input_;
  std::string output_;
  std::shared_ptr<const std::string> output_body_;
  TargetConnectionUser* user_ = nullptr;
  bool open_ = false;
  bool closed_ = false;
  bool sending_ = false;
  bool reading_ = false;
  bool reading_paused_ = false;
  bool used_ = false;
  RecentIds request_ids_;
  Instant opened_at_{};
  Instant keep_until_{};
  Instant idle_since_{};
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

}  // namespace jackdaw::serving
