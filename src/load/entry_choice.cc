#include "load/entry_choice.h"

#include <algorithm>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Time for an instance to answer.
constexpr Micros kAskTime = 1s;

struct EntryAnswer {
  std::vector<Endpoint> addresses;
  Instant until{};
};

std::optional<EntryAnswer> ReadEntry(const std::string& body) {
  const auto value = ParseJson(body);
  if (!value || !value.value().is_object()) {
    return std::nullopt;
  }
  const auto& object = value.value().get_object();
  EntryAnswer answer;
  for (const auto& item : object.at("addresses").as_array()) {
    const auto endpoint =
        ParseEndpoint(std::string(item.at("address").as_string()));
    if (endpoint) {
      answer.addresses.push_back(endpoint.value());
    }
  }
  answer.until = Instant(std::chrono::milliseconds(
      object.at("until_ms").to_number<std::int64_t>()));
  return answer;
}

}  // namespace

asio::awaitable<std::optional<Endpoint>> EntryChoice::Pick() {
  if ((current_.empty() || clock_.Now() >= keep_until_) && !asking_) {
    asking_ = true;
    co_await Refresh();
    asking_ = false;
  }
  const auto& from = current_.empty() ? known_ : current_;
  if (from.empty()) {
    co_return std::nullopt;
  }
  co_return from[random_.Below(from.size())];
}

void EntryChoice::Forget(const Endpoint& endpoint) {
  std::erase(current_, endpoint);
}

asio::awaitable<void> EntryChoice::Refresh() {
  const std::vector<Endpoint> ask = known_;
  const std::size_t first = random_.Below(ask.size());
  for (std::size_t i = 0; i < ask.size(); ++i) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/v1/entry";
    Result<HttpResponse> answer =
        co_await client_.Fetch(ask[(first + i) % ask.size()],
                               std::move(request), clock_.Now() + kAskTime);
    if (!answer || answer.value().status != 200) {
      continue;
    }
    auto entry = ReadEntry(answer.value().body);
    if (!entry || entry->addresses.empty()) {
      continue;
    }
    current_ = entry->addresses;
    keep_until_ = entry->until;
    for (const auto& endpoint : current_) {
      if (std::find(known_.begin(), known_.end(), endpoint) == known_.end()) {
        known_.push_back(endpoint);
      }
    }
    co_return;
  }
}

}  // namespace jackdaw
