#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "logread/log_record.h"

namespace jackdaw::logread {

/// One entry of a request's story.
struct ExplanationLine {
  std::string time;
  std::string process;
  std::string text;
};

/// What the logs of all processes tell of one request.
struct RequestExplanation {
  std::string id;
  /// Ends of the request, one for each instance that took it.
  std::vector<ExplanationLine> ends;
  /// Decisions that touched it, in order.
  std::vector<ExplanationLine> steps;
  /// What the processes came to believe meanwhile of what it met.
  std::vector<ExplanationLine> context;
  /// Why it ended so, in a sentence.
  std::string cause;
};

/// Tells the story of a request.
/// @param records of all processes, in order of time
/// @returns kNotFound where no record names the id
Result<RequestExplanation> ExplainRequest(const std::vector<LogRecord>& records,
                                          std::string_view id);

/// For people.
std::string ExplanationText(const RequestExplanation& explanation);
boost::json::value ExplanationJson(const RequestExplanation& explanation);

}  // namespace jackdaw::logread
