#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "core/error.h"
#include "core/time.h"

namespace jackdaw {

/// Incarnation of an instance. Each one numbers its records from 1.
struct RecordOwner {
  std::string instance;
  std::uint64_t incarnation = 0;

  bool operator==(const RecordOwner&) const = default;
  bool operator<(const RecordOwner& other) const {
    return std::tie(instance, incarnation) <
           std::tie(other.instance, other.incarnation);
  }
};

/// Stored form of a record: one JSON object on one line, including the newline.
struct NumberedLine {
  /// Consecutive within an incarnation, starting at 1.
  std::uint64_t number = 0;
  /// Creation time of the record, in minutes since the Unix epoch.
  std::int64_t minute = 0;
  std::string text;
};

/// Lines of one object. The object is named after its first line, so that two
/// writers of the same records try to create the same object.
struct LineBatch {
  std::string name;
  std::string bytes;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

/// Converts a timestamp to whole minutes since the Unix epoch.
std::int64_t MinuteOf(Instant t);

/// Returns the name prefix of objects whose first record is from this minute.
/// @param minute minutes since the Unix epoch
std::string MinutePrefix(std::int64_t minute);

/// Returns the name of the object whose first line is `first`.
std::string BatchName(const RecordOwner& owner, const NumberedLine& first);

/// Components of a batch name.
struct BatchNameParts {
  RecordOwner owner;
  std::uint64_t first = 0;
};

/// Parses a batch name. @returns kMalformed for any other name
Result<BatchNameParts> ParseBatchName(std::string_view name);

/// Parses the number and time of a line. @param text line including the newline
/// @returns kMalformed when one of them is missing or not an integer
Result<NumberedLine> ParseLine(std::string_view text);

/// Returns the record number of the last line of a stored object, or 0 if that
/// line is missing or malformed.
std::uint64_t LastNumber(std::string_view object);

/// Queue of the lines of one incarnation that are not stored yet. Their numbers
/// are consecutive.
class LineQueue {
 public:
  explicit LineQueue(RecordOwner owner) : owner_(std::move(owner)) {}

  /// Appends a line, whose number must follow the last one.
  void Append(NumberedLine line);

  /// Returns the oldest lines, all of the same minute, as a batch for one
  /// object.
  /// @param max_bytes size limit; a first line above it is still returned
  std::optional<LineBatch> First(std::size_t max_bytes) const;

  /// Returns lines with higher numbers than `number`, without an object name.
  /// @returns a batch with `first` 0 when there are none
  LineBatch After(std::uint64_t number, std::size_t max_bytes) const;

  /// Removes the lines up to and including a number.
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
