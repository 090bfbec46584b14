// Responses on a caller's connection, and the connection's end.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include "core/log.h"
#include "gateway/caller_connection.h"

namespace jackdaw::serving {
namespace {

// Time for one write; a caller that reads too slowly is disconnected.
constexpr Micros kWriteTimeout = 20s;
// Time and bytes for which a connection is read after its last response. A
// close with unread bytes resets the connection, and a reset may destroy the
// response on its way.
constexpr Micros kLingerTime = 2s;
constexpr std::size_t kMaxDiscardedBytes = 4UL * 1024 * 1024;
// Bytes that the kernel holds for a caller that does not read. A write may add
// as many once more.
constexpr std::size_t kMaxUnsent = 8UL * 1024;
constexpr std::size_t kMaxUnsentWide = 64UL * 1024;

}  // namespace

void CallerConnection::Write(std::string bytes) {
  if (closed_) {
    return;
  }
  if (pending_output_.empty()) {
    pending_output_ = std::move(bytes);
  } else {
    pending_output_ += bytes;
  }
  WritePending();
}

void CallerConnection::WritePending() {
  if (writing_) {
    return;
  }
  output_ = std::exchange(pending_output_, {});
  written_ = 0;
  writing_ = true;
  if (output_.size() > kMaxUnsent) {
    Widen();
  }
  Account();
  timers_.Set(write_deadline_, clock_.Now() + kWriteTimeout,
              [this] { Close("caller reads too slowly"); });
  WriteSome();
}

// Returns the bytes that may be written now. The kernel would take more for a
// caller that does not read, so its queue is counted each time that so many
// have been written.
std::size_t CallerConnection::KernelRoom() {
  const std::size_t most = wide_ ? kMaxUnsentWide : kMaxUnsent;
  if (kernel_bytes_ >= most) {
    int queued = 0;
    // Where the system does not tell, its own bound of the queue decides.
    if (::ioctl(socket_.native_handle(), SIOCOUTQ, &queued) != 0) {
      queued = 0;
    }
    kernel_bytes_ = static_cast<std::size_t>(queued);
  }
  return kernel_bytes_ >= most ? 0 : most;
}

// Writes until all of output_ is written. A caller that leaves a part of it
// unread is known to the memory budget.
void CallerConnection::WriteSome() {
  boost::system::error_code failure;
  while (!failure && written_ < output_.size()) {
    const std::size_t room = KernelRoom();
    if (room == 0) {
      break;
    }
    const std::size_t size = socket_.write_some(
        boost::asio::buffer(boost::asio::buffer(output_) + written_, room),
        failure);
    written_ += size;
    written_total_ += size;
    kernel_bytes_ += size;
    resources_->budget.OnProgress(id_, size, clock_.Now());
  }
  if (failure == boost::asio::error::would_block) {
    failure = {};
  }
  write_blocked_ = !failure && written_ < output_.size();
  resources_->budget.SetWriteBlocked(id_, write_blocked_, clock_.Now());
  if (write_blocked_) {
    AwaitWritable();
    return;
  }
  boost::asio::post(
      socket_.get_executor(),
      [self = shared_from_this(), failure] { self->OnWritten(failure); });
}

// Waits until the kernel has sent a part of what it holds.
void CallerConnection::AwaitWritable() {
  socket_.async_wait(
      boost::asio::socket_base::wait_write,
      [self = shared_from_this()](const boost::system::error_code& failure) {
        if (failure || self->closed_) {
          self->OnWritten(failure);
          return;
        }
        self->kernel_bytes_ = 0;
        self->WriteSome();
      });
}

void CallerConnection::OnWritten(const boost::system::error_code& failure) {
  writing_ = false;
  if (closed_) {
    return;
  }
  timers_.Clear(write_deadline_);
  output_ = {};
  Account();
  if (failure) {
    Close(kCallerFailed);
  } else if (!pending_output_.empty()) {
    WritePending();
  } else if (response_ended_) {
    PrepareNextRequest();
  } else if (task_ != nullptr) {
    task_->OnWriteComplete();
  }
}

void CallerConnection::SetResetOnClose(bool reset) {
  boost::system::error_code failure;
  socket_.set_option(boost::asio::socket_base::linger(reset, 0), failure);
  if (failure) {
    Log(LogLevel::kWarn, "linger_not_set",
        {{"caller", peer()}, {"error", failure.message()}});
  }
}

void CallerConnection::EndWithConnection() {
  ends_with_connection_ = true;
  keep_open_ = false;
  SetResetOnClose(true);
}

void CallerConnection::EndResponse(bool keep_open) {
  keep_open_ = keep_open_ && keep_open;
  response_ended_ = true;
  task_.reset();
  request_bytes_ = 0;
  head_bytes_ = 0;
  response_bytes_ = 0;
  Account();
  if (!writing_) {
    PrepareNextRequest();
  }
}

// Ends the connection, or prepares it for the next request, part of which may
// have been read already.
void CallerConnection::PrepareNextRequest() {
  response_ended_ = false;
  if (closed_) {
    return;
  }
  if (!keep_open_) {
    if (ends_with_connection_) {
      ends_with_connection_ = false;
      SetResetOnClose(false);
    }
    BeginLinger();
    return;
  }
  BeginRequest();
  Parse();
  AwaitInput();
}

// Marks the end of the responses, then reads until the caller has closed the
// connection too.
void CallerConnection::BeginLinger() {
  if (has_read_ahead()) {
    Log(LogLevel::kInfo, "requests_not_read",
        {{"caller", peer()},
         {"bytes", std::to_string(input_.size())},
         {"reason", "the connection ends with the response before"}});
  }
  lingering_ = true;
  resources_->budget.OnEnding(id_);
  boost::system::error_code failure;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, failure);
  if (failure) {
    Close(kCallerClosed);
    return;
  }
  timers_.Set(read_deadline_, clock_.Now() + kLingerTime,
              [this] { Close("caller keeps the connection"); });
  DiscardInput();
  AwaitInput();
}

void CallerConnection::DiscardInput() {
  discarded_bytes_ += input_.size();
  input_.consume(input_.size());
  if (discarded_bytes_ > kMaxDiscardedBytes) {
    Close("caller goes on sending");
  }
}

void CallerConnection::Abort() {
  task_.reset();
  Close("response broken off");
}

void CallerConnection::EndTask() {
  if (const auto task = task_) {
    task->OnShutdown();
  }
}

void CallerConnection::CloseIfIdle() {
  const bool idle =
      task_ == nullptr && !response_ended_ && started_at_ == Instant{};
  if (!idle || lingering_ || !ReadAvailable()) {
    return;
  }
  if (has_read_ahead()) {
    Parse();
  } else {
    Close("the instance ends");
  }
}

void CallerConnection::GiveUp() {
  const auto self = std::move(paused_self_);
  if (closed_) {
    return;
  }
  if (task_ == nullptr && !response_ended_ && !writing_ && parser_ &&
      parser_->is_header_done()) {
    ++resources_->requests_dropped;
    Reject(503, "memory_short");
    return;
  }
  if (task_ == nullptr && !response_ended_) {
    ++resources_->requests_dropped;
  } else {
    ++resources_->unread_dropped;
  }
  Close("memory is short");
}

void CallerConnection::Evict() {
  const auto self = shared_from_this();
  paused_self_.reset();
  if (closed_ || task_ != nullptr) {
    return;
  }
  if (writing_) {
    // Others go first, so that a response is not cut for their sake.
    resources_->budget.Refresh(id_, clock_.Now());
    return;
  }
  const bool idle = started_at_ == Instant{} && !lingering_;
  if (idle && ReadAvailable() && has_read_ahead()) {
    Parse();
    AwaitInput();
    return;
  }
  ++resources_->connections_closed;
  Close("descriptors are short");
}

void CallerConnection::Close(std::string_view why) {
  if (closed_) {
    return;
  }
  closed_ = true;
  timers_.Clear(read_deadline_);
  timers_.Clear(write_deadline_);
  if (response_ended_) {
    Log(LogLevel::kInfo, "response_not_delivered",
        {{"caller", peer()}, {"reason", std::string(why)}});
  }
  boost::system::error_code ignored;
  // The kernel would go on to hold what a caller does not read.
  if (write_blocked_) {
    SetResetOnClose(true);
  }
  // A shutdown would send the orderly end that a reset must not have.
  if (!write_blocked_ && !ends_with_connection_ && !lingering_) {
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }
  socket_.close(ignored);
  resources_->budget.Close(id_);
  if (const auto task = std::move(task_)) {
    task->OnCallerDisconnected(why);
  }
}

}  // namespace jackdaw::serving
