#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "instance/context.h"
#include "instance/fleet_watcher.h"
#include "platform/table_store.h"

namespace jackdaw {

/// A write of the configuration as an operator asks for it.
struct ConfigWrite {
  /// Version that the document was edited from; 0 for none.
  std::uint64_t expected = 0;
  /// Names this write; the same id is never used for another document.
  std::string operation;
  std::string document;
};

/// Reads `expect` and `operation` of a request.
/// @returns kInvalidSetting for a missing or malformed one
Result<ConfigWrite> ParseConfigWrite(const HttpRequest& request);

/// Writes configurations to the table by compare and set.
class ConfigWriter {
 public:
  ConfigWriter(boost::asio::io_context& context, InstanceContext& instance);

  /// Writes a document if the version before it is the expected one. Repeating
  /// the same operation is safe, also after a lost answer.
  /// @returns the new version; kConflict when another write came before;
  /// kInvalidSetting when the document would break a promise; kTimeout when
  /// it stays open whether the write took effect
  boost::asio::awaitable<Result<std::uint64_t>> Write(ConfigWrite write);

 private:
  struct Found {
    std::uint64_t row_version = 0;
    StoredConfig head;
  };
  boost::asio::awaitable<Result<Found>> Read();
  boost::asio::awaitable<Result<std::uint64_t>> ReadBack(
      const ConfigWrite& write,
      Error cause);
  Result<void> Check(const ConfigWrite& write, const Found& found) const;

  InstanceContext& context_;
  serving::platform::TableStore platform_;
};

}  // namespace jackdaw
