#include "targets/report_poller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Interval at which the load report of each target is requested.
constexpr auto kPollInterval = std::chrono::milliseconds(300);
// Time within which a report must arrive.
constexpr Micros kReportTimeout = 1s;

}  // namespace

void ReportPoller::Start() {
  asio::co_spawn(thread_.context(), Run(), asio::detached);
}

asio::awaitable<void> ReportPoller::Run() {
  asio::steady_timer timer(thread_.context());
  for (;;) {
    const FleetViewPtr view = view_.Get();
    decisions_.OnInstances(static_cast<std::int64_t>(view->instances.size()));
    if (view->config) {
      for (const auto& target : view->config->targets) {
        asio::co_spawn(thread_.context(), PollOne(target.name, target.address),
                       asio::detached);
      }
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> ReportPoller::PollOne(std::string name,
                                            std::string address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return;
  }
  HttpRequest request{"GET", "/engine/report", {}, {}};
  Result<HttpResponse> answer = co_await target_client_.client().Fetch(
      endpoint.value(), std::move(request), clock_.Now() + kReportTimeout);
  if (answer) {
    if (const auto report = DecodeReport(answer.value().body); report) {
      decisions_.OnReport(name, report.value());
      co_return;
    }
  }
  decisions_.OnReportFailure(name);
}

}  // namespace jackdaw
