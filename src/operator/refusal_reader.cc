#include "operator/refusal_reader.h"

#include <charconv>
#include <map>

#include "record/batch_writer.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// Timeout for reading one page.
constexpr Micros kPageTimeout = 8s;
// Maximum number of minutes of records that are listed for one page.
constexpr std::int64_t kMaxPageMinutes = 240;
constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kDefaultRangeMs = 60 * kMinuteMs;
constexpr std::int64_t kMaxRangeMs = 31LL * 24 * 60 * kMinuteMs;

Result<std::int64_t> ParseTimeParameter(const HttpRequest& request,
                                        std::string_view name,
                                        std::int64_t fallback) {
  const std::string text = request.Query(name);
  if (text.empty()) {
    return fallback;
  }
  std::int64_t value = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc() || end != text.data() + text.size() || value < 0) {
    return Error{ErrorKind::kInvalidSetting,
                 std::string(name) + " '" + text + "' is not a time",
                 "give milliseconds since the Unix epoch"};
  }
  return value;
}

Result<RefusalQuery> ParseQuery(const HttpRequest& request, Instant now) {
  RefusalQuery query;
  query.workspace = request.Query("workspace");
  query.kind = request.Query("kind");
  query.instance = request.Query("instance");
  BOOST_OUTCOME_TRY(query.to_ms,
                    ParseTimeParameter(request, "to_ms", ToMillis(now) + 1));
  BOOST_OUTCOME_TRY(query.from_ms,
                    ParseTimeParameter(request, "from_ms",
                                       std::max<std::int64_t>(
                                           0, query.to_ms - kDefaultRangeMs)));
  if (query.from_ms >= query.to_ms ||
      query.to_ms - query.from_ms > kMaxRangeMs) {
    return Error{ErrorKind::kInvalidSetting,
                 "from_ms and to_ms span no time, or more than 31 days",
                 "ask for a range of up to 31 days"};
  }
  return query;
}

std::map<RecordOwner, std::uint64_t> LastNumbers(const RefusalPage& page) {
  std::map<RecordOwner, std::uint64_t> last;
  for (const auto& range : page.ranges()) {
    auto& number = last[range.owner];
    number = std::max(number, range.last);
  }
  return last;
}

// Returns whether an incarnation is in the instance list and is either leaving
// or in `view.offered`, which excludes instances without recent heartbeats.
bool IsLive(const FleetView& view, const RecordOwner& owner) {
  for (const auto& instance : view.instances) {
    if (instance.name == owner.instance) {
      return instance.incarnation == owner.incarnation &&
             (instance.state == InstanceState::kLeaving ||
              view.offered.contains(owner.instance));
    }
  }
  return false;
}

json::array RangesJson(const RefusalPage& page) {
  json::array ranges;
  for (const auto& range : page.ranges()) {
    ranges.push_back(json::object{{"instance", range.owner.instance},
                                  {"incarnation", range.owner.incarnation},
                                  {"first", range.first},
                                  {"last", range.last}});
  }
  return ranges;
}

json::object PageJson(RefusalPage& page, const std::string& next) {
  json::object answer{{"refusals", page.TakeRecords()},
                      {"ranges", RangesJson(page)}};
  if (!next.empty()) {
    answer["next"] = next;
  }
  return answer;
}

}  // namespace

RefusalReader::RefusalReader(asio::io_context& context,
                             const MonotonicClock& clock,
                             const Endpoint& platform,
                             const FleetViewHolder& view)
    : clock_(clock), platform_(context, clock, platform), view_(view) {}

asio::awaitable<Result<json::object>> RefusalReader::Read(
    const HttpRequest& request) {
  const Instant now = clock_.Now();
  const Instant deadline = now + kPageTimeout;
  Result<RefusalQuery> query = ParseQuery(request, now);
  if (!query) {
    co_return query.error();
  }
  const std::string after = request.Query("after");
  const std::int64_t begin = query.value().from_ms / kMinuteMs;
  const std::int64_t end = (query.value().to_ms - 1) / kMinuteMs;
  RefusalPage page(std::move(query.value()));
  std::string next;
  std::int64_t minutes_read = 0;
  for (std::int64_t minute = begin; minute <= end && next.empty(); ++minute) {
    const std::string prefix = MinutePrefix(minute);
    if (!after.empty() && prefix < after && !after.starts_with(prefix)) {
      continue;
    }
    if (++minutes_read > kMaxPageMinutes) {
      next = prefix;
      break;
    }
    Result<std::string> last_read =
        co_await ReadMinute(page, minute, after, deadline);
    if (!last_read) {
      co_return last_read.error();
    }
    next = std::move(last_read.value());
  }
  Result<json::array> tail_gaps = co_await FindTailGaps(page, deadline);
  if (!tail_gaps) {
    co_return tail_gaps.error();
  }
  json::array gaps = FindGaps(page.ranges());
  gaps.insert(gaps.end(), tail_gaps.value().begin(), tail_gaps.value().end());
  json::object answer = PageJson(page, next);
  answer["gaps"] = std::move(gaps);
  co_return answer;
}

// Reads the objects of one minute. @returns the name of the last object read if
// the page is full, else an empty string
asio::awaitable<Result<std::string>> RefusalReader::ReadMinute(
    RefusalPage& page,
    std::int64_t minute,
    std::string after,
    Instant deadline) {
  Result<std::vector<std::string>> names =
      co_await platform_.ListObjects(MinutePrefix(minute), deadline);
  if (!names) {
    co_return names.error();
  }
  for (const auto& name : names.value()) {
    if (name <= after || !page.ShouldRead(name)) {
      continue;
    }
    Result<std::string> lines = co_await platform_.GetObject(name, deadline);
    if (!lines) {
      co_return lines.error();
    }
    page.Add(name, lines.value());
    if (page.full()) {
      co_return name;
    }
  }
  co_return std::string();
}

// Returns a gap for each incarnation that is neither live nor has an end
// marker: its last records may have been lost before they were stored.
asio::awaitable<Result<json::array>> RefusalReader::FindTailGaps(
    const RefusalPage& page,
    Instant deadline) {
  const FleetViewPtr view = view_.Get();
  json::array gaps;
  for (const auto& [owner, last] : LastNumbers(page)) {
    if (IsLive(*view, owner)) {
      continue;
    }
    Result<std::string> mark =
        co_await platform_.GetObject(EndMarkerName(owner), deadline);
    if (!mark && mark.error().kind != ErrorKind::kNotFound) {
      co_return mark.error();
    }
    const bool clean =
        mark && mark.value().find(R"("clean":true)") != std::string::npos;
    if (!clean) {
      gaps.push_back(MakeTailGap(owner, last));
    }
  }
  co_return gaps;
}

}  // namespace jackdaw
