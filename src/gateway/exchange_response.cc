// Response to a request: reading it from the target.
#include <algorithm>

#include "core/log.h"
#include "gateway/exchange.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

namespace http = boost::beast::http;

// A response other than an event stream is read completely, up to this many
// bytes, before any of it is forwarded, so that the request can still be
// retried if the response breaks off.
constexpr std::size_t kMaxBufferedResponse = 256UL * 1024;
// Unparsed bytes of a response, at most: an end of line that does not come
// within them will not come.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;
// Bytes of an incomplete event, at most.
constexpr std::size_t kMaxPartialEvent = 256UL * 1024;
// Informational responses before the final one, at most.
constexpr int kMaxInformational = 8;

bool IsEventStream(const http::response_header<>& head) {
  const auto type = head[http::field::content_type];
  return type.starts_with("text/event-stream");
}

}  // namespace

void Exchange::OnDataReceived() {
  const auto self = shared_from_this();
  const Instant now = deps_.clock.Now();
  if (first_forwarded_at_ != Instant{}) {
    longest_pause_ = std::max(longest_pause_, Micros(now - last_progress_at_));
  }
  last_progress_at_ = now;
  target_->last_received_at = now;
  deps_.crashes.OnTargetBytes(*target_, connection_->opened_at(), now);
  if (!ParseResponse()) {
    return;
  }
  if (parser_->is_header_done()) {
    OnResponseProgress();
  }
}

// Parses the bytes received. @returns false if the attempt has ended
bool Exchange::ParseResponse() {
  if (!parser_) {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(boost::none);
    parser_->skip(request_.method() == http::verb::head);
  }
  auto& input = connection_->input();
  boost::system::error_code failure;
  while (input.size() > 0 && !parser_->is_done()) {
    const std::size_t used = parser_->put(input.data(), failure);
    input.consume(used);
    if (failure == http::error::need_more) {
      break;
    }
    if (failure) {
      OnAttemptBroken("malformed answer");
      return false;
    }
    if (parser_->is_header_done() && parser_->get().result_int() < 200) {
      if (++informational_responses_ > kMaxInformational) {
        OnAttemptBroken("endless answer");
        return false;
      }
      parser_.emplace();
      parser_->eager(true);
      parser_->body_limit(boost::none);
    }
  }
  if (!parser_->is_done() && input.size() > kMaxUnparsedBytes) {
    OnAttemptBroken("endless answer");
    return false;
  }
  if (parser_->is_header_done() && !head_parsed_) {
    OnResponseHead();
    return head_parsed_;
  }
  return true;
}

// Returns by what the end of the target's answer shows.
std::string_view Exchange::AnswerFraming() const {
  if (!parser_ || !parser_->is_header_done()) {
    return "";
  }
  if (parser_->need_eof()) {
    return "connection";
  }
  return parser_->chunked() ? "chunks" : "length";
}

void Exchange::OnResponseHead() {
  const Instant now = deps_.clock.Now();
  response_head_ = platform::DecodeAnswer(parser_->get());
  if (!response_head_.id.empty() && !call_.id.empty() &&
      response_head_.id != call_.id) {
    OnAttemptBroken("answer of another request");
    return;
  }
  head_parsed_ = true;
  // 421 comes from another target that has taken over the address.
  if (parser_->get().result_int() != 421) {
    deps_.crashes.OnTargetAnswered(*target_, now);
  }
  first_byte_recorded_ = true;
  const bool was_leaving = target_->leaving;
  deps_.targets.OnFirstByte(*target_, response_head_, expected_prefill_,
                            sent_at_, now);
  if (target_->leaving && !was_leaving) {
    deps_.fleet.SendHeartbeatNow();
  }
  trace_.Add(now, "head",
             "status=" + std::to_string(parser_->get().result_int()) +
                 (response_head_.not_executed ? " not_executed" : ""));
}

void Exchange::OnResponseProgress() {
  const int status = static_cast<int>(parser_->get().result_int());
  const bool failed =
      status >= 500 || response_head_.not_executed || status == 429;
  if (failed || (head_sent_ && is_stream_ && !IsEventStream(parser_->get()))) {
    if (parser_->is_done()) {
      OnFailedResponse();
    } else if (parser_->get().body().size() > kMaxBufferedResponse) {
      OnAttemptBroken("endless answer");
    }
    return;
  }
  if (status == 200 && IsEventStream(parser_->get())) {
    is_stream_ = true;
    events_.Add(parser_->get().body());
    parser_->get().body().clear();
    ForwardEvents(parser_->is_done());
    if (!done_ && events_.partial_bytes() > kMaxPartialEvent) {
      OnAttemptBroken("endless answer");
    }
    return;
  }
  if (head_sent_ || parser_->get().body().size() > kMaxBufferedResponse) {
    ForwardBytes(parser_->is_done());
  } else if (parser_->is_done()) {
    SendBufferedResponse();
  }
}

// Handles a complete response by which the target failed or rejected the
// request, or cannot continue a stream.
void Exchange::OnFailedResponse() {
  const int status = static_cast<int>(parser_->get().result_int());
  const bool ran = !response_head_.not_executed;
  // A target answers 421 if it does not hold the adapter.
  if (!call_.adapter.empty() && status == 421) {
    deps_.targets.SetAdapter(*target_, call_.ModelName(), false);
  }
  const bool may_retry = TryTakeRetry(ran);
  // A 400 is caused by the request, so it is forwarded.
  if (may_retry || head_sent_ || (!ran && status != 400)) {
    excluded_targets_.push_back(target_);
    EndAttempt(ran ? TargetOutcome::kFailed : TargetOutcome::kRejected);
    if (may_retry) {
      Retry("status " + std::to_string(status), ran);
    } else if (head_sent_) {
      AbortResponse("target failed");
    } else {
      const TargetPick pick = PickTarget(excluded_targets_);
      OnNoTarget(pick.outcome == PickOutcome::kResting ? pick : TargetPick{});
    }
    return;
  }
  may_have_run_ = may_have_run_ || ran;
  SendBufferedResponse();
}

void Exchange::OnAttemptBroken(std::string_view how) {
  const Instant now = deps_.clock.Now();
  trace_.Add(now, "broken", target_->entry.id + " " + std::string(how));
  // The target has probably closed the idle connection, so the request may be
  // sent to it again. CrashSuspects finds out whether it has crashed.
  const bool stale = connection_reused_ && !first_byte_recorded_;
  Log(LogLevel::kInfo, "attempt_broken",
      {{"id", call_.id},
       {"digest", std::to_string(causes_.request)},
       {"target", target_->entry.id},
       {"born", std::to_string(target_->entry.born_ms)},
       {"connection", connection_reused_ ? "kept" : "new"},
       {"after_ms", std::to_string((now - sent_at_) / 1ms)},
       {"framing", std::string(AnswerFraming())},
       {"partial_event_bytes", std::to_string(events_.partial_bytes())},
       {"how", std::string(how)}});
  if (!stale) {
    excluded_targets_.push_back(target_);
  }
  EndAttempt(stale ? TargetOutcome::kAbandoned : TargetOutcome::kBroken);
  if (TryTakeRetry(true)) {
    if (head_sent_) {
      ++deps_.counters.resumed;
    }
    RetryAfterBreak();
    return;
  }
  may_have_run_ = true;
  if (head_sent_) {
    AbortResponse("target broke off");
    return;
  }
  Reject({502, "target_broke_off", "the request may have run", std::nullopt});
}

// Returns whether a stream that ended now would end inside an event, or before
// its first one.
bool Exchange::EndsInsideEvent() const {
  const auto& head = parser_->get();
  return head.result_int() == 200 && IsEventStream(head) &&
         (events_.partial_bytes() > 0 || !event_received_);
}

}  // namespace jackdaw::serving
