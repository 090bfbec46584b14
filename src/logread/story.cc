#include "logread/story.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

namespace jackdaw::logread {
namespace {

// Time before a request during which what happened to its targets matters.
constexpr std::int64_t kBeforeMs = 5000;

// What the end of a request says of its cause.
struct CauseOf {
  std::string_view reason;
  std::string_view text;
};

constexpr std::array kCauses = {
    CauseOf{"over_quota",
            "The workspace had used up its quota: this instance's part, and "
            "what other instances could give."},
    CauseOf{"targets_crowded",
            "Each target with the model had more prompts before it than it "
            "could read by the latency objective."},
    CauseOf{"model_not_held",
            "No target held the model; the leader loads it after the first "
            "request."},
    CauseOf{"adapter_not_held",
            "No target held the adapter, and the leader could not have it "
            "loaded in time."},
    CauseOf{"no_target",
            "No target was left that took the request: those tried refused it "
            "or could not be reached."},
    CauseOf{"no_configuration",
            "The instance had just started and had not read the configuration "
            "yet."},
    CauseOf{"unknown_key",
            "No workspace held the key in the configuration in force."},
    CauseOf{"no_route",
            "No route of the configuration in force fits host and path."},
    CauseOf{"request_crashes_targets",
            "Targets broke off while they ran the same request before."},
    CauseOf{"deadline",
            "The caller's deadline or the route's time limit came before the "
            "answer."},
    CauseOf{"target_broke_off",
            "The target's connection ended before its answer was whole, and "
            "the request may not be sent again."},
    CauseOf{"target_failed",
            "Each target that was tried failed, and one of them may have run "
            "the request."},
    CauseOf{"target broke off",
            "The target's connection ended in the middle of the stream, which "
            "no other target could continue."},
};

std::string Fields(const LogRecord& record) {
  std::string text = record.event;
  for (const auto& item : record.fields) {
    const std::string_view name(item.key().data(), item.key().size());
    if (name == "time" || name == "level" || name == "process" ||
        name == "message" || name == "steps" || !item.value().is_string() ||
        item.value().get_string().empty()) {
      continue;
    }
    text += " ";
    text += name;
    text += "=";
    text += std::string_view(item.value().get_string().data(),
                             item.value().get_string().size());
  }
  return text;
}

// Targets that the steps of a request name.
std::set<std::string> TargetsIn(const std::string& steps) {
  std::set<std::string> targets;
  std::istringstream words(steps);
  std::string word;
  while (words >> word) {
    while (!word.empty() && (word.back() == ';' || word.back() == ',')) {
      word.pop_back();
    }
    if (word.starts_with("i-")) {
      targets.insert(word);
    }
  }
  return targets;
}

void AddSteps(const LogRecord& end, Story& story) {
  std::istringstream steps(end.Text("steps"));
  std::string step;
  while (std::getline(steps, step, ';')) {
    const auto first = step.find_first_not_of(' ');
    if (first != std::string::npos) {
      story.steps.push_back({end.time, end.process, step.substr(first)});
    }
  }
}

std::string LateCause(const LogRecord& end) {
  std::string text =
      "The answer was late: first byte after " + end.Text("first_ms") + " ms";
  const std::string pause = end.Text("pause_ms");
  if (!pause.empty() && pause != "0") {
    text += ", longest pause between events " + pause + " ms";
  }
  return text + ". The load of the target stands in the step 'chosen'.";
}

std::string CauseOfEnd(const LogRecord& end) {
  for (const CauseOf& cause : kCauses) {
    if (end.Text("reason") == cause.reason) {
      return std::string(cause.text);
    }
  }
  if (end.Text("outcome") == "abandoned") {
    return "The caller closed its connection before the answer was whole.";
  }
  if (end.Number("status") >= 500) {
    return "The target answered with status " + end.Text("status") +
           "; its answer was passed on unchanged.";
  }
  return end.Text("late") == "yes" ? LateCause(end)
                                   : "The request was answered in time.";
}

bool Concerns(const LogRecord& record, const std::set<std::string>& targets) {
  if (record.event == "target" || record.event == "target_gone") {
    return targets.contains(record.Text("id"));
  }
  if (record.event == "order" || record.event == "move_planned") {
    return targets.contains(record.Text("target"));
  }
  return false;
}

bool IsBelief(const std::string& event) {
  constexpr std::array<std::string_view, 10> kBeliefs = {
      "store_lost",  "store_back", "following",  "acting_alone", "config_taken",
      "share_taken", "lease_won",  "stop_asked", "start",        "quota"};
  return std::find(kBeliefs.begin(), kBeliefs.end(), event) != kBeliefs.end();
}

}  // namespace

Result<Story> TellStory(const std::vector<LogRecord>& records,
                        std::string_view id) {
  Story story;
  story.id = id;
  std::set<std::string> targets;
  std::set<std::string> processes;
  std::int64_t from = INT64_MAX;
  std::int64_t to = 0;
  for (const LogRecord& record : records) {
    if (record.event != "request" || record.Text("id") != id) {
      continue;
    }
    story.ends.push_back({record.time, record.process, Fields(record)});
    AddSteps(record, story);
    targets.merge(TargetsIn(record.Text("steps")));
    processes.insert(record.process);
    const std::int64_t end = TimeMillis(record.time);
    from = std::min(from, end - record.Number("took_ms"));
    to = std::max(to, end);
    story.cause = CauseOfEnd(record);
  }
  if (story.ends.empty()) {
    return Error{ErrorKind::kNotFound,
                 "no log line names request '" + std::string(id) + "'",
                 "give the logs of all instances for the time of the request"};
  }
  for (const LogRecord& record : records) {
    const std::int64_t at = TimeMillis(record.time);
    if (at < from - kBeforeMs || at > to) {
      continue;
    }
    const bool own = processes.contains(record.process);
    const bool order =
        record.event == "order" || record.event == "move_planned";
    if ((own && IsBelief(record.event)) ||
        ((own || order) && Concerns(record, targets))) {
      story.around.push_back({record.time, record.process, Fields(record)});
    }
  }
  return story;
}

std::string StoryText(const Story& story) {
  std::string text = "request " + story.id + "\n";
  const auto section = [&](std::string_view title,
                           const std::vector<StoryLine>& lines) {
    if (lines.empty()) {
      return;
    }
    text += title;
    text += "\n";
    for (const StoryLine& line : lines) {
      text += "  " + line.time + "  " + line.process + "  " + line.text + "\n";
    }
  };
  section("ended", story.ends);
  section("steps", story.steps);
  section("known meanwhile", story.around);
  return text + "cause\n  " + story.cause + "\n";
}

boost::json::value StoryJson(const Story& story) {
  const auto lines = [](const std::vector<StoryLine>& from) {
    boost::json::array array;
    for (const StoryLine& line : from) {
      array.push_back({{"time", line.time},
                       {"process", line.process},
                       {"text", line.text}});
    }
    return array;
  };
  return {{"id", story.id},
          {"ended", lines(story.ends)},
          {"steps", lines(story.steps)},
          {"known_meanwhile", lines(story.around)},
          {"cause", story.cause}};
}

}  // namespace jackdaw::logread
