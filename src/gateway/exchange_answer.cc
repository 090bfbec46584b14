// Answering of a request: reading the target's answer and passing it on.
#include <algorithm>
#include <array>
#include <cstdio>

#include "core/log.h"
#include "gateway/exchange.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

namespace http = boost::beast::http;

// A whole answer up to this size is read before any of it is passed on, so
// that one which breaks off can still be replaced.
constexpr std::size_t kWholeAnswer = 256UL * 1024;
// Bytes that wait for a slow caller before the target is no longer read.
constexpr std::size_t kMostPending = 64UL * 1024;

bool IsEventStream(const http::response_header<>& head) {
  const auto type = head[http::field::content_type];
  return type.starts_with("text/event-stream");
}

}  // namespace

void Exchange::OnLinkBytes() {
  const auto self = shared_from_this();
  const Instant now = ports_.clock.Now();
  if (first_event_at_ != Instant{}) {
    longest_pause_ = std::max(longest_pause_, Micros(now - progress_at_));
  }
  progress_at_ = now;
  target_->heard_at = now;
  if (!ParseAnswer()) {
    return;
  }
  if (parser_->is_header_done()) {
    OnAnswerProgress();
  }
}

// Feeds what came to the parser. @returns false when the attempt has ended
bool Exchange::ParseAnswer() {
  if (!parser_) {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(boost::none);
    parser_->skip(request_.method() == http::verb::head);
  }
  auto& input = link_->input();
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
      parser_.emplace();
      parser_->eager(true);
      parser_->body_limit(boost::none);
    }
  }
  if (parser_->is_header_done() && !head_seen_) {
    OnAnswerHead();
    return head_seen_;
  }
  return true;
}

void Exchange::OnAnswerHead() {
  const Instant now = ports_.clock.Now();
  answer_ = platform::DecodeAnswer(parser_->get());
  if (!answer_.id.empty() && !call_.id.empty() && answer_.id != call_.id) {
    OnAttemptBroken("answer of another request");
    return;
  }
  head_seen_ = true;
  first_byte_ = true;
  ports_.board.OnFirstByte(*target_, answer_, expected_reading_, sent_at_, now);
  trace_.Add(now, "head",
             "status=" + std::to_string(parser_->get().result_int()) +
                 (answer_.not_executed ? " not_executed" : ""));
}

void Exchange::OnAnswerProgress() {
  const int status = static_cast<int>(parser_->get().result_int());
  const bool failed = status >= 500 || answer_.not_executed || status == 429;
  if (failed || (head_sent_ && is_stream_ && !IsEventStream(parser_->get()))) {
    if (parser_->is_done()) {
      OnFailedAnswer();
    }
    return;
  }
  if (status == 200 && IsEventStream(parser_->get())) {
    is_stream_ = true;
    events_.Add(parser_->get().body());
    parser_->get().body().clear();
    ForwardEvents(parser_->is_done());
    return;
  }
  if (head_sent_ || parser_->get().body().size() > kWholeAnswer) {
    ForwardBytes(parser_->is_done());
  } else if (parser_->is_done()) {
    SendWhole();
  }
}

// The target answered that it failed or refused.
void Exchange::OnFailedAnswer() {
  const int status = static_cast<int>(parser_->get().result_int());
  const bool ran = !answer_.not_executed;
  if (!call_.adapter.empty() && status == 421) {
    ports_.board.SetAdapter(*target_, call_.ModelName(), false);
  }
  const bool may_retry = MayRetry(ran);
  if (may_retry || head_sent_ || (!ran && status != 400)) {
    tried_.push_back(target_);
    EndAttempt(ran ? TargetOutcome::kFailed : TargetOutcome::kRefused);
    if (may_retry) {
      Retry("status " + std::to_string(status), ran);
    } else if (head_sent_) {
      BreakOff("target failed");
    } else {
      OnNoTarget({});
    }
    return;
  }
  may_have_run_ = may_have_run_ || ran;
  SendWhole();
}

void Exchange::OnAttemptBroken(std::string_view how) {
  const Instant now = ports_.clock.Now();
  trace_.Add(now, "broken", target_->entry.id + " " + std::string(how));
  const bool stale = link_was_used_ && !first_byte_;
  if (!stale) {
    ports_.crashes.OnBroken(digest_, now);
    tried_.push_back(target_);
  }
  EndAttempt(stale ? TargetOutcome::kAbandoned : TargetOutcome::kBroken);
  if (MayRetry(true)) {
    if (head_sent_) {
      ++ports_.counts.resumed;
    }
    Retry("broken", true);
    return;
  }
  may_have_run_ = true;
  if (head_sent_) {
    BreakOff("target broke off");
    return;
  }
  Refuse({502, "target_broke_off", "the request may have run", std::nullopt});
}

std::string Exchange::AnswerHeadText(std::string_view framing) const {
  const auto& head = parser_->get();
  std::string text = "HTTP/1.1 " + std::to_string(head.result_int()) + " ";
  text += std::string_view(head.reason().data(), head.reason().size());
  text += "\r\n";
  text += platform::EncodeAnswerFields(head);
  text += framing;
  if (closing_) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return text;
}

void Exchange::AppendChunk(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  std::array<char, 20> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  pending_.append(size.data(), static_cast<std::size_t>(length));
  pending_ += bytes;
  pending_ += "\r\n";
}

// Passes on the events that are whole.
void Exchange::ForwardEvents(bool last) {
  std::string whole;
  events_.TakeWhole(whole);
  if (last) {
    whole += events_.TakeRest();
  }
  if (!head_sent_ && (!whole.empty() || last)) {
    head_sent_ = true;
    first_event_at_ = ports_.clock.Now();
    pending_ += AnswerHeadText("Transfer-Encoding: chunked\r\n");
  }
  AppendChunk(whole);
  if (last) {
    pending_ += "0\r\n\r\n";
    answer_ended_ = true;
  }
  Flush();
}

// Passes on a large answer as it comes.
void Exchange::ForwardBytes(bool last) {
  auto& body = parser_->get().body();
  if (!head_sent_) {
    head_sent_ = true;
    first_event_at_ = ports_.clock.Now();
    const auto length = parser_->content_length();
    chunked_ = !length;
    pending_ += AnswerHeadText(
        length ? "Content-Length: " + std::to_string(*length) + "\r\n"
               : std::string("Transfer-Encoding: chunked\r\n"));
  }
  if (chunked_) {
    AppendChunk(body);
  } else {
    pending_ += body;
  }
  body.clear();
  if (last) {
    pending_ += chunked_ ? "0\r\n\r\n" : "";
    answer_ended_ = true;
  }
  Flush();
}

// Passes on an answer that was read whole.
void Exchange::SendWhole() {
  const auto& head = parser_->get();
  const auto length = request_.method() == http::verb::head
                          ? std::string(head[http::field::content_length])
                          : std::to_string(head.body().size());
  const bool bodiless =
      head.result_int() == 204 || head.result_int() == 304 || length.empty();
  pending_ = AnswerHeadText(bodiless ? std::string()
                                     : "Content-Length: " + length + "\r\n");
  pending_ += head.body();
  head_sent_ = true;
  first_event_at_ = ports_.clock.Now();
  answer_ended_ = true;
  Flush();
}

// Writes what waits, and ends the exchange after the last byte.
void Exchange::Flush() {
  if (answer_ended_ && !done_ && target_ != nullptr) {
    const int status = static_cast<int>(parser_->get().result_int());
    const bool reusable = parser_->get().keep_alive() && !parser_->need_eof() &&
                          !link_->sending();
    ports_.crashes.OnAnswered(digest_);
    if (reusable) {
      ports_.links.Give(*target_, std::move(link_), answer_.keep_alive_seconds);
      link_.reset();
    }
    EndAttempt(status >= 500 ? TargetOutcome::kFailed
                             : TargetOutcome::kAnswered);
    ports_.deadlines.Clear(deadline_handle_);
    ++ports_.counts.answered;
    LogEnd("answered", status, "");
  }
  if (!caller_writing_ && !pending_.empty()) {
    caller_writing_ = true;
    std::string bytes;
    bytes.swap(pending_);
    caller_->Write(std::move(bytes));
  }
  if (answer_ended_ && pending_.empty() && !done_) {
    done_ = true;
    caller_->EndAnswer(!closing_);
    return;
  }
  if (pending_.size() > kMostPending && link_ != nullptr && !paused_) {
    paused_ = true;
    link_->PauseReading();
  }
}

void Exchange::OnCallerReady() {
  const auto self = shared_from_this();
  caller_writing_ = false;
  if (paused_ && link_ != nullptr) {
    paused_ = false;
    link_->ResumeReading();
  }
  Flush();
}

}  // namespace jackdaw::serving
