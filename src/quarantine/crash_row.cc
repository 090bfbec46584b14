#include "quarantine/crash_row.h"

#include <boost/json.hpp>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Largest timestamp accepted when decoding, in milliseconds.
constexpr std::int64_t kMaxTimeMs = 1LL << 52;

Instant FromMillis(std::int64_t ms) {
  return Instant(std::chrono::milliseconds(ms));
}

}  // namespace

std::string EncodeCrashRow(const CrashRow& row) {
  return json::serialize(
      json::object{{"targets", json::value_from(row.suspect.targets)},
                   {"until_ms", ToMillis(row.suspect.until)},
                   {"quarantined", row.suspect.quarantined},
                   {"holder", row.claim.holder},
                   {"holder_target", row.claim.target},
                   {"holder_until_ms", ToMillis(row.claim.until)}});
}

Result<CrashRow> DecodeCrashRow(std::string_view value) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(value));
  ObjectReader reader(parsed, "");
  CrashRow row;
  row.suspect.targets = reader.TextsOr("targets");
  row.suspect.until = FromMillis(reader.Integer("until_ms", 0, kMaxTimeMs));
  row.suspect.quarantined = reader.FlagOr("quarantined", false);
  row.claim.holder = reader.TextOr("holder", "");
  row.claim.target = reader.TextOr("holder_target", "");
  row.claim.until =
      FromMillis(reader.IntegerOr("holder_until_ms", 0, kMaxTimeMs, 0));
  BOOST_OUTCOME_TRY(reader.Finish());
  return row;
}

std::string EncodeCrashSlot(Instant until) {
  return json::serialize(json::object{{"until_ms", ToMillis(until)}});
}

Result<Instant> DecodeCrashSlot(std::string_view value) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(value));
  ObjectReader reader(parsed, "");
  const Instant until = FromMillis(reader.Integer("until_ms", 0, kMaxTimeMs));
  BOOST_OUTCOME_TRY(reader.Finish());
  return until;
}

}  // namespace jackdaw
