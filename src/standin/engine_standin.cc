#include "standin/engine_standin.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>

#include "core/digest.h"
#include "core/object_reader.h"
#include "core/time.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::int64_t kMaxTokens = 100'000;
constexpr std::int64_t kDefaultTokens = 16;
constexpr std::size_t kStemDigits = 8;
// Every caller's key starts with this text.
constexpr std::string_view kKeyPrefix = "jdk-";

// What a completion request asks for.
struct Prompt {
  std::string model;
  std::string text;
  std::int64_t tokens = kDefaultTokens;
  bool stream = false;
};

Prompt ReadPrompt(const json::value& value) {
  Prompt prompt;
  const auto& object = value.as_object();
  if (const auto* model = object.if_contains("model")) {
    prompt.model = std::string(model->as_string());
  }
  if (const auto* text = object.if_contains("prompt")) {
    prompt.text = std::string(text->as_string());
  }
  if (const auto* messages = object.if_contains("messages")) {
    for (const auto& message : messages->as_array()) {
      prompt.text += std::string(message.as_object().at("content").as_string());
    }
  }
  if (const auto* tokens = object.if_contains("max_tokens")) {
    prompt.tokens = std::min(kMaxTokens, tokens->as_int64());
  }
  if (const auto* stream = object.if_contains("stream")) {
    prompt.stream = stream->as_bool();
  }
  return prompt;
}

// Keeps a model from being unloaded while a request runs.
class ResidentUse {
 public:
  ResidentUse(EngineMemory& memory, std::string model)
      : memory_(memory), model_(std::move(model)) {
    memory_.OnRequest(model_, 1);
  }
  ~ResidentUse() { memory_.OnRequest(model_, -1); }
  ResidentUse(const ResidentUse&) = delete;
  ResidentUse& operator=(const ResidentUse&) = delete;

 private:
  EngineMemory& memory_;
  std::string model_;
};

std::string EncodeAnswer(const HttpRequest& request,
                         const Prompt& prompt,
                         const std::string& text) {
  const json::object message{{"role", "assistant"}, {"content", text}};
  const json::object choice{{"index", 0},
                            {"message", message},
                            {"text", text},
                            {"finish_reason", "length"}};
  return json::serialize(json::object{
      {"id", std::string(request.Header("X-Request-Id"))},
      {"model", prompt.model},
      {"choices", json::array{choice}},
      {"usage", json::object{{"completion_tokens", prompt.tokens}}}});
}

std::string EncodeTokenEvent(std::string_view id,
                             std::string_view model,
                             const std::string& token) {
  const json::object delta{{"content", token}};
  const json::object choice{{"index", 0}, {"delta", delta}, {"text", token}};
  return "data: " +
         json::serialize(json::object{
             {"id", id}, {"model", model}, {"choices", json::array{choice}}}) +
         "\n\n";
}

EngineMemoryShape MemoryOf(const EngineShape& shape) {
  EngineMemoryShape memory;
  memory.name = shape.name;
  memory.memory_mb = shape.memory_mb;
  memory.checks_fence = shape.checks_fence;
  memory.models = shape.models;
  memory.load_ms = shape.load_ms;
  memory.weights = shape.weights;
  return memory;
}

HttpResponse EventStreamHead() {
  return {200, {{"Content-Type", "text/event-stream"}}, {}};
}

}  // namespace

std::string StandinToken(std::string_view stem, std::int64_t index) {
  return std::string(stem) + "-" + std::to_string(index) + " ";
}

EngineStandin::EngineStandin(asio::io_context& context, EngineShape shape)
    : context_(context),
      shape_(std::move(shape)),
      server_(context,
              HttpLimits{},
              [this](HttpExchange& exchange) { return Handle(exchange); }),
      memory_(context, MemoryOf(shape_)) {}

Result<Endpoint> EngineStandin::Listen(const Endpoint& endpoint) {
  return server_.Listen(endpoint);
}

// A key that reaches a target breaks a promise, so the process ends at once.
void EngineStandin::RejectLeakedKey(const HttpRequest& request) const {
  bool leaked = request.target.find(kKeyPrefix) != std::string::npos;
  for (const auto& header : request.headers) {
    leaked = leaked || SameHeaderName(header.name, "Authorization") ||
             header.value.find(kKeyPrefix) != std::string::npos;
  }
  if (leaked) {
    std::fprintf(stderr, "%s: a caller's key reached this target\n",
                 shape_.name.c_str());
    std::abort();
  }
}

asio::awaitable<void> EngineStandin::Wait(std::int64_t micros) {
  asio::steady_timer timer(context_);
  timer.expires_after(Micros(micros));
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> EngineStandin::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  RejectLeakedKey(request);
  const auto path = request.Path();
  if (path == "/standin/faults") {
    co_await exchange.Respond(SetFaults(request));
    co_return;
  }
  if (path == "/standin/runs") {
    co_await exchange.Respond(ListRuns());
    co_return;
  }
  if (path == "/engine/report") {
    co_await exchange.Respond(JsonResponse(200, EncodeReport(Report())));
    co_return;
  }
  if (path == "/engine/orders") {
    auto answer = memory_.OnOrder(request);
    if (answer) {
      co_await exchange.Respond(std::move(*answer));
    } else {
      exchange.CloseAfter();
    }
    co_return;
  }
  if (!faults_.crash_on.empty() &&
      request.body.find(faults_.crash_on) != std::string::npos) {
    std::fprintf(stderr, "%s: crash on request\n", shape_.name.c_str());
    if (!shape_.crash) {
      std::_Exit(3);
    }
    shape_.crash();
    ++shape_.incarnation;
    exchange.CloseAfter();
    co_return;
  }
  if (faults_.silent > 0) {
    --faults_.silent;
    co_await Wait(kMaxTokens * 1'000'000);
  }
  if (faults_.delay_ms > 0) {
    co_await Wait(faults_.delay_ms * 1000);
  }
  ++running_;
  if (shape_.plain) {
    co_await exchange.Respond(RunCall(request));
  } else {
    co_await Generate(exchange);
  }
  --running_;
}

HttpResponse EngineStandin::RunCall(const HttpRequest& request) {
  const std::string id(request.Header("X-Request-Id"));
  const std::int64_t count = ++runs_[id];
  return JsonResponse(200,
                      json::serialize(json::object{{"service", shape_.name},
                                                   {"path", request.target},
                                                   {"call", id},
                                                   {"runs", count},
                                                   {"total", runs_.size()}}));
}

asio::awaitable<void> EngineStandin::Generate(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const auto parsed = ParseJson(request.body);
  if (!parsed || !parsed.value().is_object()) {
    co_await exchange.Respond(JsonResponse(400, R"({"error":"not JSON"})"));
    co_return;
  }
  const Prompt prompt = ReadPrompt(parsed.value());
  if (!memory_.Serves(prompt.model)) {
    co_await exchange.Respond(
        JsonResponse(503, R"({"error":"model not resident"})"));
    co_return;
  }
  const ResidentUse use(memory_, prompt.model);
  ++runs_[std::string(request.Header("X-Request-Id"))];
  const std::string stem = Sha256Hex(prompt.text).substr(0, kStemDigits);
  co_await Wait(shape_.first_token_us);
  if (prompt.stream) {
    co_await StreamTokens(exchange, prompt.model, stem, prompt.tokens);
    co_return;
  }
  co_await Wait(shape_.token_us * prompt.tokens);
  std::string text;
  for (std::int64_t i = 0; i < prompt.tokens; ++i) {
    text += StandinToken(stem, i);
  }
  std::string answer = EncodeAnswer(request, prompt, text);
  if (faults_.cross_streams > 0) {
    --faults_.cross_streams;
    answer = R"({"id":"crossed","choices":[]})";
  }
  co_await exchange.Respond(JsonResponse(200, std::move(answer)));
}

asio::awaitable<void> EngineStandin::StreamTokens(HttpExchange& exchange,
                                                  std::string_view model,
                                                  std::string_view stem,
                                                  std::int64_t tokens) {
  const bool cut = faults_.cut_streams > 0;
  faults_.cut_streams -= cut ? 1 : 0;
  const std::string id(exchange.request().Header("X-Request-Id"));
  const std::string offset_text(exchange.request().Header("X-Resume-Offset"));
  const std::int64_t offset =
      offset_text.empty() ? 0 : std::strtoll(offset_text.c_str(), nullptr, 10);
  bool wanted = co_await exchange.BeginStream(EventStreamHead());
  for (std::int64_t i = offset; wanted && i < tokens; ++i) {
    if (cut && i >= faults_.cut_after_tokens) {
      exchange.CloseAfter();
      co_return;
    }
    const bool cross = i == 1 && faults_.cross_streams > 0;
    faults_.cross_streams -= cross ? 1 : 0;
    const std::string event =
        EncodeTokenEvent(cross ? "crossed" : id, model, StandinToken(stem, i));
    wanted = co_await exchange.WriteChunk(event);
    co_await Wait(shape_.token_us);
  }
  if (wanted) {
    co_await exchange.WriteChunk("data: [DONE]\n\n");
    co_await exchange.EndStream();
  }
}

TargetReport EngineStandin::Report() const {
  TargetReport report;
  report.running = running_;
  report.memory_mb = shape_.memory_mb;
  report.leaving = faults_.leaving;
  report.items = memory_.Items();
  report.used_mb = memory_.used_mb();
  for (const auto& entry : report.items) {
    if (entry.state == ArtifactState::kResident) {
      auto& names = entry.item.kind == ArtifactKind::kModel ? report.models
                                                            : report.adapters;
      names.push_back(entry.item.name);
    }
  }
  report.incarnation = shape_.incarnation;
  return report;
}

HttpResponse EngineStandin::ListRuns() const {
  json::object counts;
  for (const auto& [id, count] : runs_) {
    counts[id] = count;
  }
  return JsonResponse(200, json::serialize(counts));
}

HttpResponse EngineStandin::SetFaults(const HttpRequest& request) {
  const auto value = ParseJson(request.body);
  if (!value) {
    return JsonResponse(400, R"({"error":"not JSON"})");
  }
  ObjectReader reader(value.value(), "");
  EngineFaults faults;
  faults.delay_ms = reader.IntegerOr("delay_ms", 0, 600'000, 0);
  faults.silent = reader.IntegerOr("silent", 0, kMaxTokens, 0);
  faults.cut_streams = reader.IntegerOr("cut_streams", 0, kMaxTokens, 0);
  faults.cut_after_tokens =
      reader.IntegerOr("cut_after_tokens", 0, kMaxTokens, 3);
  faults.cross_streams = reader.IntegerOr("cross_streams", 0, kMaxTokens, 0);
  faults.crash_on = reader.TextOr("crash_on", "");
  faults.leaving = reader.FlagOr("leaving", false);
  const OrderFaults order_faults = memory_.ReadFaults(reader);
  if (const auto checked = reader.Finish(); !checked) {
    return JsonResponse(
        400, json::serialize(json::object{{"error", checked.error().Line()}}));
  }
  faults_ = std::move(faults);
  memory_.SetFaults(order_faults);
  return JsonResponse(200, "{}");
}

}  // namespace jackdaw
