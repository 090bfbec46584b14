#include "core/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <span>
#include <vector>

namespace jackdaw {
namespace {

std::string ToHex(std::span<const unsigned char> bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xf];
  }
  return hex;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(std::span(bytes).first(size));
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  RAND_bytes(buffer.data(), static_cast<int>(buffer.size()));
  return ToHex(buffer);
}

}  // namespace jackdaw
