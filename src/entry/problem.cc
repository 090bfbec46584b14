#include "entry/problem.h"

#include <boost/json.hpp>

namespace jackdaw {

std::string ProblemJson(const Refusal& refusal, std::string_view request_id) {
  const RefusalTraits& traits = TraitsOf(refusal.kind);
  return boost::json::serialize(
      boost::json::object{{"type", "about:blank"},
                          {"title", traits.name},
                          {"status", traits.http_status},
                          {"detail", refusal.reason},
                          {"kind", traits.name},
                          {"remedy", traits.remedy},
                          {"ran", Name(refusal.ran)},
                          {"request_id", request_id}});
}

HttpResponse ProblemResponse(const Refusal& refusal,
                             std::string_view request_id,
                             Instant now) {
  HttpResponse response{TraitsOf(refusal.kind).http_status,
                        {{"Content-Type", "application/problem+json"}},
                        ProblemJson(refusal, request_id)};
  if (refusal.retry_at > now) {
    const auto wait =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_at - now);
    response.headers.push_back({"Retry-After", std::to_string(wait.count())});
  }
  return response;
}

}  // namespace jackdaw
