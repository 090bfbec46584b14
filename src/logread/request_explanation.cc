#include "logread/request_explanation.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

namespace jackdaw::logread {
namespace {

// Records from this long before the request are included as context.
constexpr std::int64_t kContextBeforeMs = 5000;

// Explanation of a `reason` field in the final record of a request.
struct ReasonText {
  std::string_view reason;
  std::string_view text;
};

constexpr std::array kCauses = {
    ReasonText{"over_quota",
               "The workspace had used up its quota: this instance and the "
               "holders of the quota's parts together had too few units."},
    ReasonText{"targets_crowded",
               "Each target with the model had more queued prompts than "
               "it could process within the latency objective."},
    ReasonText{"model_not_held",
               "No target had the model loaded; the leader loads it "
               "after the first request."},
    ReasonText{"adapter_not_held",
               "No target had the adapter loaded, and the leader could "
               "not get it loaded in time."},
    ReasonText{
        "target_limited",
        "Each target that could serve the request had got as many requests "
        "as its limit, or the bound of its service, allows."},
    ReasonText{"domain_evacuated",
               "The operator had evacuated the failure domains of all targets "
               "that could serve the request."},
    ReasonText{"no_home",
               "No target in the regions that the route and the workspace "
               "allow could serve the request, but others could."},
    ReasonText{"memory_short",
               "The instance held as many bytes for callers and targets as its "
               "memory allows."},
    ReasonText{"descriptors_short",
               "The instance had as many connections open as its descriptors "
               "allow."},
    ReasonText{"targets_resting",
               "Each target that could serve the request had asked this "
               "instance to send nothing for some time."},
    ReasonText{"targets_full",
               "Each target that could serve the request held as many tokens "
               "of other requests as its memory allows."},
    ReasonText{"no_target",
               "No target accepted the request: each one tried refused "
               "it or could not be reached."},
    ReasonText{
        "no_configuration",
        "The instance had just started and had not read the configuration "
        "yet."},
    ReasonText{"unknown_key",
               "No workspace has the key in the configuration in force."},
    ReasonText{
        "no_route",
        "No route of the configuration in force matches the host and path."},
    ReasonText{
        "request_crashes_targets",
        "Targets failed during earlier attempts to run the same request."},
    ReasonText{"deadline",
               "The caller's deadline or the route's time limit expired "
               "before the answer arrived."},
    ReasonText{"target_broke_off",
               "The target's connection ended before its answer was whole, and "
               "the request may not be sent again."},
    ReasonText{
        "target_failed",
        "Each target that was tried failed, and one of them may have run "
        "the request."},
    ReasonText{
        "target broke off",
        "The target's connection ended in the middle of the stream, which "
        "no other target could continue."},
};

std::string FieldsText(const LogRecord& record) {
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

// Returns the targets named in the steps of a request.
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

void AddSteps(const LogRecord& end, RequestExplanation& explanation) {
  std::istringstream steps(end.Text("steps"));
  std::string step;
  while (std::getline(steps, step, ';')) {
    const auto first = step.find_first_not_of(' ');
    if (first != std::string::npos) {
      explanation.steps.push_back({end.time, end.process, step.substr(first)});
    }
  }
}

std::string LateAnswerCause(const LogRecord& end) {
  std::string text =
      "The answer was late: first byte after " + end.Text("first_ms") + " ms";
  const std::string pause = end.Text("pause_ms");
  if (!pause.empty() && pause != "0") {
    text += ", longest pause between events " + pause + " ms";
  }
  return text + ". The step 'chosen' shows the load of the target.";
}

std::string CauseOfOutcome(const LogRecord& end) {
  for (const ReasonText& cause : kCauses) {
    if (end.Text("reason") == cause.reason) {
      return std::string(cause.text);
    }
  }
  if (end.Text("outcome") == "abandoned") {
    return "The caller closed its connection before the answer was complete.";
  }
  if (end.Number("status") >= 500) {
    return "The target answered with status " + end.Text("status") +
           "; its answer was forwarded unchanged.";
  }
  return end.Text("late") == "yes" ? LateAnswerCause(end)
                                   : "The request was answered in time.";
}

bool InvolvesTargets(const LogRecord& record,
                     const std::set<std::string>& targets) {
  if (record.event == "target" || record.event == "target_gone") {
    return targets.contains(record.Text("id"));
  }
  if (record.event == "order" || record.event == "move_planned") {
    return targets.contains(record.Text("target"));
  }
  return false;
}

bool IsInstanceStateEvent(const std::string& event) {
  constexpr std::array<std::string_view, 10> kInstanceStateEvents = {
      "store_lost",  "store_back", "following",  "acting_alone", "config_taken",
      "parts_taken", "lease_won",  "stop_asked", "start",        "quota"};
  return std::find(kInstanceStateEvents.begin(), kInstanceStateEvents.end(),
                   event) != kInstanceStateEvents.end();
}

}  // namespace

Result<RequestExplanation> ExplainRequest(const std::vector<LogRecord>& records,
                                          std::string_view id) {
  RequestExplanation explanation;
  explanation.id = id;
  std::set<std::string> targets;
  std::set<std::string> processes;
  std::int64_t from = INT64_MAX;
  std::int64_t to = 0;
  for (const LogRecord& record : records) {
    if (record.event != "request" || record.Text("id") != id) {
      continue;
    }
    explanation.ends.push_back(
        {record.time, record.process, FieldsText(record)});
    AddSteps(record, explanation);
    targets.merge(TargetsIn(record.Text("steps")));
    processes.insert(record.process);
    const std::int64_t end = TimeMillis(record.time);
    from = std::min(from, end - record.Number("took_ms"));
    to = std::max(to, end);
    explanation.cause = CauseOfOutcome(record);
  }
  if (explanation.ends.empty()) {
    return Error{
        ErrorKind::kNotFound,
        "no log line names request '" + std::string(id) + "'",
        "provide the logs of all instances for the time of the request"};
  }
  for (const LogRecord& record : records) {
    const std::int64_t at = TimeMillis(record.time);
    if (at < from - kContextBeforeMs || at > to) {
      continue;
    }
    const bool own = processes.contains(record.process);
    const bool order =
        record.event == "order" || record.event == "move_planned";
    if ((own && IsInstanceStateEvent(record.event)) ||
        ((own || order) && InvolvesTargets(record, targets))) {
      explanation.context.push_back(
          {record.time, record.process, FieldsText(record)});
    }
  }
  return explanation;
}

std::string ExplanationText(const RequestExplanation& explanation) {
  std::string text = "request " + explanation.id + "\n";
  const auto section = [&](std::string_view title,
                           const std::vector<ExplanationLine>& lines) {
    if (lines.empty()) {
      return;
    }
    text += title;
    text += "\n";
    for (const ExplanationLine& line : lines) {
      text += "  " + line.time + "  " + line.process + "  " + line.text + "\n";
    }
  };
  section("ended", explanation.ends);
  section("steps", explanation.steps);
  section("known meanwhile", explanation.context);
  return text + "cause\n  " + explanation.cause + "\n";
}

boost::json::value ExplanationJson(const RequestExplanation& explanation) {
  const auto lines = [](const std::vector<ExplanationLine>& from) {
    boost::json::array array;
    for (const ExplanationLine& line : from) {
      array.push_back({{"time", line.time},
                       {"process", line.process},
                       {"text", line.text}});
    }
    return array;
  };
  return {{"id", explanation.id},
          {"ended", lines(explanation.ends)},
          {"steps", lines(explanation.steps)},
          {"known_meanwhile", lines(explanation.context)},
          {"cause", explanation.cause}};
}

}  // namespace jackdaw::logread
