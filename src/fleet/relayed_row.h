#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"

namespace jackdaw::serving {

/// Compact form of relayed rows that this release reads and writes. A heartbeat
/// names the form that its sender understands; 0 stands for none.
inline constexpr std::int64_t kRowForm = 1;

/// A row in the compact form, as the leader relays it.
struct RelayedRow {
  enum class Kind : std::uint8_t { kText, kDeleted, kUnchanged };

  std::string key;
  std::int64_t version = 0;
  Kind kind = Kind::kText;
  /// The value; see PackValue and EncodeRelayedTarget.
  std::string text;
  /// Digest of the text that the receiver has, if only the version is new.
  std::uint32_t digest = 0;
};

/// Returns the element for a JSON array of rows.
boost::json::value EncodeRelayedRow(const RelayedRow& row);
/// @returns the row, or kMalformed if the element has an unknown form
Result<RelayedRow> DecodeRelayedRow(const boost::json::value& value);

/// Bytes that the row takes in a message.
std::size_t SizeOf(const RelayedRow& row);
/// Bytes that a text takes within JSON, without the quotes.
std::size_t JsonSize(std::string_view text);

/// Digest that tells whether two relayed texts are the same.
std::uint32_t TextDigest(std::string_view text);

/// Packs the value of a row: as it is, or compressed if that is shorter.
std::string PackValue(std::string_view value);
/// @returns the value, or kMalformed if the text has an unknown form, is
/// damaged or expands to more than 16 MB
Result<std::string> UnpackValue(std::string_view text);

}  // namespace jackdaw::serving
