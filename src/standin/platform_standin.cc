#include "standin/platform_standin.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "core/clock.h"
#include "core/object_reader.h"
#include "platform/codec.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kObjectPath = "/v1/objects";
constexpr std::int64_t kMaxDelayMs = 600'000;

HttpResponse Failure(int status, std::string_view what) {
  return JsonResponse(
      status, boost::json::serialize(boost::json::object{{"error", what}}));
}

HttpLimits StandinLimits() {
  HttpLimits limits;
  limits.body_bytes = 64ULL * 1024 * 1024;
  return limits;
}

}  // namespace

PlatformStandin::PlatformStandin(asio::io_context& context)
    : context_(context),
      server_(context,
              StandinLimits(),
              [this](HttpExchange& exchange) { return Handle(exchange); }),
      cuttable_server_(
          context,
          StandinLimits(),
          [this](HttpExchange& exchange) { return HandleCuttable(exchange); }) {
}

Result<Endpoint> PlatformStandin::Listen(const Endpoint& endpoint) {
  return server_.Listen(endpoint);
}

Result<Endpoint> PlatformStandin::ListenCuttable(const Endpoint& endpoint) {
  return cuttable_server_.Listen(endpoint);
}

asio::awaitable<void> PlatformStandin::HandleCuttable(HttpExchange& exchange) {
  if (faults_.cut) {
    co_await exchange.Respond(Failure(503, "cut"));
  } else {
    co_await Handle(exchange);
  }
}

asio::awaitable<void> PlatformStandin::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.Path() == "/standin/faults") {
    co_await exchange.Respond(SetFaults(request));
    co_return;
  }
  if (faults_.delay_ms > 0) {
    asio::steady_timer timer(context_);
    timer.expires_after(std::chrono::milliseconds(faults_.delay_ms));
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (faults_.outage) {
    co_await exchange.Respond(Failure(503, "outage"));
    co_return;
  }
  if (request.Path().starts_with("/v1/weights/")) {
    HttpResponse weights = co_await FetchWeights(request);
    co_await exchange.Respond(std::move(weights));
    co_return;
  }
  HttpResponse answer = Answer(request);
  const bool write =
      request.method == "PUT" || request.Path() == "/v1/table/transact";
  if (write && faults_.lose_answers > 0) {
    --faults_.lose_answers;
    exchange.CloseAfter();
    co_return;
  }
  co_await exchange.Respond(std::move(answer));
}

// Answers once the weights have come at the pace of the store.
asio::awaitable<HttpResponse> PlatformStandin::FetchWeights(
    const HttpRequest& request) {
  const bool adapter = request.Query("kind") == "adapter";
  const MonotonicClock clock;
  const Instant now = clock.Now();
  const Instant done =
      adapter ? weights_.BeginAdapter(now) : weights_.BeginModel(now);
  asio::steady_timer timer(context_);
  timer.expires_after(done - now);
  co_await timer.async_wait(asio::use_awaitable);
  weights_.End(adapter);
  co_return JsonResponse(200, "{}");
}

HttpResponse PlatformStandin::Answer(const HttpRequest& request) {
  if (request.Path().starts_with("/v1/table/")) {
    return AnswerTable(request);
  }
  if (request.Path().starts_with(kObjectPath)) {
    return AnswerObjects(request);
  }
  if (request.Path() == "/v1/instances") {
    return AnswerInstances(request);
  }
  return Failure(404, "no such path");
}

HttpResponse PlatformStandin::AnswerTable(const HttpRequest& request) {
  if (request.Path() == "/v1/table/transact") {
    const auto transaction = DecodeTransaction(request.body);
    if (!transaction) {
      return Failure(400, transaction.error().Line());
    }
    const Commit commit = table_.Apply(transaction.value());
    return JsonResponse(commit.committed ? 200 : 409, EncodeCommit(commit));
  }
  const auto query = DecodeReadQuery(request.body);
  if (!query) {
    return Failure(400, query.error().Line());
  }
  return JsonResponse(200, EncodeRows(table_.Read(query.value())));
}

HttpResponse PlatformStandin::AnswerObjects(const HttpRequest& request) {
  std::string name(request.Path().substr(kObjectPath.size()));
  if (name.size() <= 1) {
    boost::json::array names;
    const std::string prefix = request.Query("prefix");
    for (auto object = objects_.lower_bound(prefix);
         object != objects_.end() && object->first.starts_with(prefix);
         ++object) {
      names.emplace_back(object->first);
    }
    return JsonResponse(200, boost::json::serialize(boost::json::object{
                                 {"names", std::move(names)}}));
  }
  name.erase(0, 1);
  if (request.method == "PUT") {
    const bool is_new = objects_.emplace(name, request.body).second;
    return JsonResponse(is_new ? 201 : 412, "{}");
  }
  const auto found = objects_.find(name);
  return found == objects_.end() ? Failure(404, "no such object")
                                 : JsonResponse(200, found->second);
}

HttpResponse PlatformStandin::AnswerInstances(const HttpRequest& request) {
  if (request.method == "PUT") {
    const auto entry = DecodeInstance(request.body);
    if (!entry) {
      return Failure(400, entry.error().Line());
    }
    instances_[entry.value().name] = entry.value();
    return JsonResponse(200, "{}");
  }
  if (request.method == "DELETE") {
    instances_.erase(request.Query("name"));
    return JsonResponse(200, "{}");
  }
  std::vector<InstanceEntry> entries;
  for (const auto& [name, entry] : instances_) {
    entries.push_back(entry);
  }
  return JsonResponse(200, EncodeInstances(entries));
}

HttpResponse PlatformStandin::SetFaults(const HttpRequest& request) {
  const auto value = ParseJson(request.body);
  if (!value) {
    return Failure(400, value.error().Line());
  }
  ObjectReader reader(value.value(), "");
  PlatformFaults faults;
  faults.delay_ms = reader.IntegerOr("delay_ms", 0, kMaxDelayMs, 0);
  faults.lose_answers = reader.IntegerOr("lose_answers", 0, 1'000'000, 0);
  faults.outage = reader.FlagOr("outage", false);
  faults.cut = reader.FlagOr("cut", false);
  if (const auto checked = reader.Finish(); !checked) {
    return Failure(400, checked.error().Line());
  }
  faults_ = faults;
  return JsonResponse(200, "{}");
}

}  // namespace jackdaw
