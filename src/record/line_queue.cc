#include "record/line_queue.h"

#include <algorithm>
#include <charconv>

#include "core/invariant.h"
#include "core/object_reader.h"

namespace jackdaw {
namespace {

constexpr std::string_view kPrefix = "refusals/";
// Record numbers in object names are padded to this many digits, so that names
// sort by number.
constexpr std::size_t kNumberDigits = 12;

std::string ZeroPadded(std::uint64_t number, std::size_t digits) {
  std::string text = std::to_string(number);
  text.insert(0, digits - std::min(digits, text.size()), '0');
  return text;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return failure == std::errc() && end == text.data() + text.size()
             ? std::optional(number)
             : std::nullopt;
}

Error BatchNameError(std::string_view name) {
  return {ErrorKind::kMalformed,
          "object '" + std::string(name) +
              "' is not named like a batch of refusal records",
          "remove it from the object store"};
}

}  // namespace

std::int64_t MinuteOf(Instant t) {
  return std::chrono::floor<std::chrono::minutes>(t).time_since_epoch().count();
}

std::string MinutePrefix(std::int64_t minute) {
  const std::chrono::sys_time<std::chrono::minutes> time{
      std::chrono::minutes(minute)};
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss clock(time - day);
  return std::string(kPrefix) +
         ZeroPadded(static_cast<std::uint64_t>(static_cast<int>(date.year())),
                    4) +
         ZeroPadded(static_cast<unsigned>(date.month()), 2) +
         ZeroPadded(static_cast<unsigned>(date.day()), 2) + "/" +
         ZeroPadded(static_cast<std::uint64_t>(clock.hours().count()), 2) +
         ZeroPadded(static_cast<std::uint64_t>(clock.minutes().count()), 2) +
         "/";
}

std::string BatchName(const RecordOwner& owner, const NumberedLine& first) {
  return MinutePrefix(first.minute) + owner.instance + "." +
         std::to_string(owner.incarnation) + "/" +
         ZeroPadded(first.number, kNumberDigits);
}

Result<BatchNameParts> ParseBatchName(std::string_view name) {
  const std::size_t number_at = name.rfind('/');
  if (number_at == std::string_view::npos || number_at == 0) {
    return BatchNameError(name);
  }
  const std::string_view path = name.substr(0, number_at);
  const std::size_t owner_at = path.rfind('/') + 1;
  const std::string_view owner = path.substr(owner_at);
  const std::size_t dot = owner.rfind('.');
  if (dot == std::string_view::npos) {
    return BatchNameError(name);
  }
  const auto incarnation = ParseNumber(owner.substr(dot + 1));
  const auto first = ParseNumber(name.substr(number_at + 1));
  if (!incarnation || !first) {
    return BatchNameError(name);
  }
  BatchNameParts parts;
  parts.owner = {std::string(owner.substr(0, dot)), *incarnation};
  parts.first = *first;
  return parts;
}

Result<NumberedLine> ParseLine(std::string_view text) {
  BOOST_OUTCOME_TRY(const auto value, ParseJson(text));
  const auto* object = value.if_object();
  const auto* number =
      object == nullptr ? nullptr : object->if_contains("number");
  const auto* when =
      object == nullptr ? nullptr : object->if_contains("when_ms");
  if (number == nullptr || !number->is_int64() || when == nullptr ||
      !when->is_int64()) {
    return Error{ErrorKind::kMalformed,
                 "a refusal record lacks number or when_ms",
                 "check the instance that wrote the record"};
  }
  NumberedLine line;
  line.number = static_cast<std::uint64_t>(number->get_int64());
  line.minute = MinuteOf(Instant(std::chrono::milliseconds(when->get_int64())));
  line.text = std::string(text);
  return line;
}

std::uint64_t LastNumber(std::string_view object) {
  if (object.empty()) {
    return 0;
  }
  const std::size_t end = object.rfind('\n', object.size() - 2);
  const auto line = ParseLine(
      end == std::string_view::npos ? object : object.substr(end + 1));
  return line ? line.value().number : 0;
}

void LineQueue::Append(NumberedLine line) {
  CheckInvariant(lines_.empty() || line.number == last_ + 1,
                 "record numbers are consecutive");
  last_ = line.number;
  bytes_ += line.text.size();
  lines_.push_back(std::move(line));
}

std::optional<LineBatch> LineQueue::First(std::size_t max_bytes) const {
  if (lines_.empty()) {
    return std::nullopt;
  }
  LineBatch batch;
  batch.name = BatchName(owner_, lines_.front());
  batch.first = lines_.front().number;
  for (const auto& line : lines_) {
    const bool fits = batch.bytes.size() + line.text.size() <= max_bytes;
    if (!batch.bytes.empty() &&
        (!fits || line.minute != lines_.front().minute)) {
      break;
    }
    batch.bytes += line.text;
    batch.last = line.number;
  }
  return batch;
}

LineBatch LineQueue::After(std::uint64_t number, std::size_t max_bytes) const {
  LineBatch batch;
  if (lines_.empty() || number >= last_) {
    return batch;
  }
  const std::size_t skip =
      number < first() ? 0 : static_cast<std::size_t>(number - first() + 1);
  for (std::size_t i = skip; i < lines_.size(); ++i) {
    const auto& line = lines_[i];
    if (!batch.bytes.empty() &&
        batch.bytes.size() + line.text.size() > max_bytes) {
      break;
    }
    batch.first = batch.first == 0 ? line.number : batch.first;
    batch.last = line.number;
    batch.bytes += line.text;
  }
  return batch;
}

void LineQueue::DropThrough(std::uint64_t number) {
  while (!lines_.empty() && lines_.front().number <= number) {
    bytes_ -= lines_.front().text.size();
    lines_.pop_front();
  }
}

}  // namespace jackdaw
