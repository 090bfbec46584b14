#include "ctl/commands.h"

#include "config/check.h"
#include "core/clock.h"
#include "core/digest.h"
#include "core/object_reader.h"
#include "core/time.h"
#include "ctl/placement_command.h"
#include "ctl/printing.h"
#include "ctl/refusals_command.h"
#include "ctl/resource.h"
#include "ctl/timeline.h"
#include "ctl/withdraw_command.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

constexpr std::size_t kKeyBytes = 24;

Error Usage(std::string what) {
  return {ErrorKind::kInvalidSetting, std::move(what), "see jackdawctl --help"};
}

std::string Printed(const json::value& value, bool as_json) {
  if (as_json) {
    return json::serialize(value) + "\n";
  }
  if (value.is_array()) {
    return value.get_array().empty() ? "none\n" : TableText(value.get_array());
  }
  return TableText(json::array{value});
}

Result<std::string> Word(const CommandLine& line,
                         std::size_t index,
                         std::string_view what) {
  if (line.words.size() <= index) {
    return Usage(std::string(what) + " is missing");
  }
  return line.words[index];
}

// Checks a change as the instance will, without writing it.
Result<void> CheckHere(const ConfigDocument& before,
                       const ConfigDocument& after) {
  BOOST_OUTCOME_TRY(
      const auto wanted,
      ParseFleetConfig(json::serialize(after.content), before.version + 1));
  BOOST_OUTCOME_TRY(
      const auto found,
      ParseFleetConfig(json::serialize(before.content), before.version));
  return CheckChange(found, wanted, ToMillis(MonotonicClock().Now()));
}

// Writes an edited document, or shows what would change.
Result<std::string> Commit(const OperatorClient& client,
                           const CommandLine& line,
                           const ConfigDocument& before,
                           const ConfigDocument& after,
                           const json::object& shown) {
  if (line.dry_run) {
    BOOST_OUTCOME_TRY(CheckHere(before, after));
    const std::string change =
        Difference(json::value(before.content), json::value(after.content));
    return change.empty() ? "no change\n" : change;
  }
  BOOST_OUTCOME_TRY(const auto version, client.PutConfig(after));
  json::object result = shown;
  result["config_version"] = version;
  return Printed(result, line.json);
}

Result<std::string> CreateKey(const OperatorClient& client,
                              const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto id, Word(line, 2, "the key's id"));
  if (line.workspace.empty()) {
    return Usage("--workspace is missing");
  }
  BOOST_OUTCOME_TRY(const auto before, client.GetConfig());
  const std::string key = "jdk-" + RandomHex(kKeyBytes);
  ConfigDocument after = before;
  BOOST_OUTCOME_TRY(AddItem(after.content, *FindResource("key"),
                            json::object{{"id", id},
                                         {"workspace", line.workspace},
                                         {"digest", Sha256Hex(key)}}));
  return Commit(
      client, line, before, after,
      json::object{{"id", id}, {"workspace", line.workspace}, {"key", key}});
}

Result<std::string> SetLimit(const OperatorClient& client,
                             const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto workspace, Word(line, 2, "the workspace"));
  if (line.reason.empty()) {
    return Usage("--reason is missing; each exception carries one");
  }
  BOOST_OUTCOME_TRY(const auto before, client.GetConfig());
  ConfigDocument after = before;
  const auto put = [&](std::string_view setting, std::int64_t value) {
    if (value > 0) {
      PutItem(after.content, *FindResource("exception"),
              json::object{{"scope", "workspace/" + workspace},
                           {"setting", setting},
                           {"value", value},
                           {"reason", line.reason}});
    }
  };
  put("rate_tokens_per_s", line.rate);
  put("burst_tokens", line.burst);
  return Commit(client, line, before, after,
                json::object{{"workspace", workspace}});
}

Result<std::string> SetDefault(const OperatorClient& client,
                               const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto setting, Word(line, 2, "the setting"));
  BOOST_OUTCOME_TRY(const auto text, Word(line, 3, "the value"));
  BOOST_OUTCOME_TRY(const auto value, ParseJson(text));
  BOOST_OUTCOME_TRY(const auto before, client.GetConfig());
  ConfigDocument after = before;
  json::value& defaults = after.content["defaults"];
  if (!defaults.is_object()) {
    defaults = json::object();
  }
  defaults.get_object()[setting] = value;
  return Commit(client, line, before, after,
                json::object{{"setting", setting}, {"value", value}});
}

Result<std::string> RunResource(const OperatorClient& client,
                                const CommandLine& line,
                                const Resource& resource) {
  BOOST_OUTCOME_TRY(const auto verb, Word(line, 1, "the verb"));
  BOOST_OUTCOME_TRY(const auto before, client.GetConfig());
  if (verb == "list") {
    return Printed(ListItems(before.content, resource), line.json);
  }
  BOOST_OUTCOME_TRY(const auto name, Word(line, 2, "the name"));
  if (verb == "show") {
    BOOST_OUTCOME_TRY(const auto item,
                      FindItem(before.content, resource, name));
    return Printed(item, line.json);
  }
  ConfigDocument after = before;
  if (verb == "create") {
    BOOST_OUTCOME_TRY(auto item, BuildItem(resource, name, line.members));
    if (!line.reason.empty()) {
      item["reason"] = line.reason;
    }
    const json::object shown = item;
    BOOST_OUTCOME_TRY(AddItem(after.content, resource, std::move(item)));
    return Commit(client, line, before, after, shown);
  }
  if (verb == "delete") {
    const std::string setting = line.words.size() > 3 ? line.words[3] : "";
    BOOST_OUTCOME_TRY(RemoveItem(after.content, resource, name, setting));
    return Commit(client, line, before, after, json::object{{"deleted", name}});
  }
  return Usage("unknown verb '" + verb + "'");
}

// Begins or ends the evacuation of a failure domain.
Result<std::string> Evacuate(const OperatorClient& client,
                             const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto domain, Word(line, 1, "the failure domain"));
  const Resource& evacuations = *FindResource("evacuation");
  BOOST_OUTCOME_TRY(const auto before, client.GetConfig());
  ConfigDocument after = before;
  if (line.undo) {
    BOOST_OUTCOME_TRY(RemoveItem(after.content, evacuations, domain, ""));
  } else {
    PutItem(after.content, evacuations,
            json::object{{"failure_domain", domain}});
  }
  return Commit(
      client, line, before, after,
      json::object{{"failure_domain", domain}, {"evacuated", !line.undo}});
}

Result<std::string> ListEvacuations(const OperatorClient& client,
                                    const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto document, client.GetConfig());
  return Printed(ListItems(document.content, *FindResource("evacuation")),
                 line.json);
}

Result<std::string> Apply(const OperatorClient& client,
                          const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto path, Word(line, 1, "the file"));
  BOOST_OUTCOME_TRY(const auto text, ReadFile(path));
  BOOST_OUTCOME_TRY(const auto value, ParseJson(text));
  if (!value.is_object()) {
    return Usage(path + " must hold a JSON object");
  }
  BOOST_OUTCOME_TRY(const auto before, client.GetConfig());
  ConfigDocument after = before;
  after.content = value.get_object();
  return Commit(client, line, before, after, json::object{{"applied", path}});
}

Result<std::string> Drain(const OperatorClient& client,
                          const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto name, Word(line, 1, "the instance"));
  BOOST_OUTCOME_TRY(const auto instances, client.Instances());
  for (const auto& instance : instances) {
    if (instance.name == name) {
      BOOST_OUTCOME_TRY(const auto endpoint,
                        ParseEndpoint(instance.operator_address));
      BOOST_OUTCOME_TRY(OperatorClient(endpoint).Call("POST", "/v1/drain"));
      return Printed(json::object{{"instance", name}, {"draining", true}},
                     line.json);
    }
  }
  return Error{ErrorKind::kNotFound, "no instance '" + name + "'",
               "see jackdawctl status"};
}

Result<std::string> ShowStatus(const OperatorClient& client,
                               const CommandLine& line) {
  json::array unreachable;
  BOOST_OUTCOME_TRY(const auto answers,
                    CallAll(client, "/v1/status", &unreachable));
  json::array rows(answers.begin(), answers.end());
  for (const auto& name : unreachable) {
    rows.push_back(json::object{{"instance", name}, {"unreachable", true}});
  }
  return Printed(rows, line.json);
}

Result<std::string> ShowTimeline(const OperatorClient& client,
                                 const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto documents,
                    CallAll(client, "/v1/events", nullptr));
  const auto events =
      MergeEvents(documents, {line.request, line.workspace, line.target});
  if (line.chrome) {
    return TimelineChrome(events) + "\n";
  }
  if (line.json) {
    return json::serialize(json::array(events.begin(), events.end())) + "\n";
  }
  return TimelineText(events);
}

}  // namespace

Result<std::vector<json::value>> CallAll(const OperatorClient& client,
                                         std::string_view path,
                                         json::array* unreachable) {
  BOOST_OUTCOME_TRY(const auto instances, client.Instances());
  std::vector<json::value> answers;
  for (const auto& instance : instances) {
    const auto endpoint = ParseEndpoint(instance.operator_address);
    const auto answer = endpoint
                            ? OperatorClient(endpoint.value()).Call("GET", path)
                            : Result<json::value>(endpoint.error());
    if (answer) {
      answers.push_back(answer.value());
    } else if (unreachable != nullptr) {
      unreachable->emplace_back(instance.name);
    }
  }
  return answers;
}

Result<std::string> RunCommand(const OperatorClient& client,
                               const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto command, Word(line, 0, "the command"));
  const std::string verb = line.words.size() > 1 ? line.words[1] : "";
  if (command == "key" && verb == "create") {
    return CreateKey(client, line);
  }
  if (command == "key" && verb == "withdraw") {
    return WithdrawKey(client, line);
  }
  if (command == "limit" && verb == "set") {
    return SetLimit(client, line);
  }
  if (command == "default" && verb == "set") {
    return SetDefault(client, line);
  }
  if (command == "default" && verb == "list") {
    BOOST_OUTCOME_TRY(const auto document, client.GetConfig());
    const auto* defaults = document.content.if_contains("defaults");
    return Printed(
        defaults == nullptr ? json::value(json::object()) : *defaults,
        line.json);
  }
  if (command == "apply") {
    return Apply(client, line);
  }
  if (command == "evacuate") {
    return Evacuate(client, line);
  }
  if (command == "evacuations") {
    return ListEvacuations(client, line);
  }
  if (command == "drain") {
    return Drain(client, line);
  }
  if (command == "status") {
    return ShowStatus(client, line);
  }
  if (command == "placement") {
    return ShowPlacement(client, line);
  }
  if (command == "refusals") {
    return ShowRefusals(client, line);
  }
  if (command == "timeline") {
    return ShowTimeline(client, line);
  }
  if (const Resource* resource = FindResource(command)) {
    return RunResource(client, line, *resource);
  }
  return Usage("unknown command '" + command + "'");
}

}  // namespace jackdaw
