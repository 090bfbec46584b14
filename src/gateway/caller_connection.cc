#include "gateway/caller_connection.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>

#include "core/log.h"
#include "http/endpoint.h"
#include "http/parse.h"

namespace jackdaw::serving {
namespace {

namespace http = boost::beast::http;

// Bound of the kernel's buffer for what is written to a caller. The one for
// what is received is inherited from the listener.
constexpr int kSendBufferBytes = 4 * 1024;
// Size of a body from which the kernel may get large buffers for it.
constexpr std::size_t kWideFromBytes = 16UL * 1024;
// Most bytes of a request's body that the kernel takes for the target at once.
constexpr std::size_t kMaxBodyInKernel = 64UL * 1024;
// Memory of a header field besides its bytes. Short fields take many times
// their size.
constexpr std::size_t kFieldBytes = 96;
// The fields of an incomplete head are counted once for so many bytes.
constexpr std::size_t kHeadCountBytes = 512;

// Returns whether the framing or host of the request is ambiguous: several Host
// fields, both Content-Length and Transfer-Encoding, several of either, or a
// transfer encoding other than `chunked` alone.
bool IsAmbiguous(const http::request_header<>& head) {
  const auto lengths = head.count(http::field::content_length);
  const auto encodings = head.count(http::field::transfer_encoding);
  if (head.count(http::field::host) > 1 || lengths > 1 || encodings > 1 ||
      (lengths > 0 && encodings > 0)) {
    return true;
  }
  return encodings == 1 && !boost::beast::iequals(
                               head[http::field::transfer_encoding], "chunked");
}

int StatusForError(const boost::system::error_code& failure) {
  if (failure == http::error::header_limit) {
    return 431;
  }
  return failure == http::error::body_limit ? 413 : 400;
}

std::string_view ReasonPhrase(int status) {
  const auto text = http::obsolete_reason(static_cast<http::status>(status));
  return {text.data(), text.size()};
}

}  // namespace

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket,
                                   CallerHandler& handler,
                                   TimerQueue& timers,
                                   const MonotonicClock& clock,
                                   std::shared_ptr<CallerResources> resources)
    : socket_(std::move(socket)),
      handler_(handler),
      timers_(timers),
      clock_(clock),
      resources_(std::move(resources)),
      id_(resources_->budget.Open(clock.Now())) {
  boost::system::error_code ignored;
  socket_.set_option(
      boost::asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

CallerConnection::~CallerConnection() {
  timers_.Clear(read_deadline_);
  timers_.Clear(write_deadline_);
  resources_->budget.Close(id_);
}

std::string CallerConnection::peer() const {
  boost::system::error_code failure;
  const auto endpoint = socket_.remote_endpoint(failure);
  return failure ? std::string() : ToText(endpoint);
}

void CallerConnection::Start() {
  BeginRequest();
  AwaitInput();
}

void CallerConnection::BeginRequest() {
  parser_.emplace();
  parser_->eager(true);
  continue_sent_ = false;
  started_at_ = Instant{};
  idle_since_ = clock_.Now();
  request_bytes_ = 0;
  head_parsed_ = 0;
  head_counted_ = 0;
  head_counted_complete_ = false;
  head_bytes_ = 0;
  resources_->budget.OnIdle(id_, idle_since_);
  SetIdleDeadline();
}

void CallerConnection::SetIdleDeadline() {
  timers_.Set(read_deadline_, idle_since_ + handler_.limits().idle_time,
              [this] { OnIdle(); });
}

// Closes the connection, unless the idle time has grown since the deadline was
// set, or a request has arrived that has not been read yet.
void CallerConnection::OnIdle() {
  const auto self = shared_from_this();
  if (clock_.Now() < idle_since_ + handler_.limits().idle_time) {
    SetIdleDeadline();
    return;
  }
  if (!ReadAvailable()) {
    return;
  }
  if (has_read_ahead()) {
    Parse();
  } else {
    Close("idle");
  }
}

void CallerConnection::Parse() {
  if (input_.size() == 0) {
    return;
  }
  if (started_at_ == Instant{}) {
    const CallerLimits limits = handler_.limits();
    parser_->header_limit(limits.header_bytes);
    parser_->body_limit(limits.body_bytes);
    started_at_ = clock_.Now();
    resources_->budget.OnRequestBegun(id_, started_at_);
    timers_.Set(read_deadline_, started_at_ + limits.header_time,
                [this] { Reject(408, "header_timeout"); });
  }
  boost::system::error_code failure;
  while (input_.size() > 0 && !parser_->is_done()) {
    const std::size_t used = ParseSome(*parser_, input_.data(), failure);
    input_.consume(used);
    head_parsed_ += used;
    CountHead();
    if (failure == http::error::need_more) {
      break;
    }
    if (failure) {
      Reject(StatusForError(failure), "malformed_request");
      return;
    }
  }
  // No more is read beyond this, so the request would never be complete.
  if (!parser_->is_done() && input_.size() > kMaxReadAhead) {
    Reject(431, "field_too_large");
    return;
  }
  if (!parser_->is_header_done()) {
    if (input_.size() > handler_.limits().header_bytes) {
      Reject(431, "header_too_large");
    }
    return;
  }
  if (IsAmbiguous(parser_->get().base())) {
    Reject(400, "ambiguous_head");
    return;
  }
  if (parser_->is_done()) {
    OnRequest();
    return;
  }
  if (parser_->content_length().value_or(0) > kWideFromBytes ||
      parser_->get().body().size() > kWideFromBytes) {
    Widen();
  }
  timers_.Set(read_deadline_, clock_.Now() + handler_.limits().idle_time,
              [this] { Reject(408, "body_timeout"); });
  const bool expects_continue = boost::beast::iequals(
      parser_->get()[http::field::expect], "100-continue");
  if (expects_continue && !continue_sent_) {
    continue_sent_ = true;
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

// Counts the memory of the head's fields.
void CallerConnection::CountHead() {
  const bool complete = parser_->is_header_done();
  if (head_counted_complete_ ||
      (!complete && head_parsed_ < head_counted_ + kHeadCountBytes)) {
    return;
  }
  head_counted_complete_ = complete;
  head_counted_ = head_parsed_;
  head_bytes_ = 0;
  for (const auto& field : parser_->get()) {
    head_bytes_ +=
        kFieldBytes + field.name_string().size() + field.value().size();
  }
}

// Tells the memory budget what the connection holds, by capacity.
void CallerConnection::Account() {
  const std::size_t body = parser_ ? parser_->get().body().capacity() : 0;
  resources_->budget.SetBytes(id_, input_.capacity() + head_bytes_ + body +
                                       request_bytes_ + response_bytes_ +
                                       output_.capacity() +
                                       pending_output_.capacity());
  const MemoryBudget& budget = resources_->budget;
  if (budget.short_of_memory() || budget.awaits_release()) {
    resources_->on_short();
  }
}

void CallerConnection::SetResponseBytes(std::size_t bytes) {
  response_bytes_ = bytes;
  Account();
}

void CallerConnection::OnRequest() {
  timers_.Clear(read_deadline_);
  if (!resources_->budget.MayRun()) {
    ++resources_->requests_dropped;
    resources_->on_short();
    Reject(503, "memory_short");
    return;
  }
  resources_->budget.OnRequestComplete(id_);
  if (!resources_->make_room()) {
    Reject(503, "descriptors_short");
    return;
  }
  CallerRequest request = parser_->release();
  parser_.reset();
  // The kernel takes a part of the body on its way to the target.
  request_bytes_ = request.body().capacity() +
                   std::min(request.body().size(), kMaxBodyInKernel);
  Account();
  keep_open_ = request.keep_alive();
  auto task =
      handler_.StartTask(shared_from_this(), std::move(request), started_at_);
  if (!response_ended_ && !closed_) {
    task_ = std::move(task);
  }
}

void CallerConnection::Reject(int status, std::string_view kind) {
  Log(LogLevel::kInfo, "request_rejected",
      {{"caller", peer()},
       {"status", std::to_string(status)},
       {"reason", std::string(kind)}});
  timers_.Clear(read_deadline_);
  keep_open_ = false;
  // The connection stays open for a moment, but needs the request no more.
  parser_.reset();
  head_bytes_ = 0;
  resources_->budget.OnEnding(id_);
  std::string response = "HTTP/1.1 " + std::to_string(status) + " ";
  response += ReasonPhrase(status);
  if (status == 503) {
    response += "\r\nRetry-After: 1";
  }
  response += "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  Write(std::move(response));
  EndResponse(false);
}

}  // namespace jackdaw::serving
