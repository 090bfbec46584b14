#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "record/line_queue.h"

namespace jackdaw {

/// Which refusals are asked for; an empty member matches all.
struct RefusalQuery {
  std::string workspace;
  std::string kind;
  std::string instance;
  /// Milliseconds since the Unix epoch, first included, last excluded.
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

/// Record numbers that one stored object holds.
struct NumberRange {
  RecordOwner owner;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

/// Finds numbers that are missing between ranges of one incarnation.
/// @returns one record of kind `gap` for each hole
boost::json::array FindGaps(std::vector<NumberRange> ranges);

/// Record of kind `gap` for an incarnation that ended without notice.
boost::json::object MakeTailGap(const RecordOwner& owner, std::uint64_t last);

/// One bounded page of an answer, filled object by object.
class RefusalPage {
 public:
  explicit RefusalPage(RefusalQuery query) : query_(std::move(query)) {}

  /// Whether an object is to be read for this query, by its name.
  bool ShouldRead(std::string_view name) const;

  /// Takes an object's lines. Lines that cannot be read are left out.
  void Add(std::string_view name, std::string_view lines);

  /// True once no further object should be added.
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
