#include "entry/model_request.h"

#include <boost/json.hpp>
#include <optional>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Bytes of prompt text that are charged as one token.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::int64_t kMaxTokens = 1'000'000;

std::int64_t EstimateTokens(std::size_t bytes) {
  return static_cast<std::int64_t>((bytes + kBytesPerToken - 1) /
                                   kBytesPerToken);
}

// Returns the text of /prompt, or of all /messages joined; nothing if the body
// has neither in a valid form.
std::optional<std::string> ReadPromptText(const json::object& object) {
  if (const auto* prompt = object.if_contains("prompt");
      prompt != nullptr && prompt->is_string()) {
    return std::string(prompt->get_string());
  }
  const auto* messages = object.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return std::nullopt;
  }
  std::string text;
  for (const auto& message : messages->get_array()) {
    const auto* content = message.is_object()
                              ? message.get_object().if_contains("content")
                              : nullptr;
    if (content == nullptr || !content->is_string()) {
      return std::nullopt;
    }
    text += std::string_view(content->get_string());
  }
  return text;
}

Error MalformedRequest(std::string what) {
  return {ErrorKind::kMalformed, std::move(what), "correct the request body"};
}

}  // namespace

Result<ModelRequest> ParseModelRequest(std::string_view body) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(body));
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return MalformedRequest("the body must be a JSON object");
  }
  ModelRequest request;
  const auto* model = object->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return MalformedRequest("/model must be a string");
  }
  request.model = std::string(model->get_string());
  const std::optional<std::string> prompt = ReadPromptText(*object);
  if (!prompt) {
    return MalformedRequest(
        "/prompt or /messages with string contents is needed");
  }
  request.prompt_tokens = EstimateTokens(prompt->size());
  request.prefixes = ComputePrefixChain(request.model, *prompt);
  if (const auto* tokens = object->if_contains("max_tokens")) {
    if (!tokens->is_int64() || tokens->get_int64() < 1 ||
        tokens->get_int64() > kMaxTokens) {
      return MalformedRequest("/max_tokens must be from 1 to " +
                              std::to_string(kMaxTokens));
    }
    request.max_tokens = tokens->get_int64();
  }
  if (const auto* stream = object->if_contains("stream")) {
    if (!stream->is_bool()) {
      return MalformedRequest("/stream must be true or false");
    }
    request.stream = stream->get_bool();
  }
  return request;
}

std::int64_t ReadCompletionTokens(std::string_view body) {
  const auto value = ParseJson(body);
  if (!value || !value.value().is_object()) {
    return -1;
  }
  const auto* usage = value.value().get_object().if_contains("usage");
  if (usage == nullptr || !usage->is_object()) {
    return -1;
  }
  const auto* tokens = usage->get_object().if_contains("completion_tokens");
  return tokens != nullptr && tokens->is_int64() ? tokens->get_int64() : -1;
}

}  // namespace jackdaw
