#include "ctl/operator_client.h"

#include "core/digest.h"
#include "core/object_reader.h"
#include "core/time.h"
#include "http/client.h"
#include "membership/instance_entry.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Time for one answer of an instance.
constexpr Micros kAnswerTime = 10s;
constexpr std::size_t kOperationBytes = 12;
// Times that a write is sent while its outcome is open.
constexpr int kPutTries = 3;

// Whether a write that failed so may have taken effect.
bool IsOpen(ErrorKind kind) {
  return kind == ErrorKind::kTimeout || kind == ErrorKind::kTruncated ||
         kind == ErrorKind::kUnavailable;
}

ErrorKind KindOfStatus(int status) {
  switch (status) {
    case 400:
      return ErrorKind::kInvalidSetting;
    case 404:
      return ErrorKind::kNotFound;
    case 409:
      return ErrorKind::kConflict;
    default:
      return ErrorKind::kUnavailable;
  }
}

std::string TextMember(const json::value& value, std::string_view name) {
  const auto* object = value.if_object();
  const auto* member = object == nullptr ? nullptr : object->if_contains(name);
  return member != nullptr && member->is_string()
             ? std::string(member->get_string())
             : std::string();
}

}  // namespace

Result<json::value> OperatorClient::Call(std::string_view method,
                                         std::string_view target,
                                         std::string body) const {
  HttpRequest request{std::string(method),
                      std::string(target),
                      {{"Content-Type", "application/json"}},
                      std::move(body)};
  BOOST_OUTCOME_TRY(const auto answer,
                    FetchNow(endpoint_, std::move(request), kAnswerTime));
  BOOST_OUTCOME_TRY(auto value, ParseJson(answer.body));
  if (answer.status >= 400) {
    return Error{KindOfStatus(answer.status), TextMember(value, "detail"),
                 TextMember(value, "remedy")};
  }
  return value;
}

Result<ConfigDocument> OperatorClient::GetConfig() const {
  BOOST_OUTCOME_TRY(const auto value, Call("GET", "/v1/config"));
  ConfigDocument document;
  document.version = value.at("version").to_number<std::uint64_t>();
  BOOST_OUTCOME_TRY(const auto content,
                    ParseJson(TextMember(value, "document")));
  document.content = content.as_object();
  return document;
}

Result<std::uint64_t> OperatorClient::PutConfig(
    const ConfigDocument& document) const {
  const std::string target =
      "/v1/config?expect=" + std::to_string(document.version) +
      "&operation=" + RandomHex(kOperationBytes);
  const std::string body = json::serialize(document.content);
  // The operation id makes it safe to repeat a write whose answer was lost.
  Result<json::value> answer = Call("PUT", target, body);
  for (int i = 1; i < kPutTries && !answer && IsOpen(answer.error().kind);
       ++i) {
    answer = Call("PUT", target, body);
  }
  BOOST_OUTCOME_TRY(const auto value, answer);
  return value.at("version").to_number<std::uint64_t>();
}

Result<std::vector<InstanceEntry>> OperatorClient::Instances() const {
  BOOST_OUTCOME_TRY(const auto value, Call("GET", "/v1/instances"));
  return DecodeInstances(json::serialize(value));
}

}  // namespace jackdaw
