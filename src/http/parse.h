#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <stdexcept>

namespace jackdaw {

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
