// Response to a request: reading it from the target.
#include <algorithm>

#include "core/log.h"
#include "gateway/exchange.h"
#include "http/parse.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

namespace http = boost::beast::http;

// Unparsed bytes of a response, at most: an end of line that does not come
// within them will not come.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;
// Informational responses before the final one, at most.
constexpr int kMaxInformational = 8;
// Responses to other requests that are skipped, and bytes of their bodies, at
// most.
constexpr int kMaxForeignResponses = 4;
constexpr std::size_t kMaxForeignBytes = 256UL * 1024;

}  // namespace

void Exchange::OnDataReceived() {
  const auto self = shared_from_this();
  if (!ParseResponse()) {
    return;
  }
  // Bytes of a response to another request say nothing about this one.
  if (head_parsed_ || foreign_responses_ == 0) {
    RecordProgress();
  }
  if (head_parsed_) {
    OnResponseProgress();
  }
  if (!done_) {
    AccountResponse();
  }
}

void Exchange::RecordProgress() {
  const Instant now = deps_.clock.Now();
  if (first_forwarded_at_ != Instant{}) {
    longest_pause_ = std::max(longest_pause_, Micros(now - last_progress_at_));
  }
  last_progress_at_ = now;
  target_->last_received_at = now;
  deps_.crashes.OnTargetBytes(*target_, connection_->opened_at(), now);
}

// Starts to read a response from its first byte.
void Exchange::StartParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(boost::none);
  parser_->skip(request_.method() == http::verb::head);
  skipping_ = false;
}

// Parses the bytes received. @returns false if the attempt has ended
bool Exchange::ParseResponse() {
  if (!parser_) {
    StartParser();
  }
  auto& input = connection_->input();
  bool incomplete = false;
  while (input.size() > 0 && !parser_->is_done() && !incomplete) {
    boost::system::error_code failure;
    const std::size_t used = ParseSome(*parser_, input.data(), failure);
    input.consume(used);
    incomplete = failure == http::error::need_more;
    if (failure && !incomplete) {
      OnAttemptBroken("malformed answer");
      return false;
    }
    if (parser_->is_header_done() && !head_parsed_ && !SkipOtherResponse()) {
      return false;
    }
  }
  if (!parser_->is_done() && input.size() > kMaxUnparsedBytes) {
    OnAttemptBroken("endless answer");
    return false;
  }
  if (parser_->is_header_done() && !skipping_ && !head_parsed_) {
    OnResponseHead();
  }
  return true;
}

// Skips what has been read of a response that is informational, or that belongs
// to another request.
// @returns false if the attempt has ended
bool Exchange::SkipOtherResponse() {
  const auto& head = parser_->get();
  if (!IsValidStatusLine(head.result_int(), head.version())) {
    OnAttemptBroken("invalid status line");
    return false;
  }
  if (IsInformational(head.result_int())) {
    if (++informational_responses_ > kMaxInformational) {
      OnAttemptBroken("endless answer");
      return false;
    }
    StartParser();
    return true;
  }
  const auto id = head[platform::AttemptHeaderName()];
  return id.empty() || id == call_.id || SkipForeignResponse();
}

// Skips what has been read of a response to another request, such as an earlier
// refusal that the target has written once more. This request's own response
// may follow.
// @returns false if the attempt has ended
bool Exchange::SkipForeignResponse() {
  auto& head = parser_->get();
  if (!skipping_) {
    skipping_ = true;
    ++foreign_responses_;
    const auto id = head[platform::AttemptHeaderName()];
    trace_.Add(deps_.clock.Now(), "foreign_response",
               "status=" + std::to_string(head.result_int()));
    Log(LogLevel::kInfo, "foreign_response",
        {{"id", call_.id},
         {"other_id", std::string(id)},
         {"target", target_->entry.id},
         {"status", std::to_string(head.result_int())},
         {"connection", connection_reused_ ? "kept" : "new"}});
  }
  foreign_bytes_ += head.body().size();
  head.body().clear();
  // Whether a response has a body depends on the method of its request, which
  // is unknown here; only HEAD leaves it out.
  if (foreign_responses_ > kMaxForeignResponses ||
      foreign_bytes_ > kMaxForeignBytes ||
      request_.method() == http::verb::head) {
    OnAttemptBroken("answers of other requests");
    return false;
  }
  if (parser_->is_done()) {
    StartParser();
  }
  return true;
}

// Returns by what the end of the target's answer shows.
std::string_view Exchange::AnswerFraming() const {
  if (!parser_ || !head_parsed_) {
    return "";
  }
  if (parser_->need_eof()) {
    return "connection";
  }
  return parser_->chunked() ? "chunks" : "length";
}

}  // namespace jackdaw::serving
