#include "http/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace jackdaw {

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const Error malformed{
      ErrorKind::kMalformed,
      "'" + std::string(text) + "' is not an address with a port",
      "write an IP number and a port, such as 127.0.0.1:8080"};
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return malformed;
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  unsigned port = 0;
  const auto digits = text.substr(colon + 1);
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code failure;
  const auto address = boost::asio::ip::make_address(host, failure);
  if (failure || parsed.ec != std::errc() ||
      parsed.ptr != digits.data() + digits.size() || port > 65535) {
    return malformed;
  }
  return Endpoint(address, static_cast<std::uint16_t>(port));
}

std::string ToText(const Endpoint& endpoint) {
  const auto host = endpoint.address().to_string();
  const auto port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + host + "]:" + port
                                    : host + ":" + port;
}

}  // namespace jackdaw
