#include "targets/target_probe.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time within which the report must arrive.
constexpr Micros kProbeTimeout = 500ms;

}  // namespace

asio::awaitable<Result<TargetReport>> TargetProbe::FetchReport(
    std::string address) {
  auto ask = [this, address = std::move(
                        address)]() -> asio::awaitable<Result<TargetReport>> {
    return FetchReportOnThread(address);
  };
  co_return co_await AskAsync<TargetReport>(thread_, std::move(ask));
}

asio::awaitable<Result<TargetReport>> TargetProbe::FetchReportOnThread(
    std::string address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return endpoint.error();
  }
  HttpRequest request{"GET", "/engine/report", {}, {}};
  auto call = target_client_.client().Prepare(
      endpoint.value(), std::move(request), clock_.Now() + kProbeTimeout,
      ConnectionChoice::kFresh);
  Result<HttpResponse> head = co_await call->Start();
  if (!head) {
    co_return head.error();
  }
  std::string body;
  for (;;) {
    Result<bool> more = co_await call->ReadSome(body);
    if (!more) {
      co_return more.error();
    }
    if (!more.value()) {
      co_return DecodeReport(body);
    }
  }
}

}  // namespace jackdaw
