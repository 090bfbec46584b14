#include "gateway/target_connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "http/connection_watch.h"

namespace jackdaw::serving {
namespace {

// Bytes read from a connection at once.
constexpr std::size_t kReadBytes = 16UL * 1024;
// Bounds of the kernel's buffers of a connection; without them each may grow to
// several megabytes for a target that does not read, or is not read.
constexpr int kSocketBytes = 8 * 1024;

ConnectionEnd EndOf(const boost::system::error_code& failure) {
  if (failure == boost::asio::error::eof) {
    return ConnectionEnd::kClosed;
  }
  return failure == boost::asio::error::timed_out ? ConnectionEnd::kTimedOut
                                                  : ConnectionEnd::kBroken;
}

}  // namespace

TargetConnection::TargetConnection(boost::asio::io_context& context,
                                   std::shared_ptr<std::size_t> open_count)
    : open_count_(std::move(open_count)), socket_(context) {
  ++*open_count_;
}

TargetConnection::~TargetConnection() {
  --*open_count_;
}

void TargetConnection::Open(const Endpoint& address,
                            TargetConnectionUser& user) {
  user_ = &user;
  using boost::asio::socket_base;
  boost::system::error_code ignored;
  socket_.open(address.protocol(), ignored);
  socket_.set_option(socket_base::receive_buffer_size(kSocketBytes), ignored);
  socket_.set_option(socket_base::send_buffer_size(kSocketBytes), ignored);
  socket_.async_connect(address,
                        [self = shared_from_this()](const auto& failure) {
                          if (self->closed_) {
                            return;
                          }
                          if (failure) {
                            self->OnFailure(failure);
                            return;
                          }
                          self->open_ = true;
                          WatchConnection(self->socket_);
                          boost::system::error_code unset;
                          self->socket_.non_blocking(true, unset);
                          self->Read();
                          self->user_->OnConnected();
                        });
}

void TargetConnection::Send(std::string head,
                            std::shared_ptr<const std::string> body) {
  output_ = std::move(head);
  output_body_ = std::move(body);
  sending_ = true;
  used_ = true;
  const std::array<boost::asio::const_buffer, 2> buffers = {
      boost::asio::buffer(output_), boost::asio::buffer(*output_body_)};
  boost::asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const auto& failure, std::size_t) {
        self->sending_ = false;
        self->output_ = {};
        self->output_body_.reset();
        if (failure && !self->closed_) {
          self->OnFailure(failure);
        }
      });
}

// Waits until the socket has bytes, so that an idle connection holds no buffer.
void TargetConnection::Read() {
  if (reading_ || closed_) {
    return;
  }
  if (input_.size() == 0) {
    input_.shrink_to_fit();
  }
  reading_ = true;
  socket_.async_wait(
      boost::asio::socket_base::wait_read,
      [self = shared_from_this()](const boost::system::error_code& failure) {
        self->reading_ = false;
        if (self->closed_) {
          return;
        }
        if (failure) {
          self->OnFailure(failure);
        } else {
          self->OnReadable();
        }
      });
}

void TargetConnection::OnReadable() {
  if (user_ != nullptr && !user_->MayReceive()) {
    reading_paused_ = true;
    return;
  }
  boost::system::error_code failure;
  const std::size_t size =
      socket_.read_some(input_.prepare(kReadBytes), failure);
  input_.commit(size);
  if (failure && failure != boost::asio::error::would_block) {
    OnFailure(failure);
    return;
  }
  if (size > 0 && user_ == nullptr) {
    Close();
    return;
  }
  if (size > 0) {
    user_->OnDataReceived();
  }
  if (!reading_paused_) {
    Read();
  }
}

void TargetConnection::ResumeReading() {
  if (reading_paused_) {
    reading_paused_ = false;
    Read();
  }
}

void TargetConnection::OnFailure(const boost::system::error_code& failure) {
  TargetConnectionUser* user = user_;
  Close();
  if (user != nullptr) {
    user->OnConnectionEnd(EndOf(failure));
  }
}

void TargetConnection::Close() {
  user_ = nullptr;
  if (!closed_) {
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
}

}  // namespace jackdaw::serving
