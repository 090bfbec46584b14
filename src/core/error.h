#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace jackdaw {

/// Kinds of failure inside the system; each maps to one exit code.
enum class ErrorKind : std::uint8_t {
  kInvalidSetting,
  kUnreadableFile,
  kAddressInUse,
  kMalformed,
  kNotFound,
  kConflict,
  kTimeout,
  kUnavailable,
  kOverloaded,
  kDenied,
  kTruncated,
  kInternal,
};

/// Short name of a kind, as used in logs and JSON.
std::string_view Name(ErrorKind kind);

/// Process exit code for a kind; settings errors are 2.
int ExitCode(ErrorKind kind);

/// A failure: its kind, what happened, and what the reader can do about it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;

  /// One line: `kind: message; remedy`.
  std::string Line() const;
};

/// A value or an Error; reading the wrong side terminates the program.
template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::success;

}  // namespace jackdaw
