#include "lease/lease_row.h"

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Upper bound on fencing and write numbers that are read; exact as a double.
constexpr std::int64_t kMaxNumber = 1LL << 52;

}  // namespace

std::string LeaseKey(std::string_view target) {
  return "lease/target/" + std::string(target);
}

std::string EncodeLease(const LeaseRow& row) {
  json::array pending;
  for (const auto& order : row.pending) {
    pending.push_back(ToJson(order));
  }
  return json::serialize(json::object{{"holder", row.holder},
                                      {"fence", row.fence},
                                      {"stamp", row.write_number},
                                      {"pending", std::move(pending)}});
}

Result<LeaseRow> DecodeLease(std::string_view value) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(value));
  ObjectReader reader(parsed, "");
  LeaseRow row;
  row.holder = reader.TextOr("holder", "");
  row.fence =
      static_cast<std::uint64_t>(reader.Integer("fence", 0, kMaxNumber));
  row.write_number =
      static_cast<std::uint64_t>(reader.Integer("stamp", 0, kMaxNumber));
  for (const auto& item : reader.ItemsOr("pending")) {
    BOOST_OUTCOME_TRY(auto order, ReadOrder(item, reader.PathOf("pending")));
    row.pending.push_back(std::move(order));
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return row;
}

}  // namespace jackdaw
