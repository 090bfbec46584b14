#pragma once

#include <string>
#include <string_view>

namespace jackdaw {

/// SHA-256 of a text. @returns 64 lower-case hexadecimal digits
std::string Sha256Hex(std::string_view text);

/// Random bytes from the system. @returns 2 * `bytes` hexadecimal digits
std::string RandomHex(std::size_t bytes);

}  // namespace jackdaw
