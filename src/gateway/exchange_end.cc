// Responses of the instance's own, and the log and metrics of each request.
#include <algorithm>

#include "core/log.h"
#include "gateway/exchange.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

namespace http = boost::beast::http;

}  // namespace

// Sends the caller an error response and ends the exchange. Refunds the quota
// units if the request has not run.
void Exchange::Reject(const Rejection& rejection) {
  const auto self = weak_from_this().lock();
  const Instant now = deps_.clock.Now();
  const bool not_run = rejection.status == 429 || rejection.status == 503;
  if (attempts_ == 0 || (not_run && !may_have_run_)) {
    deps_.fleet.RefundUnits(std::exchange(charge_, {}));
  }
  KeepConnectionForReadAhead();
  std::string body = R"({"kind":")";
  body += rejection.kind;
  body += R"(","remedy":")";
  body += rejection.remedy;
  body += R"(","ran":")";
  body += not_run || attempts_ == 0 ? "no" : "unknown";
  body += "\"}";
  std::string text = "HTTP/1.1 " + std::to_string(rejection.status) + " ";
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(rejection.status));
  text += std::string_view(reason.data(), reason.size());
  text += "\r\nContent-Type: application/problem+json\r\n";
  if (!call_.id.empty()) {
    text += platform::AttemptHeaderName();
    text += ": " + call_.id + "\r\n";
  }
  std::string retry_after;
  if (rejection.retry_at) {
    const double seconds = std::max(
        0.05, std::chrono::duration<double>(*rejection.retry_at - now).count());
    retry_after = std::to_string(seconds);
    text += "Retry-After: " + retry_after + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += closing_ ? "Connection: close\r\n\r\n" : "\r\n";
  if (request_.method() != http::verb::head) {
    text += body;
  }
  trace_.Add(now, "refused",
             std::string(rejection.kind) +
                 (retry_after.empty() ? "" : " retry_after_s=" + retry_after));
  ++(not_run ? deps_.counters.rejected : deps_.counters.failed);
  RecordEnd(not_run ? "refused" : "failed", rejection.status, rejection.kind);
  Close();
  caller_->Write(std::move(text));
  caller_->EndResponse(!closing_);
}

// Ends the request: aborts a response that is partly sent, else rejects the
// request. If no target can have run it, the caller may retry at once at
// another instance.
void Exchange::OnShutdown() {
  if (done_) {
    return;
  }
  closing_ = true;
  ended_by_shutdown_ = true;
  if (head_sent_) {
    AbortResponse("the instance ends");
  } else if (sent_ || may_have_run_) {
    Reject({502, "instance_ended", "the request may have run", std::nullopt});
  } else {
    Reject({503, "instance_ended", "use another instance", deps_.clock.Now()});
  }
}

// Ends a response that is partly sent by closing the connection, so that the
// caller cannot take it for complete.
void Exchange::AbortResponse(std::string_view why) {
  const auto self = shared_from_this();
  trace_.Add(deps_.clock.Now(), "broken_off", std::string(why));
  ++deps_.counters.aborted;
  RecordEnd("broken_off", 200, why);
  Close();
  caller_->Abort();
}

// Returns whether the first byte or a pause of the stream exceeded the route's
// objective.
bool Exchange::IsLate() const {
  if (route_ == nullptr || first_forwarded_at_ == Instant{}) {
    return false;
  }
  const bool slow_pause = is_stream_ && route_->pause_objective > 0us &&
                          longest_pause_ > route_->pause_objective;
  return slow_pause ||
         first_forwarded_at_ - trace_.started_at() > route_->latency_objective;
}

void Exchange::RecordEnd(std::string_view outcome,
                         int status,
                         std::string_view reason) {
  const Instant now = deps_.clock.Now();
  end_recorded_ = true;
  const bool late = IsLate();
  const bool log_steps = outcome != "answered" || status >= 400 || late;
  if (route_ != nullptr) {
    RequestEnd end;
    end.kind = route_->kind;
    end.priority = priority_;
    end.outcome = outcome;
    end.reason = reason;
    end.late = late;
    end.total_time = now - trace_.started_at();
    if (first_forwarded_at_ != Instant{}) {
      end.time_to_first_byte = first_forwarded_at_ - trace_.started_at();
    }
    deps_.metrics.OnRequestEnd(end);
  }
  Log(LogLevel::kInfo, "request",
      {{"id", call_.id},
       {"outcome", std::string(outcome)},
       {"status", std::to_string(status)},
       {"reason", std::string(reason)},
       {"route", route_ == nullptr ? "" : route_->name},
       {"workspace", workspace_ == nullptr ? "" : workspace_->name},
       {"model", call_.ModelName()},
       {"priority", std::to_string(priority_)},
       {"tokens", std::to_string(call_.Tokens())},
       {"config", config_ == nullptr ? "" : std::to_string(config_->version)},
       {"sends", std::to_string(attempts_)},
       {"framing", std::string(AnswerFraming())},
       {"partial_event_bytes", std::to_string(events_.partial_bytes())},
       {"late", late ? "yes" : "no"},
       {"first_ms",
        first_forwarded_at_ == Instant{}
            ? ""
            : std::to_string((first_forwarded_at_ - trace_.started_at()) /
                             1ms)},
       {"pause_ms", std::to_string(longest_pause_ / 1ms)},
       {"took_ms", std::to_string((now - trace_.started_at()) / 1ms)},
       {"steps", log_steps ? trace_.Text() : ""}});
}

}  // namespace jackdaw::serving
