#include "entry/stream_assembler.h"

#include <boost/json.hpp>

namespace jackdaw {

bool HasRequestId(std::string_view document, std::string_view id) {
  boost::system::error_code failure;
  const auto value = boost::json::parse(document, failure);
  if (failure || !value.is_object()) {
    return false;
  }
  const auto* found = value.as_object().if_contains("id");
  return found != nullptr && found->is_string() &&
         std::string_view(found->as_string()) == id;
}

std::string StreamAssembler::Feed(std::string_view bytes) {
  std::string out;
  for (const auto& event : scanner_.Feed(bytes)) {
    ProcessEvent(event, out);
  }
  return out;
}

void StreamAssembler::Restart() {
  scanner_ = EventScanner();
  crossed_ = false;
}

// Drops comments and unknown fields sent by the target, everything after the
// explicit end of the stream, and everything after an event that belongs to
// another request.
void StreamAssembler::ProcessEvent(const std::string& event, std::string& out) {
  constexpr std::string_view kData = "data: ";
  constexpr std::string_view kDone = "data: [DONE]";
  if (done_ || crossed_ || !event.starts_with(kData)) {
    return;
  }
  if (event == kDone) {
    done_ = true;
  } else if (HasRequestId(std::string_view(event).substr(kData.size()),
                          request_id_)) {
    ++tokens_;
  } else {
    crossed_ = true;
    return;
  }
  out += event;
  out += "\n\n";
}

}  // namespace jackdaw
