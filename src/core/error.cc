#include "core/error.h"

#include <array>

namespace jackdaw {
namespace {

struct KindRow {
  ErrorKind kind;
  std::string_view name;
  int exit_code;
};

constexpr std::array kKinds{
    KindRow{ErrorKind::kInvalidSetting, "invalid-setting", 2},
    KindRow{ErrorKind::kUnreadableFile, "unreadable-file", 2},
    KindRow{ErrorKind::kAddressInUse, "address-in-use", 2},
    KindRow{ErrorKind::kMalformed, "malformed", 3},
    KindRow{ErrorKind::kNotFound, "not-found", 4},
    KindRow{ErrorKind::kConflict, "conflict", 5},
    KindRow{ErrorKind::kTimeout, "timeout", 6},
    KindRow{ErrorKind::kUnavailable, "unavailable", 7},
    KindRow{ErrorKind::kOverloaded, "overloaded", 8},
    KindRow{ErrorKind::kDenied, "denied", 9},
    KindRow{ErrorKind::kTruncated, "truncated", 10},
    KindRow{ErrorKind::kInternal, "internal", 70},
};

constexpr bool RowsFollowEnum() {
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    if (static_cast<std::size_t>(kKinds[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(RowsFollowEnum());

const KindRow& RowOf(ErrorKind kind) {
  return kKinds[static_cast<std::size_t>(kind)];
}

}  // namespace

std::string_view Name(ErrorKind kind) {
  return RowOf(kind).name;
}

int ExitCode(ErrorKind kind) {
  return RowOf(kind).exit_code;
}

std::string Error::Line() const {
  std::string line(Name(kind));
  line += ": ";
  line += message;
  if (!remedy.empty()) {
    line += "; ";
    line += remedy;
  }
  return line;
}

}  // namespace jackdaw
