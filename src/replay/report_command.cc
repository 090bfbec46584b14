#include <boost/json.hpp>
#include <iostream>
#include <vector>

#include "core/object_reader.h"
#include "replay/bar_chart.h"
#include "replay/command.h"
#include "replay/options.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Collects every object that holds the figure, in order, with a label made
// of its string members.
void Collect(const json::value& value,
             std::string_view figure,
             std::vector<Bar>& bars) {
  if (const auto* array = value.if_array()) {
    for (const auto& item : *array) {
      Collect(item, figure, bars);
    }
    return;
  }
  const auto* object = value.if_object();
  if (object == nullptr) {
    return;
  }
  const auto* found = object->if_contains(figure);
  if (found != nullptr && found->is_number()) {
    std::string label;
    for (const auto& member : *object) {
      if (member.value().is_string()) {
        label += (label.empty() ? "" : " ") +
                 std::string(member.value().get_string());
      }
    }
    bars.push_back({label, found->to_number<double>()});
    return;
  }
  for (const auto& member : *object) {
    Collect(member.value(), figure, bars);
  }
}

}  // namespace

int ReportCommand(std::span<const std::string> arguments) {
  const std::string figure = OptionOr(arguments, "--figure", "");
  if (arguments.empty() || figure.empty()) {
    std::cerr << "jackdaw-replay: report FILE --figure NAME; FILE holds JSON "
                 "lines that another command printed\n";
    return ExitCode(ErrorKind::kInvalidSetting);
  }
  const auto text = ReadFile(arguments.front());
  if (!text) {
    std::cerr << "jackdaw-replay: " << text.error().Line() << "\n";
    return ExitCode(text.error().kind);
  }
  std::vector<Bar> bars;
  std::string_view rest = text.value();
  while (!rest.empty()) {
    const std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    if (const auto value = ParseJson(line)) {
      Collect(value.value(), figure, bars);
    }
  }
  if (bars.empty()) {
    std::cerr << "jackdaw-replay: no '" << figure << "' in the file\n";
    return ExitCode(ErrorKind::kNotFound);
  }
  std::cout << BarChartSvg(OptionOr(arguments, "--title", figure), bars);
  return 0;
}

}  // namespace jackdaw
