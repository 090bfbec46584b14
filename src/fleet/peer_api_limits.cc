// Requests for permission to send to targets that have named a limit.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>

#include "core/log.h"
#include "core/object_reader.h"
#include "fleet/peer_api.h"

namespace jackdaw::serving {
namespace {

namespace json = boost::json;

// Timeout of the request to the leader.
constexpr Micros kSendTimeout = 250ms;
// Time after which a caller may come back while no leader decides.
constexpr Micros kUndecidedRetryAfter = 1s;
constexpr std::int64_t kMaxRetryMs = 60'000;

}  // namespace

void PeerApi::RequestSend(TargetPtr target,
                          std::function<void(SendPermission)> done) {
  boost::asio::co_spawn(
      context_, RequestSend(std::move(target)),
      [this, done = std::move(done)](const std::exception_ptr& failure,
                                     SendPermission permission) {
        if (failure != nullptr) {
          Log(LogLevel::kError, "duty_failed", {{"duty", "send_permission"}});
          permission = {false, {}, clock_.Now() + kUndecidedRetryAfter};
        }
        done(permission);
      });
}

boost::asio::awaitable<SendPermission> PeerApi::RequestSend(TargetPtr target) {
  const SendPermission undecided{
      false, {}, clock_.Now() + kUndecidedRetryAfter};
  if (agent_.leads()) {
    co_return DecideSend(*target);
  }
  const auto leader = agent_.LeaderAddress();
  if (!leader) {
    co_return undecided;
  }
  const Instant asked_at = clock_.Now();
  HttpRequest request;
  request.method = "POST";
  request.target = "/peer/send";
  request.headers.push_back({"Content-Type", "application/json"});
  // The leader may not know the limit or the cold time yet.
  const RateLimitReport limit =
      TargetRegistry::RateLimitOf(*target, clock_.Now());
  request.body = json::serialize(
      json::value{{"target", target->entry.id},
                  {"rate_limits", EncodeRateLimits({&limit, 1})}});
  const Result<HttpResponse> answer = co_await http_.Fetch(
      *leader, std::move(request), clock_.Now() + kSendTimeout);
  if (!answer || answer.value().status != 200) {
    co_return undecided;
  }
  const auto value = ParseJson(answer.value().body);
  if (!value) {
    Log(LogLevel::kError, "send_permission_unreadable",
        {{"error", value.error().Line()}});
    co_return undecided;
  }
  ObjectReader reader(value.value(), "");
  SendPermission permission;
  permission.granted = reader.FlagOr("granted", false);
  permission.use_until = asked_at + SendWindow::kSendTime;
  permission.retry_at =
      clock_.Now() + std::chrono::milliseconds(
                         reader.IntegerOr("retry_ms", 0, kMaxRetryMs, 0));
  co_return permission;
}

SendPermission PeerApi::DecideSend(Target& target) {
  const Instant now = clock_.Now();
  if (!registry_.DecidesLimitedSends(now) || target.leaving ||
      target.evacuated) {
    return {false, now, now + kUndecidedRetryAfter};
  }
  if (registry_.TryTakeSend(target, now)) {
    return {true, now + SendWindow::kSendTime, now};
  }
  return {false, now, registry_.NextSend(target, now)};
}

HttpResponse PeerApi::AnswerSend(ObjectReader& reader) {
  const TargetPtr target = registry_.Find(reader.Text("target"));
  const auto limits = ReadRateLimits(reader);
  if (!limits || !reader.FinishKnown() || target == nullptr) {
    return JsonResponse(404, R"({"error":"no such target"})");
  }
  const Instant now = clock_.Now();
  registry_.AddRateLimits(limits.value(), now);
  const SendPermission permission = DecideSend(*target);
  return JsonResponse(
      200, json::serialize(json::value{
               {"granted", permission.granted},
               {"retry_ms", std::max<std::int64_t>(
                                0, (permission.retry_at - now) / 1ms)}}));
}

}  // namespace jackdaw::serving
