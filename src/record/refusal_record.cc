#include "record/refusal_record.h"

#include <boost/json.hpp>

namespace jackdaw {
namespace {

namespace json = boost::json;

std::string ToLine(const json::object& object) {
  return json::serialize(object) + "\n";
}

}  // namespace

std::string EncodeRecordLine(std::uint64_t number,
                             const RefusalRecord& record) {
  return ToLine({{"number", number},
                 {"when_ms", ToMillis(record.when)},
                 {"request_id", record.request_id},
                 {"workspace", record.workspace},
                 {"key_digest", record.key_digest},
                 {"instance", record.instance},
                 {"kind", TraitsOf(record.kind).name},
                 {"ran", Name(record.ran)},
                 {"reason", record.reason},
                 {"config_version", record.config_version}});
}

std::string EncodeGapLine(std::uint64_t number,
                          std::string_view instance,
                          const LostRecords& lost) {
  return ToLine({{"number", number},
                 {"when_ms", ToMillis(lost.when)},
                 {"since_ms", ToMillis(lost.since)},
                 {"instance", instance},
                 {"kind", "gap"},
                 {"lost", lost.count},
                 {"reason", "the recorder was full"}});
}

std::string EncodeStartLine(std::uint64_t number,
                            std::string_view instance,
                            Instant when) {
  return ToLine({{"number", number},
                 {"when_ms", ToMillis(when)},
                 {"instance", instance},
                 {"kind", "start"}});
}

}  // namespace jackdaw
