// The form is a mark and then fields, each with a letter and a value, such as
//   t s=engines a=10.0.0.1:80 z=a b=1700000000000 n=16 m=m1:3:a1~8,b
// The letters are those of the table in docs/design/row-relay.md.
#include "fleet/relayed_target.h"

#include <charconv>
#include <optional>
#include <utility>
#include <vector>

namespace jackdaw::serving {
namespace {

constexpr std::string_view kMark = "t ";
// A row may name this many adapters by one run; limits what a short text
// expands to.
constexpr std::int64_t kMaxRun = 1000;
// Most adapters of a model, with one run more.
constexpr std::size_t kMaxAdapters = 20'000;
constexpr int kHexBase = 16;
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

bool IsPlain(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
         (c >= 'a' && c <= 'z') || c == '.' || c == '_' || c == '-' ||
         c == '/' || byte >= 0x80;
}

void AppendEscaped(std::string& out, std::string_view text) {
  for (const char c : text) {
    if (IsPlain(c)) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kHexDigits[byte / kHexBase];
    out += kHexDigits[byte % kHexBase];
  }
}

std::optional<std::string> Unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    const std::string_view digits = text.substr(i + 1, 2);
    unsigned byte = 0;
    const auto [end, error] =
        std::from_chars(digits.begin(), digits.end(), byte, kHexBase);
    if (digits.size() != 2 || error != std::errc() || end != digits.end()) {
      return std::nullopt;
    }
    out += static_cast<char>(byte);
    i += digits.size();
  }
  return out;
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.begin(), text.end(), number);
  return error == std::errc() && end == text.end()
             ? std::optional<std::int64_t>(number)
             : std::nullopt;
}

/// A name that ends with a number, such as `a12`.
struct NumberedName {
  std::string_view prefix;
  std::int64_t number = 0;
};

// Returns nothing if the name has no number at its end, or one that is not
// written as a number is.
std::optional<NumberedName> SplitNumber(std::string_view name) {
  constexpr std::size_t kMaxDigits = 9;
  std::size_t from = name.size();
  while (from > 0 && name[from - 1] >= '0' && name[from - 1] <= '9') {
    --from;
  }
  const std::string_view digits = name.substr(from);
  if (digits.empty() || digits.size() > kMaxDigits || digits.front() == '0') {
    return std::nullopt;
  }
  return NumberedName{name.substr(0, from), *ParseNumber(digits)};
}

// Returns how many names from `from` on continue its number one by one.
std::int64_t RunLength(const std::vector<std::string>& names,
                       std::size_t from) {
  const auto first = SplitNumber(names[from]);
  std::int64_t length = 1;
  while (first && length < kMaxRun &&
         from + static_cast<std::size_t>(length) < names.size()) {
    const auto next =
        SplitNumber(names[from + static_cast<std::size_t>(length)]);
    if (!next || next->prefix != first->prefix ||
        next->number != first->number + length) {
      break;
    }
    ++length;
  }
  return length;
}

// Adapters with consecutive numbers are written as the first one and the last
// number: `a1~8`.
void AppendAdapters(std::string& out, const std::vector<std::string>& names) {
  for (std::size_t i = 0; i < names.size();) {
    out += i == 0 ? ':' : ',';
    AppendEscaped(out, names[i]);
    const std::int64_t length = RunLength(names, i);
    if (length > 1) {
      out += '~';
      out += std::to_string(SplitNumber(names[i])->number + length - 1);
    }
    i += static_cast<std::size_t>(length);
  }
}

// Returns the part of the text before the separator, and removes it.
std::string_view TakeUntil(std::string_view& text, char separator) {
  const std::size_t at = text.find(separator);
  const std::string_view part = text.substr(0, at);
  text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
  return part;
}

bool ReadAdapters(std::string_view text, std::vector<std::string>& adapters) {
  while (!text.empty()) {
    std::string_view last = TakeUntil(text, ',');
    const auto first = Unescape(TakeUntil(last, '~'));
    if (!first) {
      return false;
    }
    adapters.push_back(*first);
    if (last.empty()) {
      continue;
    }
    const auto name = SplitNumber(*first);
    const auto to = ParseNumber(last);
    if (!name || !to || *to <= name->number || *to >= name->number + kMaxRun ||
        adapters.size() + kMaxRun > kMaxAdapters) {
      return false;
    }
    for (std::int64_t n = name->number + 1; n <= *to; ++n) {
      adapters.push_back(std::string(name->prefix) + std::to_string(n));
    }
  }
  return true;
}

bool ReadModel(std::string_view text, std::vector<HeldModel>& models) {
  const auto name = Unescape(TakeUntil(text, ':'));
  const auto version = ParseNumber(TakeUntil(text, ':'));
  if (!name || name->empty() || !version) {
    return false;
  }
  models.push_back({*name, *version, {}});
  return ReadAdapters(text, models.back().adapters);
}

template <typename Value>
bool ReadNumber(std::string_view text, Value& value) {
  const auto number = ParseNumber(text);
  if (!number || !std::in_range<Value>(*number)) {
    return false;
  }
  value = static_cast<Value>(*number);
  return true;
}

bool ReadName(std::string_view text, std::string& name) {
  auto read = Unescape(text);
  name = read.value_or("");
  return read.has_value();
}

// Returns false if a known field cannot be read.
bool ReadField(std::string_view name,
               std::string_view text,
               TargetRegistration& entry) {
  if (name == "s") {
    return ReadName(text, entry.service);
  }
  if (name == "a") {
    const auto address = ParseEndpoint(text);
    entry.address = address ? address.value() : Endpoint{};
    return address.has_value();
  }
  if (name == "z") {
    return ReadName(text, entry.failure_domain);
  }
  if (name == "d") {
    entry.state = TargetState::kDraining;
  } else if (name == "b") {
    return ReadNumber(text, entry.born_ms);
  } else if (name == "n") {
    return ReadNumber(text, entry.slots);
  } else if (name == "c") {
    const auto ms = ParseNumber(text);
    if (!ms || *ms < 0 || *ms > kMaxColdTime / 1ms) {
      return false;
    }
    entry.cold_remaining = std::chrono::milliseconds(*ms);
    return true;
  } else if (name == "m") {
    return ReadModel(text, entry.models);
  }
  return true;
}

}  // namespace

std::string EncodeRelayedTarget(const TargetRegistration& entry) {
  std::string out(kMark);
  out += "s=";
  AppendEscaped(out, entry.service);
  out += " a=" + ToText(entry.address) + " z=";
  AppendEscaped(out, entry.failure_domain);
  if (entry.state == TargetState::kDraining) {
    out += " d=1";
  }
  out += " b=" + std::to_string(entry.born_ms);
  out += " n=" + std::to_string(entry.slots);
  if (entry.cold_remaining) {
    out += " c=" + std::to_string(*entry.cold_remaining / 1ms);
  }
  for (const HeldModel& model : entry.models) {
    out += " m=";
    AppendEscaped(out, model.name);
    out += ':' + std::to_string(model.version);
    AppendAdapters(out, model.adapters);
  }
  return out;
}

bool IsRelayedTarget(std::string_view text) {
  return text.starts_with(kMark);
}

Result<TargetRegistration> DecodeRelayedTarget(std::string_view id,
                                               std::string_view text) {
  const Error malformed{
      ErrorKind::kMalformed,
      "relayed row of target " + std::string(id) + " cannot be read",
      "the row is read from the store; check the leader's release"};
  if (!IsRelayedTarget(text)) {
    return malformed;
  }
  text.remove_prefix(kMark.size());
  TargetRegistration entry;
  entry.id = id;
  while (!text.empty()) {
    std::string_view field = TakeUntil(text, ' ');
    const std::string_view name = TakeUntil(field, '=');
    if (!ReadField(name, field, entry)) {
      return malformed;
    }
  }
  if (entry.service.empty() || entry.address.port() == 0) {
    return malformed;
  }
  return entry;
}

}  // namespace jackdaw::serving
