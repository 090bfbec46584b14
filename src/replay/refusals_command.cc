#include <boost/json.hpp>
#include <iostream>

#include "replay/command.h"
#include "replay/refusal_run.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

json::object Row(std::string_view name, const RefusalRunShape& shape) {
  const RefusalRunResult result = RunRefusals(shape);
  return {{"run", name},
          {"instances", shape.instances},
          {"refused_total", result.refused},
          {"stored", result.stored},
          {"doubled", result.doubled},
          {"missing", result.missing},
          {"missing_told", result.missing_told},
          {"puts_per_second", result.puts_per_second},
          {"peak_puts_per_second", result.peak_puts_per_second},
          {"stored_bytes_per_second", result.stored_bytes_per_second},
          {"peak_buffer_bytes", result.peak_buffer_bytes},
          {"signature", result.signature}};
}

}  // namespace

// The recorder at 8, 64 and 370 instances without faults, and at 370 with a
// store outage, crashes and lost answers.
int RefusalsCommand(std::span<const std::string> /*arguments*/) {
  json::array rows;
  for (const int instances : {8, 64, 370}) {
    RefusalRunShape shape;
    shape.instances = instances;
    shape.refusals_per_second = 445.0 * instances / 370;
    rows.push_back(Row("steady", shape));
  }
  RefusalRunShape outage;
  outage.outage_from_s = 20;
  outage.outage_to_s = 80;
  rows.push_back(Row("store-outage", outage));
  RefusalRunShape faults;
  faults.crashes = 17;
  faults.lose_put_answer_one_in = 20;
  rows.push_back(Row("crashes-and-losses", faults));
  RefusalRunShape both = faults;
  both.outage_from_s = 20;
  both.outage_to_s = 80;
  rows.push_back(Row("crashes-in-outage", both));
  for (const auto& row : rows) {
    std::cout << json::serialize(row) << "\n";
  }
  return 0;
}

}  // namespace jackdaw
