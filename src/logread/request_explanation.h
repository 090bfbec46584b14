#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "logread/log_record.h"

namespace jackdaw::logread {

/// One line of a request explanation.
struct ExplanationLine {
  std::string time;
  std::string process;
  std::string text;
};

/// Log records of all processes that explain the outcome of one request.
struct RequestExplanation {
  std::string id;
  /// Final log records of the request, one for each instance that received it.
  std::vector<ExplanationLine> ends;
  /// Decisions about the request, in order.
  std::vector<ExplanationLine> steps;
  /// State changes of its instances, and events of its targets, from 5 s before
  /// the request until its end.
  std::vector<ExplanationLine> context;
  /// Cause of the outcome, in one sentence.
  std::string cause;
};

/// Collects the records that explain a request.
/// @param records records of all processes, sorted by time
/// @returns kNotFound if no record has the id
Result<RequestExplanation> ExplainRequest(const std::vector<LogRecord>& records,
                                          std::string_view id);

/// Formats an explanation as text for the terminal.
std::string ExplanationText(const RequestExplanation& explanation);
boost::json::value ExplanationJson(const RequestExplanation& explanation);

}  // namespace jackdaw::logread
