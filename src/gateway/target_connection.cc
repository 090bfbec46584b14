#include "gateway/target_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "http/connection_watch.h"

namespace jackdaw::serving {
namespace {

// Bytes read from a connection at once.
constexpr std::size_t kReadBytes = 16UL * 1024;

ConnectionEnd EndOf(const boost::system::error_code& failure) {
  if (failure == boost::asio::error::eof) {
    return ConnectionEnd::kClosed;
  }
  return failure == boost::asio::error::timed_out ? ConnectionEnd::kTimedOut
                                                  : ConnectionEnd::kBroken;
}

}  // namespace

TargetConnection::TargetConnection(boost::asio::io_context& context)
    : socket_(context) {}

void TargetConnection::Open(const Endpoint& address,
                            TargetConnectionUser& user) {
  user_ = &user;
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
                          self->Read();
                          self->user_->OnConnected();
                        });
}

void TargetConnection::Send(std::string bytes) {
  output_ = std::move(bytes);
  sending_ = true;
  used_ = true;
  boost::asio::async_write(
      socket_, boost::asio::buffer(output_),
      [self = shared_from_this()](const auto& failure, std::size_t) {
        self->sending_ = false;
        if (failure && !self->closed_) {
          self->OnFailure(failure);
        }
      });
}

void TargetConnection::Read() {
  if (reading_ || closed_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      input_.prepare(kReadBytes),
      [self = shared_from_this()](const auto& failure, std::size_t size) {
        self->reading_ = false;
        if (self->closed_) {
          return;
        }
        if (failure) {
          self->OnFailure(failure);
          return;
        }
        self->input_.commit(size);
        if (self->user_ == nullptr) {
          self->Close();
          return;
        }
        self->user_->OnDataReceived();
        if (!self->reading_paused_) {
          self->Read();
        }
      });
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
