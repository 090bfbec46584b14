#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace jackdaw {

/// One header field; names compare without case.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// First value of a header. @returns empty when absent
std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name);

/// True when two header names are the same, without case.
bool SameHeaderName(std::string_view a, std::string_view b);

/// A whole request, as plain data.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;

  /// Path part of the target, without the query.
  std::string_view Path() const;
  /// Value of a query member, percent-decoded. @returns empty when absent
  std::string Query(std::string_view name) const;
  std::string_view Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

/// A whole response, as plain data.
struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// Response with a JSON body.
HttpResponse JsonResponse(int status, std::string body);

/// Percent-encodes a query value.
std::string EncodeQuery(std::string_view text);

/// Reads percent-encoded text; what is no valid escape stays as it is.
std::string DecodePercent(std::string_view text);

}  // namespace jackdaw
