// Response to a request: what becomes of it.
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
// Bytes of an incomplete event, at most.
constexpr std::size_t kMaxPartialEvent = 256UL * 1024;

constexpr std::string_view kEventStreamType = "text/event-stream";

bool IsEventStream(const http::response_header<>& head) {
  const auto type = head[http::field::content_type];
  return boost::beast::iequals(type.substr(0, type.find_first_of("; \t")),
                               kEventStreamType);
}

// Only such a response is forwarded as a stream, or continues one.
bool IsGoodStream(const http::response_header<>& head) {
  return head.result_int() == 200 && IsEventStream(head);
}

// Returns whether a caller takes the status for a promise that the request has
// not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void Exchange::OnResponseHead() {
  const Instant now = deps_.clock.Now();
  response_head_ = platform::DecodeAnswer(parser_->get());
  head_parsed_ = true;
  CheckRefusal();
  // 421 comes from another target that has taken over the address.
  if (parser_->get().result_int() != 421) {
    deps_.crashes.OnTargetAnswered(*target_, now);
  }
  first_byte_recorded_ = true;
  const bool was_leaving = target_->leaving;
  deps_.targets.OnFirstByte(*target_, response_head_, expected_prefill_,
                            sent_at_, now, &sent_request_);
  if (target_->leaving && !was_leaving) {
    deps_.fleet.SendHeartbeatNow();
  }
  trace_.Add(now, "head",
             "status=" + std::to_string(parser_->get().result_int()) +
                 (response_head_.not_executed ? " not_executed" : ""));
}

// A target may write an earlier refusal once more. If it has refused a request
// of this id before, a second refusal does not show that this one has not run.
void Exchange::CheckRefusal() {
  if (!response_head_.not_executed) {
    return;
  }
  if (target_->refused_ids.Contains(call_.id) && !route_->Repeatable()) {
    trace_.Add(deps_.clock.Now(), "refusal_doubted", target_->entry.id);
    response_head_.not_executed = false;
  }
  target_->refused_ids.Add(call_.id);
}

// Returns whether the response shows that the target has failed or rejected the
// request.
bool Exchange::FailedResponse() const {
  const int status = static_cast<int>(parser_->get().result_int());
  return status >= 500 || response_head_.not_executed || PromisesNotRun(status);
}

void Exchange::OnResponseProgress() {
  const bool failed = FailedResponse();
  const bool cannot_continue =
      head_sent_ && is_stream_ && !IsGoodStream(parser_->get());
  if (failed || cannot_continue) {
    if (parser_->is_done() || cannot_continue) {
      OnFailedResponse();
    } else if (parser_->get().body().size() > kMaxBufferedResponse) {
      OnAttemptBroken("endless answer");
    }
    return;
  }
  if (IsGoodStream(parser_->get()) && request_.method() != http::verb::head) {
    events_.Add(parser_->get().body());
    parser_->get().body().clear();
    ForwardEvents(parser_->is_done());
    if (!done_ && events_.partial_bytes() > kMaxPartialEvent) {
      OnAttemptBroken("endless answer");
    }
    return;
  }
  const bool may_hold = parser_->is_done() || caller_->MayHoldBack();
  const std::size_t most = may_hold ? kMaxBufferedResponse : 0;
  if (head_sent_ || parser_->get().body().size() > most) {
    ForwardBytes(parser_->is_done());
  } else if (parser_->is_done()) {
    SendBufferedResponse();
  }
}

// Handles a complete response by which the target failed or rejected the
// request, or what has come of one that cannot continue a stream.
void Exchange::OnFailedResponse() {
  const int status = static_cast<int>(parser_->get().result_int());
  const bool ran = !response_head_.not_executed;
  // A target answers 421 if it does not hold the adapter.
  if (!call_.adapter.empty() && status == 421) {
    deps_.targets.SetAdapter(*target_, call_.ModelName(), false);
  }
  if (head_sent_) {
    trace_.Add(deps_.clock.Now(), "continuation_refused",
               target_->entry.id + " status=" + std::to_string(status));
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
      const bool has_time = pick.outcome == PickOutcome::kResting ||
                            pick.outcome == PickOutcome::kFull;
      OnNoTarget(has_time ? pick : TargetPick{});
    }
    return;
  }
  may_have_run_ = may_have_run_ || ran;
  if (ran && !route_->Repeatable() && PromisesNotRun(status)) {
    EndAttempt(TargetOutcome::kFailed);
    Reject({502, "target_failed", "the request may have run", std::nullopt});
    return;
  }
  SendBufferedResponse();
}

void Exchange::OnAttemptBroken(std::string_view how) {
  const Instant now = deps_.clock.Now();
  trace_.Add(now, "broken", target_->entry.id + " " + std::string(how));
  // The target has probably closed the idle connection, so the request may be
  // sent to it again. CrashSuspects finds out whether it has crashed.
  const bool stale =
      connection_reused_ && !first_byte_recorded_ && foreign_responses_ == 0;
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
  return IsGoodStream(parser_->get()) &&
         (events_.partial_bytes() > 0 || !event_received_);
}

}  // namespace jackdaw::serving
