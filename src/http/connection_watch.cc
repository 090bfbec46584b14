#include "http/connection_watch.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jackdaw {
namespace {

// Time for the other end's system to acknowledge bytes, after which the
// connection counts as lost; a slow server acknowledges at once.
constexpr int kAcknowledgeMs = 2000;
// Pace of probes on a connection that waits for bytes, and how many may fail.
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;

}  // namespace

void WatchConnection(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const auto set = [&](int option, int value) {
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
                 sizeof value);
  };
  set(TCP_USER_TIMEOUT, kAcknowledgeMs);
  set(TCP_KEEPIDLE, kProbeSeconds);
  set(TCP_KEEPINTVL, kProbeSeconds);
  set(TCP_KEEPCNT, kProbes);
}

}  // namespace jackdaw
