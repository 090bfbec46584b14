#include "ctl/placement_command.h"

#include "ctl/printing.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Adds the entries of a list of an instance to the list of the fleet.
void Append(json::object& fleet,
            const json::value& answer,
            std::string_view list) {
  const auto* entries = answer.as_object().if_contains(list);
  if (entries != nullptr && entries->is_array()) {
    auto& all = fleet[list].as_array();
    all.insert(all.end(), entries->get_array().begin(),
               entries->get_array().end());
  }
}

std::string Section(std::string_view title, const json::value& entries) {
  const auto& items = entries.get_array();
  return std::string(title) + "\n" +
         (items.empty() ? "none\n" : TableText(items));
}

}  // namespace

Result<std::string> ShowPlacement(const OperatorClient& client,
                                  const CommandLine& line) {
  BOOST_OUTCOME_TRY(const auto instances, client.Instances());
  json::object fleet;
  for (const auto* list : {"leases", "placed", "moves", "unreachable"}) {
    fleet[list] = json::array();
  }
  for (const auto& instance : instances) {
    const auto endpoint = ParseEndpoint(instance.operator_address);
    const auto answer =
        endpoint ? OperatorClient(endpoint.value()).Call("GET", "/v1/placement")
                 : Result<json::value>(endpoint.error());
    if (!answer || !answer.value().is_object()) {
      fleet["unreachable"].as_array().emplace_back(
          json::object{{"instance", instance.name}});
      continue;
    }
    for (const auto* list : {"leases", "placed", "moves"}) {
      Append(fleet, answer.value(), list);
    }
  }
  if (line.json) {
    return json::serialize(fleet) + "\n";
  }
  std::string text = Section("Targets", fleet["leases"]) +
                     Section("\nPlaced", fleet["placed"]) +
                     Section("\nMoves", fleet["moves"]);
  if (!fleet["unreachable"].get_array().empty()) {
    text += Section("\nNot reached", fleet["unreachable"]);
  }
  return text;
}

}  // namespace jackdaw
