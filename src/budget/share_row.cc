#include "budget/share_row.h"

#include <boost/json.hpp>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

bool IsPart(std::int64_t units) {
  return units >= 0 && units <= kTotalUnits;
}

}  // namespace

std::string EncodeShareRow(const ShareRow& row) {
  boost::json::object shares;
  for (const auto& [workspace, share] : row.shares) {
    if (share.Total() > 0) {
      shares[workspace] = boost::json::array{share.floor, share.flexible};
    }
  }
  return boost::json::serialize(
      boost::json::object{{"incarnation", row.incarnation},
                          {"sequence", row.sequence},
                          {"shares", std::move(shares)}});
}

Result<ShareRow> DecodeShareRow(std::string_view value) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(value));
  const Error malformed{ErrorKind::kMalformed, "share row is malformed",
                        "restore the row, or stop all instances and delete it"};
  const auto* object = parsed.if_object();
  const auto* shares =
      object == nullptr ? nullptr : object->if_contains("shares");
  if (shares == nullptr || !shares->is_object() ||
      !object->contains("incarnation") || !object->contains("sequence")) {
    return malformed;
  }
  ShareRow row;
  boost::system::error_code failed;
  row.incarnation = object->at("incarnation").to_number<std::uint64_t>(failed);
  if (!failed) {
    row.sequence = object->at("sequence").to_number<std::uint64_t>(failed);
  }
  for (const auto& [workspace, pair] : shares->get_object()) {
    const auto* parts = pair.if_array();
    if (failed || parts == nullptr || parts->size() != 2) {
      return malformed;
    }
    Share share;
    share.floor = parts->at(0).to_number<std::int64_t>(failed);
    if (!failed) {
      share.flexible = parts->at(1).to_number<std::int64_t>(failed);
    }
    if (failed || !IsPart(share.floor) || !IsPart(share.flexible)) {
      return malformed;
    }
    row.shares[std::string(workspace)] = share;
  }
  if (failed) {
    return malformed;
  }
  return row;
}

std::string ShareKey(std::string_view instance) {
  return "budget/share/" + std::string(instance);
}

std::string TransferPrefix(std::string_view instance) {
  return "budget/transfer/" + std::string(instance) + "/";
}

std::string MintKey(std::string_view workspace) {
  return "budget/minted/" + std::string(workspace);
}

}  // namespace jackdaw
