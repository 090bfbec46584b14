#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "record/line_queue.h"

namespace jackdaw {

/// Filter on refusal records; an empty text member matches all records.
struct RefusalQuery {
  std::string workspace;
  std::string kind;
  std::string instance;
  /// Milliseconds since the Unix epoch; `from_ms` is included, `to_ms`
  /// excluded.
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

/// Range of record numbers in one stored object, both ends included.
struct NumberRange {
  RecordOwner owner;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

/// Finds record numbers that are missing between ranges of one incarnation.
/// @returns one record of kind `gap` for each missing range
boost::json::array FindGaps(std::vector<NumberRange> ranges);

/// Returns a record of kind `gap` for an incarnation without an end marker.
/// @param last number of its last stored record
boost::json::object MakeTailGap(const RecordOwner& owner, std::uint64_t last);

/// Size-limited page of query results, filled one object at a time.
class RefusalPage {
 public:
  explicit RefusalPage(RefusalQuery query) : query_(std::move(query)) {}

  /// Returns whether an object with this name may hold matching records.
  bool ShouldRead(std::string_view name) const;

  /// Adds the matching records of an object. Malformed lines are skipped.
  void Add(std::string_view name, std::string_view lines);

  /// Returns whether a page limit is reached and no more objects may be added.
  bool full() const;

  const std::vector<NumberRange>& ranges() const { return ranges_; }
  boost::json::array TakeRecords() { return std::move(records_); }

 private:
  bool Matches(const boost::json::object& record) const;

  RefusalQuery query_;
  boost::json::array records_;
  std::vector<NumberRange> ranges_;
  std::size_t bytes_ = 0;
};

}  // namespace jackdaw
