// Reading from a caller's connection, as far as the memory budget permits.
#include <netinet/tcp.h>

#include <algorithm>

#include "gateway/caller_connection.h"

namespace jackdaw::serving {
namespace {

// Bytes that are read behind a request that still runs.
constexpr std::size_t kMaxPipelined = 16UL * 1024;
// Bounds of the kernel's buffers for large bodies while most of the memory is
// free.
constexpr int kWideBufferBytes = 64 * 1024;

}  // namespace

void CallerConnection::AwaitInput() {
  const std::size_t most = task_ == nullptr ? kMaxReadAhead : kMaxPipelined;
  if (awaiting_input_ || closed_ || input_.size() > most) {
    return;
  }
  // A connection that waits holds no larger buffer than it needs.
  if (input_.size() * 2 < input_.capacity()) {
    input_.shrink_to_fit();
  }
  Account();
  awaiting_input_ = true;
  socket_.async_wait(
      boost::asio::socket_base::wait_read,
      [self = shared_from_this()](const boost::system::error_code& failure) {
        self->awaiting_input_ = false;
        if (self->closed_) {
          return;
        }
        if (failure) {
          self->Close(kCallerFailed);
        } else {
          self->OnReadable();
        }
      });
}

// Returns the bytes that the memory budget permits to be read. If there are
// none, the connection is paused until the listener resumes it.
std::size_t CallerConnection::MayRead() {
  const std::size_t most = resources_->budget.MayRead(id_, clock_.Now());
  if (lingering_) {
    return std::max(most, kFirstReadBytes);
  }
  if (most == 0) {
    paused_self_ = shared_from_this();
    resources_->on_short();
  }
  return most;
}

void CallerConnection::Resume() {
  const auto self = std::move(paused_self_);
  if (!closed_ && !awaiting_input_ && MayRead() > 0) {
    AwaitInput();
  }
}

bool CallerConnection::MayReceive() {
  if (resources_->budget.MayReceive(id_)) {
    return true;
  }
  resources_->on_short();
  return false;
}

void CallerConnection::ResumeTask() {
  if (const auto task = task_; task != nullptr && MayReceive()) {
    task->OnRoom();
  }
}

void CallerConnection::OnReadable() {
  const std::size_t most = MayRead();
  if (most == 0 || !ReadAvailable(most)) {
    return;
  }
  if (lingering_) {
    DiscardInput();
  } else if (task_ == nullptr && !response_ended_) {
    Parse();
  }
  AwaitInput();
}

// Reads the bytes that have arrived. @returns false if the connection has ended
bool CallerConnection::ReadAvailable(std::size_t most) {
  boost::system::error_code failure;
  const std::size_t size = socket_.read_some(input_.prepare(most), failure);
  input_.commit(size);
  resources_->budget.OnProgress(id_, size, clock_.Now());
  if (!failure || failure == boost::asio::error::would_block) {
    return true;
  }
  Close(failure == boost::asio::error::eof ? kCallerClosed : kCallerFailed);
  return false;
}

// Lets the kernel take more at once, for a large body.
void CallerConnection::Widen() {
  if (wide_ || !resources_->budget.MayWiden(id_)) {
    return;
  }
  wide_ = true;
  boost::system::error_code ignored;
  socket_.set_option(
      boost::asio::socket_base::receive_buffer_size(kWideBufferBytes), ignored);
  socket_.set_option(
      boost::asio::socket_base::send_buffer_size(kWideBufferBytes), ignored);
  // Without it the window stays as small as it was at first.
  using WindowClamp =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_WINDOW_CLAMP>;
  socket_.set_option(WindowClamp(kWideBufferBytes), ignored);
}

}  // namespace jackdaw::serving
