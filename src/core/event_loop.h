#pragma once

#include <boost/asio/io_context.hpp>

namespace jackdaw {

/// Event loop of one thread whose pending operations can be destroyed while
/// what they refer to still lives.
class EventLoop : public boost::asio::io_context {
 public:
  EventLoop() : io_context(1) {}

  /// Destroys what is suspended on the loop, after it has stopped. Called
  /// before the parts that its operations refer to are destroyed.
  void EndPending() { shutdown(); }
};

}  // namespace jackdaw
