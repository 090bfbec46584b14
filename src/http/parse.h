#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <stdexcept>

namespace jackdaw {

/// Whether the status line of a response is valid: HTTP/1.0 or 1.1, and a
/// status from 100 to 599. Others say nothing that a caller could rely on.
/// @param version ten times the major version, plus the minor one
inline bool IsValidStatusLine(unsigned status, unsigned version) {
  constexpr unsigned kHttp10 = 10;
  constexpr unsigned kHttp11 = 11;
  return status >= 100 && status < 600 &&
         (version == kHttp10 || version == kHttp11);
}

/// Whether a response only precedes the final one.
inline bool IsInformational(unsigned status) {
  return status >= 100 && status < 200;
}

/// Gives bytes to a parser of HTTP messages. The parser throws at a field that
/// is longer than it can hold, in the trailer too, which no limit of the head
/// covers; here that is an error like any other.
/// @param failure set to the parser's error, or to none
/// @returns the number of bytes that were used
template <typename Parser, typename Buffer>
std::size_t ParseSome(Parser& parser,
                      const Buffer& bytes,
                      boost::beast::error_code& failure) {
  try {
    return parser.put(bytes, failure);
  } catch (const std::length_error&) {
    failure = boost::beast::http::error::header_limit;
    return 0;
  }
}

}  // namespace jackdaw
