#include "store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>

namespace review {
namespace {

namespace json = boost::json;

// The pages limit an answer of rows-get to 500 rows or 1 MB.
constexpr std::size_t kMaxRows = 500;
constexpr std::size_t kMaxBytes = 1000 * 1000;
constexpr std::int64_t kMaxWaitMs = 30'000;
constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string TextOf(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr || !value->is_string()
             ? std::string()
             : std::string(value->get_string());
}

Store::Key KeyOf(const json::object& object) {
  return {TextOf(object, "table"), TextOf(object, "part"),
          TextOf(object, "key")};
}

json::object ToJson(const Store::Key& key, const Store::Row& row) {
  json::object out{{"table", std::get<0>(key)},
                   {"part", std::get<1>(key)},
                   {"key", std::get<2>(key)},
                   {"value", Encode64(row.value)},
                   {"ver", row.version}};
  if (row.dropped) {
    out["deleted"] = true;
  }
  return out;
}

Response Json(int status, const json::object& body) {
  return {
      status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

const json::array& Items(const json::object& object, std::string_view name) {
  static const json::array none;
  const auto* value = object.if_contains(name);
  return value == nullptr || !value->is_array() ? none : value->get_array();
}

}  // namespace

std::string Encode64(std::string_view bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += j <= count ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

std::string Decode64(std::string_view text) {
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const auto digit = kDigits.find(c);
    if (digit == std::string_view::npos) {
      break;
    }
    group = group << 6 | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(group >> bits & 255);
    }
  }
  return out;
}

Store::Store() = default;

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  changed_.notify_all();
  for (auto& door : doors_) {
    door->server.reset();
  }
}

std::size_t Store::AddDoor(const std::string& ip) {
  const std::lock_guard lock(mutex_);
  const std::size_t index = doors_.size();
  doors_.push_back(std::make_unique<Door>());
  doors_.back()->server = std::make_unique<Server>(
      FreeAddress(ip),
      [this, index](const Request& request) { return Handle(index, request); });
  return index;
}

const Address& Store::DoorAddress(std::size_t door) const {
  const std::lock_guard lock(mutex_);
  return doors_[door]->server->address();
}

void Store::SetDoor(std::size_t door, DoorState state, bool reset) {
  Server* server = nullptr;
  {
    const std::lock_guard lock(mutex_);
    doors_[door]->state = state;
    server = doors_[door]->server.get();
  }
  changed_.notify_all();
  if (reset) {
    server->ResetConnections();
  }
}

void Store::set_lose_answer(LoseAnswer lose) {
  const std::lock_guard lock(mutex_);
  lose_answer_ = std::move(lose);
}

void Store::set_on_write(OnWrite on_write) {
  const std::lock_guard lock(mutex_);
  on_write_ = std::move(on_write);
}

std::int64_t Store::NowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               started_at_)
      .count();
}

bool Store::IsOpen(std::size_t door) const {
  return doors_[door]->state == DoorState::kOpen;
}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  {
    const std::lock_guard lock(mutex_);
    rows_[{table, "", key}] = {value, ++version_, false};
  }
  changed_.notify_all();
}

std::string Store::Get(const std::string& table, const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find({table, "", key});
  return found == rows_.end() ? std::string() : found->second.value;
}

std::size_t Store::Count(const std::string& table,
                         const std::string& prefix) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(rows_.begin(), rows_.end(), [&](const auto& item) {
        return std::get<0>(item.first) == table && !item.second.dropped &&
               std::get<2>(item.first).starts_with(prefix);
      }));
}

std::optional<Response> Store::Handle(std::size_t door,
                                      const Request& request) {
  {
    const std::lock_guard lock(mutex_);
    if (doors_[door]->state == DoorState::kSilent) {
      return std::nullopt;
    }
    if (doors_[door]->state == DoorState::kBusy) {
      return Json(503, {});
    }
  }
  const std::string path = request.Path();
  if (path == "/rows-tx") {
    return Transact(door, request);
  }
  if (path == "/rows-get") {
    return Read(request);
  }
  if (path == "/rows-feed") {
    return Feed(door, request);
  }
  return Json(404, {});
}

std::optional<Response> Store::Transact(std::size_t door,
                                        const Request& request) {
  boost::system::error_code failure;
  const json::value value = json::parse(request.body, failure);
  if (failure || !value.is_object()) {
    return Json(400, {});
  }
  const json::object& body = value.get_object();
  const std::lock_guard lock(mutex_);
  bool holds = true;
  json::array current;
  for (const auto& item : Items(body, "precondition")) {
    const json::object& condition = item.get_object();
    const Key key = KeyOf(condition);
    const auto row = rows_.find(key);
    const bool exists = row != rows_.end() && !row->second.dropped;
    const std::int64_t version = exists ? row->second.version : 0;
    holds = holds && version == condition.at("ver").to_number<std::int64_t>();
    if (exists) {
      current.push_back(ToJson(key, row->second));
    }
  }
  if (!holds) {
    return Json(412,
                {{"rows", current}, {"ver", version_}, {"now-ms", NowMs()}});
  }
  std::vector<Key> written;
  for (const auto& item : Items(body, "puts")) {
    written.push_back(KeyOf(item.get_object()));
    if (std::get<0>(written.back()) == "op" ||
        std::get<0>(written.back()) == "servers") {
      return Json(403, {});
    }
  }
  ++version_;
  for (const auto& item : Items(body, "puts")) {
    const Key key = KeyOf(item.get_object());
    rows_[key] = {Decode64(TextOf(item.get_object(), "value")), version_,
                  false};
    if (on_write_) {
      on_write_(door, key, rows_[key].value);
    }
  }
  for (const auto& item : Items(body, "remove")) {
    rows_[KeyOf(item.get_object())] = {"", version_, true};
  }
  changed_.notify_all();
  if (lose_answer_ && lose_answer_(door, written)) {
    return std::nullopt;
  }
  return Json(200, {{"ver", version_}, {"now-ms", NowMs()}});
}

Response Store::Read(const Request& request) const {
  const std::lock_guard lock(mutex_);
  const std::string table = request.Query("table");
  const std::string part = request.Query("part");
  const std::string to = request.Query("to");
  json::array rows;
  std::size_t bytes = 0;
  bool more = false;
  for (auto at = rows_.lower_bound({table, part, request.Query("from")});
       at != rows_.end(); ++at) {
    const auto& [key, row] = *at;
    if (std::get<0>(key) != table || std::get<1>(key) != part ||
        (!to.empty() && std::get<2>(key) >= to)) {
      break;
    }
    if (row.dropped) {
      continue;
    }
    json::object item = ToJson(key, row);
    bytes += json::serialize(item).size();
    if (rows.size() == kMaxRows || bytes > kMaxBytes) {
      more = true;
      break;
    }
    rows.push_back(std::move(item));
  }
  return Json(200, {{"rows", std::move(rows)},
                    {"more-pages", more},
                    {"ver", version_},
                    {"now-ms", NowMs()}});
}

std::optional<Response> Store::Feed(std::size_t door, const Request& request) {
  const std::string table = request.Query("table");
  const std::int64_t after = std::atoll(request.Query("after").c_str());
  const Instant end =
      Clock::now() +
      std::chrono::milliseconds(std::min<std::int64_t>(
          kMaxWaitMs, std::atoll(request.Query("wait-ms").c_str())));
  std::unique_lock lock(mutex_);
  for (;;) {
    if (ending_ || !IsOpen(door)) {
      return std::nullopt;
    }
    std::vector<std::pair<Key, Row>> found;
    for (const auto& item : rows_) {
      if (std::get<0>(item.first) == table && item.second.version > after) {
        found.emplace_back(item);
      }
    }
    if (!found.empty() || Clock::now() >= end) {
      std::stable_sort(found.begin(), found.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.version < b.second.version;
                       });
      json::array rows;
      for (const auto& [key, row] : found) {
        rows.push_back(ToJson(key, row));
      }
      return Json(
          200,
          {{"rows", std::move(rows)}, {"ver", version_}, {"now-ms", NowMs()}});
    }
    changed_.wait_until(lock, end);
  }
}

}  // namespace review
