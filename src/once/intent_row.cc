#include "once/intent_row.h"

#include <openssl/evp.h>

#include <array>
#include <boost/json.hpp>
#include <limits>
#include <optional>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 4> kPhases{"pending", "not-run",
                                                  "unknown", "done"};
constexpr std::int64_t kMaxMicros = std::numeric_limits<std::int64_t>::max();

std::string EncodeBase64(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

// EVP_DecodeBlock counts padding as decoded bytes; these are removed.
std::optional<std::string> DecodeBase64(std::string_view text) {
  std::string bytes(3 * (text.size() / 4) + 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace

std::string EncodeIntentRow(const IntentRow& row) {
  json::object object{{"phase", kPhases[static_cast<std::size_t>(row.phase)]},
                      {"fingerprint", row.fingerprint},
                      {"request_id", row.request_id},
                      {"written_us", row.written.time_since_epoch().count()}};
  if (row.phase == IntentPhase::kDone) {
    object["status"] = row.outcome.status;
    object["content_type"] = EncodeBase64(row.outcome.content_type);
    object["body"] = EncodeBase64(row.outcome.body);
    object["body_left_out"] = row.outcome.body_left_out;
  }
  return json::serialize(object);
}

Result<IntentRow> DecodeIntentRow(std::string_view value) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(value));
  ObjectReader reader(parsed, "");
  IntentRow row;
  const std::string phase = reader.Text("phase");
  const auto found = std::find(kPhases.begin(), kPhases.end(), phase);
  if (found == kPhases.end()) {
    reader.Fail("phase", "is not a phase of an intent");
  } else {
    row.phase = static_cast<IntentPhase>(found - kPhases.begin());
  }
  row.fingerprint = reader.Text("fingerprint");
  row.request_id = reader.Text("request_id");
  row.written = Instant(Micros(reader.Integer("written_us", 0, kMaxMicros)));
  row.outcome.status = static_cast<int>(reader.IntegerOr("status", 0, 999, 0));
  const auto type = DecodeBase64(reader.TextOr("content_type", ""));
  const auto body = DecodeBase64(reader.TextOr("body", ""));
  row.outcome.body_left_out = reader.FlagOr("body_left_out", false);
  BOOST_OUTCOME_TRY(reader.Finish());
  if (!type || !body) {
    return Error{ErrorKind::kMalformed, "an intent row contains invalid Base64",
                 "check whether another program writes rows under once/"};
  }
  row.outcome.content_type = *type;
  row.outcome.body = *body;
  return row;
}

StoredOutcome LimitOutcomeSize(StoredOutcome outcome) {
  if (outcome.body.size() > kMaxStoredBody) {
    outcome.body.clear();
    outcome.body_left_out = true;
  }
  return outcome;
}

}  // namespace jackdaw
