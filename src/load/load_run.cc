#include "load/load_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <thread>

#include "core/random.h"
#include "http/client.h"
#include "load/answer_check.h"
#include "load/entry_choice.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kKeptConnections = 1024;
// Time for a request to be answered whole.
constexpr Micros kAnswerTime = 60s;
// Targets for an answer to count as attained.
constexpr std::int64_t kFirstTokenTargetUs = 970'000;
constexpr std::int64_t kBetweenTokensTargetUs = 58'000;

// One request as drawn from the plan.
struct Shot {
  const LoadWorkspace* workspace = nullptr;
  std::string model;
  std::string prompt;
  bool booking = false;
  std::string idempotency_key;
};

// One thread's part of a run.
class Shooter {
 public:
  Shooter(const LoadPlan& plan, int index, std::atomic<std::uint64_t>& sent)
      : plan_(plan),
        random_(plan.seed * 1000 + static_cast<std::uint64_t>(index)),
        client_(context_, clock_, kKeptConnections),
        entries_(client_, clock_, plan.start, random_.Next()),
        sent_(sent) {}

  LoadResult Run() {
    asio::co_spawn(context_, Arrivals(), asio::detached);
    context_.run();
    return std::move(result_);
  }

 private:
  // Starts requests at exponentially distributed intervals.
  asio::awaitable<void> Arrivals() {
    asio::steady_timer timer(context_);
    const Instant end = clock_.Now() + std::chrono::seconds(plan_.seconds);
    const double mean_us =
        1e6 * plan_.threads / static_cast<double>(plan_.requests_per_s);
    Instant next = clock_.Now();
    while (next < end) {
      const Instant now = clock_.Now();
      if (next > now) {
        timer.expires_after(next - now);
        co_await timer.async_wait(asio::use_awaitable);
      }
      asio::co_spawn(context_, Fire(Draw(), next), asio::detached);
      next += Micros(
          static_cast<std::int64_t>(-mean_us * std::log(1.0 - random_.Unit())));
    }
  }

  Shot Draw() {
    std::int64_t total = 0;
    for (const auto& workspace : plan_.workspaces) {
      total += workspace.weight;
    }
    auto at = static_cast<std::int64_t>(
        random_.Below(static_cast<std::uint64_t>(total)));
    Shot shot;
    for (const auto& workspace : plan_.workspaces) {
      shot.workspace = &workspace;
      at -= workspace.weight;
      if (at < 0) {
        break;
      }
    }
    shot.booking = !plan_.service.empty() &&
                   static_cast<std::int64_t>(random_.Below(1000)) <
                       plan_.bookings_per_mille;
    shot.model = plan_.models[random_.Below(plan_.models.size())];
    shot.idempotency_key = std::to_string(random_.Next());
    for (std::int64_t i = 0; i < plan_.prompt_words; ++i) {
      shot.prompt += std::to_string(random_.Below(100'000)) + " ";
    }
    return shot;
  }

  HttpRequest RequestOf(const Shot& shot) const {
    HttpRequest request;
    request.method = "POST";
    if (!plan_.direct) {
      request.headers.push_back(
          {"Authorization", "Bearer " + shot.workspace->key});
    }
    if (shot.booking) {
      request.target = "/call/" + plan_.service + "/book";
      request.headers.push_back({"Idempotency-Key", shot.idempotency_key});
      request.body = shot.prompt;
    } else {
      request.target = "/v1/completions";
      request.body = R"({"stream":true,"model":")" + shot.model +
                     R"(","max_tokens":)" + std::to_string(plan_.tokens) +
                     R"(,"prompt":")" + shot.prompt + "\"}";
    }
    return request;
  }

  asio::awaitable<void> Fire(Shot shot, Instant intended) {
    ++result_.sent;
    ++sent_;
    auto& figures = result_.workspaces[shot.workspace->name];
    ++figures.sent;
    std::optional<Endpoint> endpoint = plan_.start;
    if (!plan_.direct) {
      endpoint = co_await entries_.Pick();
    }
    auto call =
        client_.Prepare(*endpoint, RequestOf(shot), intended + kAnswerTime,
                        ConnectionChoice::kKeptOrFresh);
    Result<HttpResponse> head = co_await call->Start();
    if (!head) {
      entries_.Forget(*endpoint);
      Refused("connection");
      co_return;
    }
    if (shot.booking || head.value().status != 200) {
      co_await ReadWhole(*call, shot, head.value().status, intended, figures);
    } else {
      co_await ReadStream(*call, shot, intended, figures);
    }
  }

  asio::awaitable<void> ReadWhole(HttpCall& call,
                                  const Shot& shot,
                                  int status,
                                  Instant intended,
                                  WorkspaceResult& figures) {
    std::string body;
    Result<bool> more = true;
    while (more && more.value()) {
      more = co_await call.ReadSome(body);
    }
    if (!more) {
      ++result_.cut_off;
    } else if (status != 200) {
      const std::string kind = ProblemKind(body);
      Refused(kind.empty() ? "status-" + std::to_string(status) : kind);
    } else {
      ++result_.served;
      ++figures.served;
      ++figures.attained;
      result_.whole.Add((clock_.Now() - intended).count());
      if (shot.booking && body.find(R"("runs":1)") == std::string::npos) {
        ++result_.doubled_calls;
      }
    }
  }

  asio::awaitable<void> ReadStream(HttpCall& call,
                                   const Shot& shot,
                                   Instant intended,
                                   WorkspaceResult& figures) {
    AnswerCheck check(shot.prompt, plan_.tokens);
    bool in_time = true;
    bool first = true;
    Instant last = intended;
    Result<bool> more = true;
    while (more && more.value()) {
      std::string bytes;
      more = co_await call.ReadSome(bytes);
      const std::int64_t tokens = check.Feed(bytes);
      if (tokens == 0) {
        continue;
      }
      const Instant now = clock_.Now();
      const std::int64_t gap = (now - last).count();
      if (first) {
        result_.first_token.Add(gap);
        in_time = gap <= kFirstTokenTargetUs;
      } else {
        result_.between_tokens.Add(gap / tokens);
        in_time = in_time && gap / tokens <= kBetweenTokensTargetUs;
      }
      first = false;
      last = now;
      result_.tokens += static_cast<std::uint64_t>(tokens);
    }
    if (!check.refusal().empty()) {
      Refused(check.refusal());
    } else if (!check.Whole()) {
      ++(more || check.Broken() ? result_.broken_answers : result_.cut_off);
    } else {
      ++result_.served;
      ++figures.served;
      figures.attained += in_time ? 1 : 0;
      result_.whole.Add((clock_.Now() - intended).count());
    }
  }

  void Refused(const std::string& kind) {
    ++result_.refused;
    ++result_.refused_by_kind[kind];
  }

  const LoadPlan& plan_;
  Random random_;
  asio::io_context context_{1};
  MonotonicClock clock_;
  HttpClient client_;
  EntryChoice entries_;
  std::atomic<std::uint64_t>& sent_;
  LoadResult result_;
};

}  // namespace

LoadResult RunLoad(const LoadPlan& plan, std::atomic<std::uint64_t>& sent) {
  std::vector<LoadResult> parts(static_cast<std::size_t>(plan.threads));
  std::vector<std::thread> threads;
  threads.reserve(parts.size());
  for (int i = 0; i < plan.threads; ++i) {
    threads.emplace_back([&, i] {
      parts[static_cast<std::size_t>(i)] = Shooter(plan, i, sent).Run();
    });
  }
  LoadResult all;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    threads[i].join();
    all.Merge(parts[i]);
  }
  return all;
}

}  // namespace jackdaw
