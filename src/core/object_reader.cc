#include "core/object_reader.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace jackdaw {

ObjectReader::ObjectReader(const boost::json::value& value, std::string path)
    : object_(value.if_object()), path_(std::move(path)) {
  if (object_ == nullptr) {
    error_ = Error{ErrorKind::kInvalidSetting,
                   (path_.empty() ? "/" : path_) + ": must be an object",
                   "write it as {\"name\": value, ...}"};
  }
}

std::string ObjectReader::PathOf(std::string_view key) const {
  return path_ + "/" + std::string(key);
}

void ObjectReader::Fail(std::string_view key, std::string_view what) {
  if (!error_) {
    error_ = Error{ErrorKind::kInvalidSetting,
                   PathOf(key) + ": " + std::string(what),
                   "correct this member and try again"};
  }
}

const boost::json::value* ObjectReader::Find(std::string_view key,
                                             bool required) {
  if (object_ == nullptr) {
    return nullptr;
  }
  seen_.emplace(key);
  const auto* value = object_->if_contains(key);
  if (value == nullptr && required) {
    Fail(key, "is missing");
  }
  return value;
}

const boost::json::value* ObjectReader::Any(std::string_view key) {
  return Find(key, false);
}

std::string ObjectReader::Text(std::string_view key) {
  const auto* value = Find(key, true);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string() || value->get_string().empty()) {
    Fail(key, "must be a string that is not empty");
    return {};
  }
  return std::string(value->get_string());
}

std::string ObjectReader::TextOr(std::string_view key,
                                 std::string_view fallback) {
  const auto* value = Find(key, false);
  if (value == nullptr) {
    return std::string(fallback);
  }
  if (!value->is_string()) {
    Fail(key, "must be a string");
    return {};
  }
  return std::string(value->get_string());
}

std::int64_t ObjectReader::Integer(std::string_view key,
                                   std::int64_t low,
                                   std::int64_t high) {
  const auto* value = Find(key, true);
  if (value == nullptr) {
    return low;
  }
  return IntegerOr(key, low, high, low);
}

std::int64_t ObjectReader::IntegerOr(std::string_view key,
                                     std::int64_t low,
                                     std::int64_t high,
                                     std::int64_t fallback) {
  const auto* value = Find(key, false);
  if (value == nullptr) {
    return fallback;
  }
  const std::string range = std::to_string(low) + " to " + std::to_string(high);
  if (!value->is_int64()) {
    Fail(key, "must be a whole number from " + range);
    return fallback;
  }
  const std::int64_t number = value->get_int64();
  if (number < low || number > high) {
    Fail(key, std::to_string(number) + " is outside " + range);
    return fallback;
  }
  return number;
}

bool ObjectReader::FlagOr(std::string_view key, bool fallback) {
  const auto* value = Find(key, false);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_bool()) {
    Fail(key, "must be true or false");
    return fallback;
  }
  return value->get_bool();
}

std::vector<std::string> ObjectReader::TextsOr(std::string_view key) {
  std::vector<std::string> texts;
  for (const auto& item : ItemsOr(key)) {
    if (!item.is_string()) {
      Fail(key, "must hold strings only");
      return {};
    }
    texts.emplace_back(item.get_string());
  }
  return texts;
}

std::vector<boost::json::value> ObjectReader::ItemsOr(std::string_view key) {
  const auto* value = Find(key, false);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_array()) {
    Fail(key, "must be an array");
    return {};
  }
  const auto& array = value->get_array();
  return {array.begin(), array.end()};
}

Result<void> ObjectReader::Finish() {
  if (object_ != nullptr && !error_) {
    for (const auto& member : *object_) {
      if (!seen_.contains(std::string_view(member.key()))) {
        Fail(member.key(), "is not a known member");
      }
    }
  }
  return FinishKnown();
}

Result<void> ObjectReader::FinishKnown() {
  if (error_) {
    return *error_;
  }
  return success();
}

Result<boost::json::value> ParseJson(std::string_view text) {
  boost::system::error_code failure;
  auto value = boost::json::parse(text, failure);
  if (failure) {
    return Error{ErrorKind::kMalformed, "not JSON: " + failure.message(),
                 "check the document with a JSON formatter"};
  }
  return value;
}

// The serializer copies bytes as they are; the parser checks them.
bool IsJsonText(std::string_view text) {
  boost::system::error_code failure;
  boost::json::parse(boost::json::serialize(boost::json::string(text)),
                     failure);
  return !failure;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Error{ErrorKind::kUnreadableFile, path + ": " + std::strerror(errno),
                 "check the path and its permissions"};
  }
  return std::move(text).str();
}

}  // namespace jackdaw
