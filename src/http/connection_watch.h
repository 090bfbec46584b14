#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace jackdaw {

/// Sets a socket so that a connection which something between the two ends has
/// forgotten fails within seconds, also while nothing is sent.
void WatchConnection(boost::asio::ip::tcp::socket& socket);

}  // namespace jackdaw
