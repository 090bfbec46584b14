#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/time.h"

namespace jackdaw {

/// One incarnation of an instance: the writer of one run of record numbers.
struct RecordOwner {
  std::string instance;
  std::uint64_t incarnation = 0;

  auto operator<=>(const RecordOwner&) const = default;
};

/// A record as stored: one JSON object on one line, with the line end.
struct NumberedLine {
  /// Grows by one with each line of an incarnation, from 1.
  std::uint64_t number = 0;
  /// Minutes since the Unix epoch at which the record was made.
  std::int64_t minute = 0;
  std::string text;
};

/// Lines for one object. The object of a batch is named after its first line,
/// so that two writers of the same records compete for the same name.
struct LineBatch {
  std::string name;
  std::string bytes;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

/// Minutes since the Unix epoch of a moment.
std::int64_t MinuteOf(Instant t);

/// Prefix of the objects whose first record was made in a minute.
std::string MinutePrefix(std::int64_t minute);

/// Name of the object whose first line is `first`.
std::string BatchName(const RecordOwner& owner, const NumberedLine& first);

/// What a batch name says. @returns kMalformed for any other name
struct BatchNameParts {
  RecordOwner owner;
  std::uint64_t first = 0;
};
Result<BatchNameParts> ParseBatchName(std::string_view name);

/// Reads number and time of a line. @param text one line with its line end
Result<NumberedLine> ParseLine(std::string_view text);

/// Number of the last line of a stored object; 0 when it has none.
std::uint64_t LastNumber(std::string_view object);

/// Lines of one incarnation that are not stored yet, numbers without a gap.
class LineQueue {
 public:
  explicit LineQueue(RecordOwner owner) : owner_(std::move(owner)) {}

  /// Appends the line that follows the last one.
  void Append(NumberedLine line);

  /// The oldest lines, all of one minute, for one object.
  std::optional<LineBatch> First(std::size_t max_bytes) const;

  /// Lines above a number, as text. @returns first 0 when there are none
  LineBatch After(std::uint64_t number, std::size_t max_bytes) const;

  /// Forgets lines up to a number.
  void DropThrough(std::uint64_t number);

  const RecordOwner& owner() const { return owner_; }
  bool empty() const { return lines_.empty(); }
  std::size_t bytes() const { return bytes_; }
  std::uint64_t last() const { return last_; }
  std::uint64_t first() const { return last_ - lines_.size() + 1; }

 private:
  RecordOwner owner_;
  std::deque<NumberedLine> lines_;
  std::size_t bytes_ = 0;
  std::uint64_t last_ = 0;
};

}  // namespace jackdaw
