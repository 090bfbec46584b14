// Ends of a request that are our own, and what is recorded of every end.
#include <algorithm>

#include "core/log.h"
#include "gateway/exchange.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

namespace http = boost::beast::http;

}  // namespace

// Gives the caller a final answer of our own.
void Exchange::Refuse(const Refusal& refusal) {
  const auto self = weak_from_this().lock();
  const Instant now = ports_.clock.Now();
  const bool not_run = refusal.status == 429 || refusal.status == 503;
  if (charged_ > 0 && (sends_ == 0 || (not_run && !may_have_run_))) {
    ports_.quotas.Refund(workspace_->name, charged_, now);
  }
  std::string body = R"({"kind":")";
  body += refusal.kind;
  body += R"(","remedy":")";
  body += refusal.remedy;
  body += R"(","ran":")";
  body += not_run || sends_ == 0 ? "no" : "unknown";
  body += "\"}";
  std::string text = "HTTP/1.1 " + std::to_string(refusal.status) + " ";
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(refusal.status));
  text += std::string_view(reason.data(), reason.size());
  text += "\r\nContent-Type: application/problem+json\r\n";
  if (!call_.id.empty()) {
    text += platform::AttemptHeaderName();
    text += ": " + call_.id + "\r\n";
  }
  std::string retry_after;
  if (refusal.retry_at) {
    const double seconds = std::max(
        0.05, std::chrono::duration<double>(*refusal.retry_at - now).count());
    retry_after = std::to_string(seconds);
    text += "Retry-After: " + retry_after + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += closing_ ? "Connection: close\r\n\r\n" : "\r\n";
  text += body;
  trace_.Add(now, "refused",
             std::string(refusal.kind) +
                 (retry_after.empty() ? "" : " retry_after_s=" + retry_after));
  ++(not_run ? ports_.counts.refused : ports_.counts.failed);
  LogEnd(not_run ? "refused" : "failed", refusal.status, refusal.kind);
  Close();
  caller_->Write(std::move(text));
  caller_->EndAnswer(!closing_);
}

// A request that no target was sent may be tried elsewhere at once.
void Exchange::OnInstanceEnds() {
  if (done_) {
    return;
  }
  closing_ = true;
  if (head_sent_) {
    BreakOff("the instance ends");
  } else if (sent_ || may_have_run_) {
    Refuse({502, "instance_ended", "the request may have run", std::nullopt});
  } else {
    Refuse({503, "instance_ended", "use another instance", ports_.clock.Now()});
  }
}

// Ends an answer that has begun, so that it does not look whole.
void Exchange::BreakOff(std::string_view why) {
  const auto self = shared_from_this();
  trace_.Add(ports_.clock.Now(), "broken_off", std::string(why));
  ++ports_.counts.broken_off;
  LogEnd("broken_off", 200, why);
  Close();
  caller_->Abort();
}

// Whether the first byte came after the objective, or a pause was too long.
bool Exchange::IsLate() const {
  if (route_ == nullptr || first_event_at_ == Instant{}) {
    return false;
  }
  const bool slow_pause = is_stream_ && route_->pause_objective > 0us &&
                          longest_pause_ > route_->pause_objective;
  return slow_pause ||
         first_event_at_ - trace_.began() > route_->latency_objective;
}

void Exchange::LogEnd(std::string_view outcome,
                      int status,
                      std::string_view reason) {
  const Instant now = ports_.clock.Now();
  const bool late = IsLate();
  const bool in_full = outcome != "answered" || status >= 400 || late;
  if (route_ != nullptr) {
    RequestEnd end;
    end.kind = route_->kind;
    end.priority = priority_;
    end.outcome = outcome;
    end.reason = reason;
    end.late = late;
    end.took = now - trace_.began();
    if (first_event_at_ != Instant{}) {
      end.first_byte = first_event_at_ - trace_.began();
    }
    ports_.metrics.OnRequestEnd(end);
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
       {"sends", std::to_string(sends_)},
       {"late", late ? "yes" : "no"},
       {"first_ms",
        first_event_at_ == Instant{}
            ? ""
            : std::to_string((first_event_at_ - trace_.began()) / 1ms)},
       {"pause_ms", std::to_string(longest_pause_ / 1ms)},
       {"took_ms", std::to_string((now - trace_.began()) / 1ms)},
       {"steps", in_full ? trace_.Text() : ""}});
}

}  // namespace jackdaw::serving
