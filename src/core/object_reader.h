#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace jackdaw {

/// Strict reader of one JSON object. Getters record the first error with the
/// path in the document; `Finish` also reports members nobody asked for, as a
/// person's document may have a misspelt one.
class ObjectReader {
 public:
  /// @param value the value to read, must outlive the reader
  /// @param path where it stands, such as `/workspaces/3`
  ObjectReader(const boost::json::value& value, std::string path);

  std::string Text(std::string_view key);
  std::string TextOr(std::string_view key, std::string_view fallback);
  std::int64_t Integer(std::string_view key,
                       std::int64_t low,
                       std::int64_t high);
  std::int64_t IntegerOr(std::string_view key,
                         std::int64_t low,
                         std::int64_t high,
                         std::int64_t fallback);
  bool FlagOr(std::string_view key, bool fallback);
  std::vector<std::string> TextsOr(std::string_view key);
  /// Elements of an array member, empty when the member is absent.
  std::vector<boost::json::value> ItemsOr(std::string_view key);
  /// A member of any type. @returns null when absent
  const boost::json::value* Any(std::string_view key);

  /// Path of a member, for errors of nested readers.
  std::string PathOf(std::string_view key) const;
  /// Records an error found by the caller, unless one stands already.
  void Fail(std::string_view key, std::string_view what);
  /// @returns success, or the first error as kInvalidSetting
  Result<void> Finish();
  /// Like Finish, but allows members nobody asked for: the sender may be of a
  /// later release.
  Result<void> FinishKnown();

 private:
  const boost::json::value* Find(std::string_view key, bool required);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  std::set<std::string, std::less<>> seen_;
  std::optional<Error> error_;
};

/// Parses JSON text. @returns the value, or kMalformed with the position
Result<boost::json::value> ParseJson(std::string_view text);

/// Returns whether JSON text can carry a string, which must be UTF-8 for that.
bool IsJsonText(std::string_view text);

/// Reads a whole file. @returns its bytes, or kUnreadableFile
Result<std::string> ReadFile(const std::string& path);

}  // namespace jackdaw
