#include "fleet/relayed_row.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <charconv>

namespace jackdaw::serving {
namespace {

namespace base64 = boost::beast::detail::base64;
namespace json = boost::json;
namespace zlib = boost::beast::zlib;

// The first character of a packed value tells its form. A compressed one has
// the digest of the value, in hexadecimal, before its bytes in Base64.
constexpr char kPlainMark = '=';
constexpr char kDeflatedMark = 'z';
constexpr std::size_t kDigestDigits = 8;
constexpr int kHexBase = 16;
// Shorter values are not worth the time to compress them.
constexpr std::size_t kMinDeflatedBytes = 256;
// A value that expands to more is damaged or hostile; the operator's documents
// are far smaller.
constexpr std::size_t kMaxInflatedBytes = 16UL * 1024 * 1024;
constexpr std::size_t kInflateBlock = 64UL * 1024;
// Level, window and memory of the compression: the usual values of zlib.
constexpr int kLevel = 6;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
// Bytes of a row's array besides key and text.
constexpr std::size_t kRowOverhead = 24;
// Number of elements of a row's array whose third one tells the kind.
constexpr std::size_t kMinElements = 3;

Error Malformed(std::string_view what) {
  return {ErrorKind::kMalformed, "relayed row: " + std::string(what),
          "the rows are read from the store; check the leader's release"};
}

// Returns an empty string if the library cannot compress the bytes.
std::string Deflate(std::string_view bytes) {
  zlib::deflate_stream stream;
  stream.reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string out(zlib::deflate_upper_bound(bytes.size()), '\0');
  zlib::z_params step;
  step.next_in = bytes.data();
  step.avail_in = bytes.size();
  step.next_out = out.data();
  step.avail_out = out.size();
  boost::beast::error_code error;
  stream.write(step, zlib::Flush::finish, error);
  out.resize(error == zlib::error::end_of_stream ? step.total_out : 0);
  return out;
}

Result<std::string> Inflate(std::string_view bytes) {
  zlib::inflate_stream stream;
  stream.reset(kWindowBits);
  std::string out;
  std::string block(kInflateBlock, '\0');
  // The library reports the end of some streams only if bytes follow it.
  constexpr std::size_t kBytesBehindEnd = 8;
  const std::string input =
      std::string(bytes) + std::string(kBytesBehindEnd, '\0');
  zlib::z_params step;
  step.next_in = input.data();
  step.avail_in = input.size();
  for (;;) {
    step.next_out = block.data();
    step.avail_out = block.size();
    boost::beast::error_code error;
    stream.write(step, zlib::Flush::sync, error);
    const std::size_t made = block.size() - step.avail_out;
    out.append(block, 0, made);
    if (error == zlib::error::end_of_stream) {
      return out;
    }
    if (error || made == 0 || out.size() > kMaxInflatedBytes) {
      return Malformed("the compressed value is damaged or too large");
    }
  }
}

std::string Encode64(std::string_view bytes) {
  std::string out(base64::encoded_size(bytes.size()), '\0');
  out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
  return out;
}

Result<std::string> Decode64(std::string_view text) {
  // The size of the result is known for whole groups only.
  constexpr std::size_t kGroupBytes = 4;
  if (text.size() % kGroupBytes != 0) {
    return Malformed("the value is not Base64");
  }
  std::string out(base64::decoded_size(text.size()), '\0');
  const auto [bytes, read] =
      base64::decode(out.data(), text.data(), text.size());
  if (!std::string_view("==").starts_with(text.substr(read))) {
    return Malformed("the value is not Base64");
  }
  out.resize(bytes);
  return out;
}

}  // namespace

json::value EncodeRelayedRow(const RelayedRow& row) {
  json::array element{row.key, row.version};
  switch (row.kind) {
    case RelayedRow::Kind::kText:
      element.emplace_back(row.text);
      break;
    case RelayedRow::Kind::kDeleted:
      element.emplace_back(nullptr);
      break;
    case RelayedRow::Kind::kUnchanged:
      element.emplace_back(row.digest);
      break;
  }
  return element;
}

Result<RelayedRow> DecodeRelayedRow(const json::value& value) {
  const json::array* element = value.if_array();
  if (element == nullptr || element->size() < kMinElements ||
      !(*element)[0].is_string() || !(*element)[1].is_int64()) {
    return Malformed("not an array of key, version and value");
  }
  RelayedRow row;
  row.key = (*element)[0].get_string();
  row.version = (*element)[1].get_int64();
  const json::value& content = (*element)[2];
  if (content.is_string()) {
    row.text = content.get_string();
  } else if (content.is_null()) {
    row.kind = RelayedRow::Kind::kDeleted;
  } else if (content.is_int64() && content.get_int64() >= 0 &&
             content.get_int64() <= UINT32_MAX) {
    row.kind = RelayedRow::Kind::kUnchanged;
    row.digest = static_cast<std::uint32_t>(content.get_int64());
  } else {
    return Malformed("a value of an unknown kind");
  }
  return row;
}

std::size_t JsonSize(std::string_view text) {
  constexpr std::size_t kControlEscape = 5;  // \u00xx in place of one byte
  std::size_t size = text.size();
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      ++size;
    } else if (static_cast<unsigned char>(c) < ' ') {
      size += kControlEscape;
    }
  }
  return size;
}

std::size_t SizeOf(const RelayedRow& row) {
  return JsonSize(row.key) + JsonSize(row.text) + kRowOverhead;
}

std::uint32_t TextDigest(std::string_view text) {
  return XXH32(text.data(), text.size(), 0);
}

std::string PackValue(std::string_view value) {
  if (value.size() >= kMinDeflatedBytes) {
    const std::string deflated = Deflate(value);
    std::string text = fmt::format("{}{:08x}{}", kDeflatedMark,
                                   TextDigest(value), Encode64(deflated));
    if (!deflated.empty() && text.size() < value.size()) {
      return text;
    }
  }
  return kPlainMark + std::string(value);
}

Result<std::string> UnpackValue(std::string_view text) {
  const char mark = text.empty() ? '\0' : text.front();
  if (mark == kPlainMark) {
    return std::string(text.substr(1));
  }
  if (mark != kDeflatedMark) {
    return Malformed("a value of an unknown form");
  }
  std::uint32_t digest = 0;
  const std::string_view digits = text.substr(1, kDigestDigits);
  std::from_chars(digits.begin(), digits.end(), digest, kHexBase);
  BOOST_OUTCOME_TRY(const std::string deflated,
                    Decode64(text.substr(1 + digits.size())));
  BOOST_OUTCOME_TRY(std::string value, Inflate(deflated));
  if (TextDigest(value) != digest) {
    return Malformed("the compressed value is damaged");
  }
  return value;
}

}  // namespace jackdaw::serving
