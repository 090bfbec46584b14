#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "gateway/deadline_queue.h"
#include "serving/config.h"

namespace jackdaw::serving {

class CallerConnection;

using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// A request under way on a caller's connection.
class CallerTask {
 public:
  virtual ~CallerTask() = default;
  /// The caller has closed its connection or it broke.
  virtual void OnCallerDisconnected() = 0;
  /// What was written has left, and more may be written.
  virtual void OnWriteComplete() = 0;
  /// The instance ends: the caller gets its final answer now.
  virtual void OnShutdown() = 0;
};

/// Starts a task for each request.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  /// @param began moment at which the request's first byte was read
  virtual std::shared_ptr<CallerTask> StartTask(
      std::shared_ptr<CallerConnection> connection,
      CallerRequest request,
      Instant started_at) = 0;
  virtual CallerLimits limits() const = 0;
  /// Whether connections are to be closed with the next answer.
  virtual bool closing() const = 0;
};

/// A caller's connection: one request after the other, each read whole before
/// its task begins. While a task runs, a close by the caller ends it at once.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   CallerHandler& handler,
                   DeadlineQueue& deadlines,
                   const MonotonicClock& clock);
  ~CallerConnection();

  void Start();
  /// Sends bytes of an answer, one call at a time; OnWriteComplete follows.
  void Write(std::string bytes);
  /// The answer is whole; `keep` says whether the connection goes on.
  void EndResponse(bool keep_open);
  /// Closes without ending the answer, so that it cannot look whole.
  void Abort();
  /// Ends a request that is under way with its final answer.
  void EndTask();
  /// Closes the connection if no request is under way.
  void CloseIfIdle();

  /// A request is under way, or its answer has not left yet.
  bool busy() const { return !closed_ && (task_ != nullptr || writing_); }
  std::string peer() const;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void BeginRequest();
  void Read();
  void OnRead(const boost::system::error_code& failure, std::size_t size);
  void Parse();
  void OnRequest();
  void Reject(int status, std::string_view kind);
  void SetIdleDeadline();
  void PrepareNextRequest();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  CallerHandler& handler_;
  DeadlineQueue& deadlines_;
  const MonotonicClock& clock_;
  boost::beast::flat_buffer input_;
  std::optional<Parser> parser_;
  std::shared_ptr<CallerTask> task_;
  std::string output_;
  DeadlineQueue::Handle deadline_;
  Instant started_at_{};
  bool reading_ = false;
  bool writing_ = false;
  bool closed_ = false;
  bool response_ended_ = false;
  bool keep_open_ = true;
  bool continue_sent_ = false;
};

}  // namespace jackdaw::serving
