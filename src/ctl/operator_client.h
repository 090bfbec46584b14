#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "core/error.h"
#include "http/endpoint.h"
#include "membership/instance_entry.h"

namespace jackdaw {

/// A configuration document and its version, as an operator edits it.
struct ConfigDocument {
  std::uint64_t version = 0;
  boost::json::object content;
};

/// Operators' interface of one instance, for the command line.
class OperatorClient {
 public:
  explicit OperatorClient(const Endpoint& endpoint) : endpoint_(endpoint) {}

  /// Calls a path. @returns the JSON body, or the error that it carries
  Result<boost::json::value> Call(std::string_view method,
                                  std::string_view target,
                                  std::string body = {}) const;

  Result<ConfigDocument> GetConfig() const;
  /// Writes a document on top of the version it was read at.
  /// @returns the new version, or kConflict when another came before
  Result<std::uint64_t> PutConfig(const ConfigDocument& document) const;
  Result<std::vector<InstanceEntry>> Instances() const;

 private:
  Endpoint endpoint_;
};

}  // namespace jackdaw
