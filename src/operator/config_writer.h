#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "instance/context.h"
#include "instance/fleet_watcher.h"
#include "platform/table_store.h"

namespace jackdaw {

/// Configuration write requested by an operator.
struct ConfigWrite {
  /// Version that the document is based on; 0 if there was none.
  std::uint64_t expected = 0;
  /// Id of this write; must not be reused for a different document.
  std::string operation;
  std::string document;
};

/// Parses `expect` and `operation` of a request.
/// @returns kInvalidSetting if one of them is missing or malformed
Result<ConfigWrite> ParseConfigWrite(const HttpRequest& request);

/// Writes configurations to the table with compare-and-set.
class ConfigWriter {
 public:
  ConfigWriter(boost::asio::io_context& context, InstanceContext& instance);

  /// Writes a document if the stored version is the expected one. Repeating the
  /// same operation is safe, even after a lost response.
  /// @returns the new version; kConflict if another write was first;
  /// kInvalidSetting if the document is invalid or CheckChange rejects the
  /// change from the stored configuration; kTimeout if it is unknown whether
  /// the write took effect
  boost::asio::awaitable<Result<std::uint64_t>> Write(ConfigWrite write);

 private:
  struct StoredConfig {
    std::uint64_t row_version = 0;
    PublishedConfig head;
  };
  boost::asio::awaitable<Result<StoredConfig>> Read();
  boost::asio::awaitable<Result<std::uint64_t>> ReadBack(
      const ConfigWrite& write,
      Error cause);
  Result<void> Check(const ConfigWrite& write,
                     const StoredConfig& stored) const;

  InstanceContext& context_;
  serving::platform::TableStore platform_;
};

}  // namespace jackdaw
