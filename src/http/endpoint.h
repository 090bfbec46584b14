#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "core/error.h"

namespace jackdaw {

/// TCP address as an IP number and a port.
using Endpoint = boost::asio::ip::tcp::endpoint;

/// Parses `127.0.0.1:8080` or `[::1]:8080`.
/// @returns the endpoint, or kMalformed; names are never resolved
Result<Endpoint> ParseEndpoint(std::string_view text);

/// Inverse of ParseEndpoint.
std::string ToText(const Endpoint& endpoint);

}  // namespace jackdaw
