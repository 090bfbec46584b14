#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "logread/log_record.h"

namespace jackdaw::logread {

/// One entry of a request's story.
struct StoryLine {
  std::string time;
  std::string process;
  std::string text;
};

/// What the logs of all processes tell of one request.
struct Story {
  std::string id;
  /// Ends of the request, one for each instance that took it.
  std::vector<StoryLine> ends;
  /// Decisions that touched it, in order.
  std::vector<StoryLine> steps;
  /// What the processes came to believe meanwhile of what it met.
  std::vector<StoryLine> around;
  /// Why it ended so, in a sentence.
  std::string cause;
};

/// Tells the story of a request.
/// @param records of all processes, in order of time
/// @returns kNotFound where no record names the id
Result<Story> TellStory(const std::vector<LogRecord>& records,
                        std::string_view id);

/// For people.
std::string StoryText(const Story& story);
boost::json::value StoryJson(const Story& story);

}  // namespace jackdaw::logread
