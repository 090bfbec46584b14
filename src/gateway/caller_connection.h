#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "gateway/memory_budget.h"
#include "gateway/timer_queue.h"
#include "http/request_body.h"
#include "serving/config.h"

namespace jackdaw::serving {

class CallerConnection;

using CallerRequest = boost::beast::http::request<RequestBody>;

/// Memory and descriptors of all callers' connections.
struct CallerResources {
  explicit CallerResources(const MemoryLimits& limits) : budget(limits) {}

  MemoryBudget budget;
  /// Called when a connection is paused or more is held than the bound.
  std::function<void()> on_short;
  /// Makes room for the descriptors of one more request. Returns false if there
  /// is none.
  std::function<bool()> make_room;
  std::uint64_t requests_dropped = 0;
  std::uint64_t connections_closed = 0;
  std::uint64_t unread_dropped = 0;
};

/// A request in progress on a caller's connection.
class CallerTask {
 public:
  virtual ~CallerTask() = default;
  /// Called when the connection has ended before the response.
  /// @param why reason in a few words, for the log
  virtual void OnCallerDisconnected(std::string_view why) = 0;
  /// Called when the last write has completed and the next one may start.
  virtual void OnWriteComplete() = 0;
  /// Called when there is room for more of the response after MayReceive denied
  /// it.
  virtual void OnRoom() = 0;
  /// Called when the instance shuts down. Sends the caller a final response, or
  /// aborts the response if it has started.
  virtual void OnShutdown() = 0;
};

/// Starts a task for each request and supplies the limits of connections.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  /// Starts handling a request that has been read completely.
  /// @param started_at time at which the request's first byte was read
  virtual std::shared_ptr<CallerTask> StartTask(
      std::shared_ptr<CallerConnection> connection,
      CallerRequest request,
      Instant started_at) = 0;
  virtual CallerLimits limits() const = 0;
  /// Whether connections are closed after their next response.
  virtual bool closing() const = 0;
  /// Descriptors that are open besides those of the callers' connections.
  virtual std::size_t other_descriptors() const { return 0; }
};

/// A caller's connection. It handles one request at a time and reads each one
/// completely before it starts the request's task. If the caller closes the
/// connection while a task runs, the task is notified at once.
///
/// While a task runs, the bytes that follow its request are read ahead. No
/// operation in progress holds a part of the input buffer: the connection waits
/// until the socket has bytes and only then reads what is there, so that the
/// buffer may change in between.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   CallerHandler& handler,
                   TimerQueue& timers,
                   const MonotonicClock& clock,
                   std::shared_ptr<CallerResources> resources);
  ~CallerConnection();

  void Start();
  /// Writes bytes of a response after all that were written before.
  /// OnWriteComplete reports when there is nothing left to write.
  void Write(std::string bytes);
  /// Lets the end of the connection mark the end of the response. Until the
  /// response is complete, whatever closes the connection resets it, the end of
  /// the process included, so that the caller cannot take it for that mark.
  void EndWithConnection();
  /// Marks the response as complete.
  /// @param keep_open whether the connection may carry another request
  void EndResponse(bool keep_open);
  /// Closes the connection without ending the response, so that the caller
  /// cannot take a truncated response for a complete one.
  void Abort();
  /// Ends a request in progress because the instance shuts down.
  void EndTask();
  /// Closes the connection if no request is in progress.
  void CloseIfIdle();
  /// Gives up an incomplete request, or a response that the caller does not
  /// read, because memory is short. A request whose head was read is refused
  /// with 503: it has not run.
  void GiveUp();
  /// Closes a connection without a running request, because descriptors or
  /// memory are short.
  void Evict();
  /// Reads what has arrived, if the memory budget permits it now.
  void Resume();
  /// Returns whether the task may read more of the response. If not, OnRoom is
  /// called later.
  bool MayReceive();
  /// Lets the task read on, if there is room now.
  void ResumeTask();
  /// Whether the task may hold the response back until it is complete.
  bool MayHoldBack() const { return resources_->budget.MayHoldBack(); }
  /// Lets a paused connection end with its last owner, because nobody resumes
  /// it any more.
  void ReleaseIfPaused() { paused_self_.reset(); }
  /// Sets the bytes of the response that the task holds.
  void SetResponseBytes(std::size_t bytes);
  /// Returns the bytes of responses that were written since the start.
  std::uint64_t written_bytes() const { return written_total_; }
  MemoryBudget::Id id() const { return id_; }

  /// Whether a request is in progress, or its response has not yet reached the
  /// caller.
  bool busy() const {
    return !closed_ && (task_ != nullptr || writing_ || lingering_);
  }
  /// Whether bytes of the next request have been read.
  bool has_read_ahead() const { return input_.size() > 0; }
  std::string peer() const;

 private:
  static constexpr std::string_view kCallerClosed =
      "caller closed the connection";
  static constexpr std::string_view kCallerFailed =
      "the caller's connection failed";

  /// Unparsed bytes that are read.
  static constexpr std::size_t kMaxReadAhead = 64UL * 1024;
  /// Bytes read from a connection on which no request has begun.
  static constexpr std::size_t kFirstReadBytes = 4UL * 1024;

  using Parser = boost::beast::http::request_parser<RequestBody>;

  void BeginRequest();
  void AwaitInput();
  void OnReadable();
  bool ReadAvailable(std::size_t most = kFirstReadBytes);
  void Parse();
  void OnRequest();
  void Reject(int status, std::string_view kind);
  std::size_t MayRead();
  void Widen();
  void CountHead();
  void Account();
  void WriteSome();
  std::size_t KernelRoom();
  void AwaitWritable();
  void SetIdleDeadline();
  void OnIdle();
  void WritePending();
  void OnWritten(const boost::system::error_code& failure);
  void PrepareNextRequest();
  void SetResetOnClose(bool reset);
  void BeginLinger();
  void DiscardInput();
  void Close(std::string_view why);

  boost::asio::ip::tcp::socket socket_;
  CallerHandler& handler_;
  TimerQueue& timers_;
  const MonotonicClock& clock_;
  std::shared_ptr<CallerResources> resources_;
  MemoryBudget::Id id_;
  /// Bytes of the complete request.
  std::size_t request_bytes_ = 0;
  std::size_t response_bytes_ = 0;
  /// Bytes of the head that were parsed, those at the last count of its memory,
  /// and that memory.
  std::size_t head_parsed_ = 0;
  std::size_t head_counted_ = 0;
  std::size_t head_bytes_ = 0;
  bool head_counted_complete_ = false;
  boost::beast::flat_buffer input_;
  std::optional<Parser> parser_;
  std::shared_ptr<CallerTask> task_;
  /// Bytes of the write in progress.
  std::string output_;
  /// Bytes of output_ that were written.
  std::size_t written_ = 0;
  std::uint64_t written_total_ = 0;
  /// Bytes that the kernel held for the caller when they were last counted, and
  /// those written since.
  std::size_t kernel_bytes_ = 0;
  /// The kernel's buffers are large.
  bool wide_ = false;
  /// The caller does not read what is to be written.
  bool write_blocked_ = false;
  /// Bytes to write after those.
  std::string pending_output_;
  /// Deadline of the connection's wait for bytes of the caller.
  TimerQueue::Handle read_deadline_;
  TimerQueue::Handle write_deadline_;
  Instant idle_since_{};
  Instant started_at_{};
  std::size_t discarded_bytes_ = 0;
  bool awaiting_input_ = false;
  /// Keeps the connection while it is paused: no operation in progress owns it.
  std::shared_ptr<CallerConnection> paused_self_;
  bool writing_ = false;
  bool closed_ = false;
  /// The connection has sent its last response and waits for the caller's end.
  bool lingering_ = false;
  bool response_ended_ = false;
  bool keep_open_ = true;
  bool ends_with_connection_ = false;
  bool continue_sent_ = false;
};

}  // namespace jackdaw::serving
