#include "record/refusal_record.h"

#include <boost/json.hpp>

namespace jackdaw {

std::string EncodeRecordLine(const RefusalRecord& record) {
  return boost::json::serialize(
             boost::json::object{{"when_ms", ToMillis(record.when)},
                                 {"request_id", record.request_id},
                                 {"workspace", record.workspace},
                                 {"key_digest", record.key_digest},
                                 {"instance", record.instance},
                                 {"kind", TraitsOf(record.kind).name},
                                 {"ran", Name(record.ran)},
                                 {"reason", record.reason},
                                 {"config_version", record.config_version}}) +
         "\n";
}

}  // namespace jackdaw
