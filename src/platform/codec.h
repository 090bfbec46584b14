#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "platform/table.h"

namespace jackdaw {

/// JSON forms of the platform's HTTP interface. Decoders return kMalformed or
/// kInvalidSetting for bodies that do not fit.
std::string EncodeTransaction(const Transaction& transaction);
Result<Transaction> DecodeTransaction(std::string_view body);
std::string EncodeCommit(const Commit& commit);
Result<Commit> DecodeCommit(std::string_view body);
std::string EncodeReadQuery(const ReadQuery& query);
Result<ReadQuery> DecodeReadQuery(std::string_view body);
std::string EncodeRows(const std::vector<Row>& rows);
Result<std::vector<Row>> DecodeRows(std::string_view body);
std::string EncodeInstance(const InstanceEntry& entry);
Result<InstanceEntry> DecodeInstance(std::string_view body);
std::string EncodeInstances(const std::vector<InstanceEntry>& entries);
Result<std::vector<InstanceEntry>> DecodeInstances(std::string_view body);
Result<std::vector<std::string>> DecodeNames(std::string_view body);

}  // namespace jackdaw
