#include "http/message.h"

#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

namespace jackdaw {
std::string DecodePercent(std::string_view text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16)
                .ptr == text.data() + i + 3) {
      plain += static_cast<char>(value);
      i += 2;
    } else {
      plain += text[i] == '+' ? ' ' : text[i];
    }
  }
  return plain;
}

bool SameHeaderName(std::string_view a, std::string_view b) {
  return boost::algorithm::iequals(a, b);
}

std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name) {
  for (const auto& header : headers) {
    if (SameHeaderName(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

std::string_view HttpRequest::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string HttpRequest::Query(std::string_view name) const {
  std::string_view rest = target;
  const std::size_t mark = rest.find('?');
  rest = mark == std::string_view::npos ? "" : rest.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? ""
                 : DecodePercent(pair.substr(equals + 1));
    }
  }
  return {};
}

HttpResponse JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string EncodeQuery(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4];
      encoded += kDigits[byte & 0xf];
    }
  }
  return encoded;
}

}  // namespace jackdaw
