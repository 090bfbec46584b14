// Response to a request: forwarding it to the caller.
#include <array>
#include <cstdio>
#include <utility>

#include "gateway/exchange.h"
#include "platform/call_codec.h"

namespace jackdaw::serving {
namespace {

namespace http = boost::beast::http;

// Bytes buffered for a slow caller before reading from the target is paused.
constexpr std::size_t kPauseAboveBytes = 64UL * 1024;
// The same while memory is short.
constexpr std::size_t kPauseAboveBytesShort = 4UL * 1024;
// Longest pause of reading from a target, and bytes that are buffered for a
// caller that reads, but more slowly than the target writes.
constexpr Micros kMaxReadingPause = 2s;
constexpr std::size_t kAbortAboveBytes = 256UL * 1024;
// Version of HTTP from which on callers read chunks.
constexpr unsigned kHttp11 = 11;
constexpr std::string_view kChunkedField = "Transfer-Encoding: chunked\r\n";

}  // namespace

std::string Exchange::ResponseHeadText(std::string_view framing) const {
  const auto& head = parser_->get();
  std::string text = "HTTP/1.1 " + std::to_string(head.result_int()) + " ";
  text += std::string_view(head.reason().data(), head.reason().size());
  text += "\r\n";
  text += platform::EncodeAnswerFields(head);
  text += framing;
  if (closing_ && body_end_ != BodyEnd::kConnection) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return text;
}

void Exchange::AppendBody(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (body_end_ != BodyEnd::kLastChunk) {
    pending_output_ += bytes;
    return;
  }
  std::array<char, 20> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  pending_output_.append(size.data(), static_cast<std::size_t>(length));
  pending_output_ += bytes;
  pending_output_ += "\r\n";
}

void Exchange::EndBody() {
  if (body_end_ == BodyEnd::kLastChunk) {
    pending_output_ += "0\r\n\r\n";
  }
  response_ended_ = true;
}

// Leaves the connection of an instance that shuts down open for a request that
// was read behind this one. The response to the last one closes it.
void Exchange::KeepConnectionForReadAhead() {
  closing_ = closing_ && (ended_by_shutdown_ || !caller_->has_read_ahead());
}

// Queues the head of a response. A target that leaves the end of its answer to
// the connection may have failed when the connection closes, so the caller is
// not told more than that either.
void Exchange::BeginResponse(BodyEnd body_end, std::string_view framing) {
  const bool knows_chunks = request_.version() >= kHttp11;
  body_end_ = body_end;
  if (parser_->need_eof() ||
      (body_end == BodyEnd::kLastChunk && !knows_chunks)) {
    body_end_ = BodyEnd::kConnection;
    framing = "Connection: close\r\n";
    caller_->EndWithConnection();
  }
  KeepConnectionForReadAhead();
  head_sent_ = true;
  first_forwarded_at_ = deps_.clock.Now();
  pending_output_ += ResponseHeadText(framing);
}

// Forwards the complete events, and after the last one the remaining bytes. A
// response that is to continue a stream and does not begin with its next event
// is refused.
void Exchange::ForwardEvents(bool last) {
  std::string complete_events;
  event_received_ |= events_.TakeCompleteEvents(complete_events) > 0;
  if (events_.out_of_sequence() || (last && events_.awaits_next())) {
    OnFailedResponse();
    return;
  }
  if (last && head_sent_ && parser_->need_eof() &&
      body_end_ != BodyEnd::kConnection) {
    AppendBody(complete_events);
    Flush();
    AbortResponse("end of the continued stream unknown");
    return;
  }
  if (last) {
    complete_events += events_.TakeRemainder();
  }
  if (!head_sent_ && (!complete_events.empty() || last)) {
    is_stream_ = true;
    BeginResponse(BodyEnd::kLastChunk, kChunkedField);
  }
  AppendBody(complete_events);
  if (last) {
    EndBody();
  }
  Flush();
}

// Forwards a large response as it arrives.
void Exchange::ForwardBytes(bool last) {
  auto& body = parser_->get().body();
  if (!head_sent_) {
    const auto length = parser_->content_length();
    if (length) {
      BeginResponse(BodyEnd::kLength,
                    "Content-Length: " + std::to_string(*length) + "\r\n");
    } else {
      BeginResponse(BodyEnd::kLastChunk, kChunkedField);
    }
  }
  // Its capacity is that of all that was held back.
  AppendBody(std::exchange(body, {}));
  if (last) {
    EndBody();
  }
  Flush();
}

// Forwards what is held back of a response, which then cannot be retried any
// more if it breaks off.
void Exchange::ForwardHeldBack() {
  if (head_parsed_ && !skipping_ && !head_sent_ && !FailedResponse() &&
      !parser_->get().body().empty()) {
    ForwardBytes(false);
  }
}

// Forwards a response that was read completely.
void Exchange::SendBufferedResponse() {
  const auto& head = parser_->get();
  const auto length = request_.method() == http::verb::head
                          ? std::string(head[http::field::content_length])
                          : std::to_string(head.body().size());
  const bool bodiless =
      head.result_int() == 204 || head.result_int() == 304 || length.empty();
  BeginResponse(BodyEnd::kLength, bodiless
                                      ? std::string()
                                      : "Content-Length: " + length + "\r\n");
  pending_output_ += std::exchange(parser_->get().body(), {});
  EndBody();
  Flush();
}

// Writes the pending bytes. Ends the attempt once the response is complete, and
// ends the exchange after the last byte. Pauses reading from the target while a
// slow caller leaves too many bytes pending.
void Exchange::Flush() {
  if (response_ended_ && !done_ && target_ != nullptr) {
    const int status = static_cast<int>(parser_->get().result_int());
    // A target that writes responses to other requests has lost count.
    const bool reusable = parser_->get().keep_alive() && !parser_->need_eof() &&
                          !connection_->sending() && foreign_responses_ == 0;
    // Other responses do not show that the target ran the request to its end.
    if (!parser_->need_eof() && !response_head_.not_executed && status < 500 &&
        status != 429) {
      deps_.crashes.OnAnswerComplete(causes_, sent_at_, deps_.clock.Now());
    }
    if (reusable) {
      deps_.connections.Release(*target_, std::move(connection_),
                                response_head_.keep_alive_seconds);
      connection_.reset();
    }
    EndAttempt(status >= 500 ? TargetOutcome::kFailed
                             : TargetOutcome::kAnswered);
    deps_.timers.Clear(deadline_timer_);
    ++deps_.counters.answered;
    RecordEnd("answered", status, "");
  }
  if (!caller_writing_ && !pending_output_.empty()) {
    caller_writing_ = true;
    std::string bytes;
    bytes.swap(pending_output_);
    caller_->Write(std::move(bytes));
  }
  if (response_ended_ && pending_output_.empty() && !done_) {
    done_ = true;
    caller_->EndResponse(!closing_);
    return;
  }
  const std::size_t most =
      caller_->MayHoldBack() ? kPauseAboveBytes : kPauseAboveBytesShort;
  if (pending_output_.size() > most && connection_ != nullptr &&
      !reading_paused_) {
    PauseReading();
  }
  AccountResponse();
}

// A target breaks off a response that stays unread for some seconds, so reading
// is paused for a short time only.
void Exchange::PauseReading() {
  reading_paused_ = true;
  written_at_pause_ = caller_->written_bytes();
  connection_->PauseReading();
  deps_.timers.Set(pause_timer_, deps_.clock.Now() + kMaxReadingPause, [this] {
    const auto self = shared_from_this();
    OnReadingPaused();
  });
}

// Reads on for a caller that is slow. One that reads nothing, or for which more
// than kAbortAboveBytes wait, loses its connection.
void Exchange::OnReadingPaused() {
  if (!reading_paused_ || done_ || connection_ == nullptr) {
    return;
  }
  if (caller_->written_bytes() == written_at_pause_ ||
      pending_output_.size() > kAbortAboveBytes) {
    AbortResponse("caller reads too slowly");
    return;
  }
  reading_paused_ = false;
  connection_->ResumeReading();
}

// Tells the caller's connection what is held of the response.
void Exchange::AccountResponse() {
  std::size_t bytes = pending_output_.capacity() + events_.partial_bytes();
  if (parser_) {
    bytes += parser_->get().body().capacity();
  }
  if (connection_ != nullptr) {
    bytes += connection_->input().capacity();
  }
  caller_->SetResponseBytes(bytes);
}

bool Exchange::MayReceive() {
  waits_for_room_ = !caller_->MayReceive();
  if (waits_for_room_) {
    ForwardHeldBack();
  }
  return !waits_for_room_;
}

void Exchange::OnRoom() {
  waits_for_room_ = false;
  if (!reading_paused_ && connection_ != nullptr) {
    connection_->ResumeReading();
  }
}

void Exchange::OnWriteComplete() {
  const auto self = shared_from_this();
  caller_writing_ = false;
  deps_.timers.Clear(pause_timer_);
  if (reading_paused_ && connection_ != nullptr) {
    reading_paused_ = false;
    connection_->ResumeReading();
  }
  Flush();
}

}  // namespace jackdaw::serving
