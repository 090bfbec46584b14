#include "ctl/log_command.h"

#include <fstream>
#include <iostream>
#include <vector>

#include "logread/refusal_summary.h"
#include "logread/request_explanation.h"

namespace jackdaw {
namespace {

constexpr std::string_view kExplain = "explain";
constexpr std::string_view kWhyRefused = "why-refused";

Result<std::vector<logread::LogRecord>> ReadLogs(
    std::span<const std::string> files) {
  std::vector<logread::LogRecord> records;
  if (files.empty()) {
    logread::ReadRecords(std::cin, records);
  }
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      return Error{ErrorKind::kUnreadableFile, "cannot read " + file,
                   "name log files, or give the logs on standard input"};
    }
    logread::ReadRecords(in, records);
  }
  logread::SortByTime(records);
  return records;
}

}  // namespace

bool IsLogCommand(std::span<const std::string> words) {
  return !words.empty() && (words[0] == kExplain || words[0] == kWhyRefused);
}

Result<std::string> RunLogCommand(std::span<const std::string> words,
                                  const LogCommandOptions& options) {
  if (words[0] == kWhyRefused) {
    BOOST_OUTCOME_TRY(const auto records, ReadLogs(words.subspan(1)));
    const auto groups =
        logread::SummarizeRefusals(records, {options.from, options.to});
    return options.json
               ? boost::json::serialize(logread::RefusalJson(groups)) + "\n"
               : logread::RefusalText(groups);
  }
  if (words.size() < 2) {
    return Error{ErrorKind::kInvalidSetting, "explain needs a request's id",
                 "write jackdawctl explain ID [LOGFILE...]"};
  }
  BOOST_OUTCOME_TRY(const auto records, ReadLogs(words.subspan(2)));
  BOOST_OUTCOME_TRY(const auto explanation,
                    logread::ExplainRequest(records, words[1]));
  return options.json
             ? boost::json::serialize(logread::ExplanationJson(explanation)) +
                   "\n"
             : logread::ExplanationText(explanation);
}

}  // namespace jackdaw
