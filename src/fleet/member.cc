#include "fleet/member.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

#include "core/object_reader.h"
#include "quota/part_table.h"

namespace jackdaw::serving {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 4> kStateNames = {"starting", "ready",
                                                         "draining", "gone"};
// Rates are encoded in thousandths, as integers.
constexpr double kMilli = 1000;
// Limits above this, in requests a second, are no limits in practice.
constexpr double kMaxRate = 1e6;
// Largest integer that is accepted in a field of a member's row, if the field
// has no limit of its own.
constexpr std::int64_t kMaxInteger = 1'000'000'000'000;
// Largest number of crashes in a report.
constexpr std::int64_t kMaxCrashes = 1000;
// Separates the digest of a request from that of the crashed target. Instances
// that know no targets read the digest up to it.
constexpr char kTargetMark = '/';

// An unknown state counts as gone.
MemberState ParseState(std::string_view text) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == text) {
      return static_cast<MemberState>(i);
    }
  }
  return MemberState::kGone;
}

// Returns a number that the receiver accepts.
std::int64_t ToMilli(double value) {
  constexpr auto kMost = static_cast<double>(kMaxInteger);
  return static_cast<std::int64_t>(std::clamp(value * kMilli, 0.0, kMost));
}

// Callers choose the names of models; one that is not UTF-8 would make the
// whole member unreadable.
json::array EncodeDemand(const Member& member) {
  json::array demand;
  for (const ModelDemand& item : member.demand) {
    if (!IsJsonText(item.key.model)) {
      continue;
    }
    demand.push_back({{"service", item.key.service},
                      {"model", item.key.model},
                      {"requests", ToMilli(item.demand.requests)},
                      {"tokens", ToMilli(item.demand.tokens)},
                      {"unmet", ToMilli(item.demand.unmet)}});
  }
  return demand;
}

double FromMilli(ObjectReader& reader, std::string_view key) {
  return static_cast<double>(reader.IntegerOr(key, 0, kMaxInteger, 0)) / kMilli;
}

Result<ModelDemand> DecodeDemand(const json::value& value) {
  ObjectReader reader(value, "/demand");
  ModelDemand item;
  item.key.service = reader.Text("service");
  item.key.model = reader.Text("model");
  item.demand.requests = FromMilli(reader, "requests");
  item.demand.tokens = FromMilli(reader, "tokens");
  item.demand.unmet = FromMilli(reader, "unmet");
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return item;
}

}  // namespace

json::array EncodeCrashes(std::span<const CrashReport> reports) {
  json::array crashes;
  for (const CrashReport& report : reports) {
    std::string digest = std::to_string(report.digest);
    if (report.target != 0) {
      digest += kTargetMark + std::to_string(report.target);
    }
    json::object crash{{"digest", digest}, {"breaks", report.crashes}};
    if (report.request != 0) {
      crash["request"] = std::to_string(report.request);
    }
    if (report.partner != 0) {
      crash["partner"] = std::to_string(report.partner);
    }
    if (report.age > Micros(0)) {
      crash["age_ms"] = report.age / 1ms;
    }
    crashes.push_back(std::move(crash));
  }
  return crashes;
}

Result<std::vector<CrashReport>> ReadCrashes(ObjectReader& reader) {
  std::vector<CrashReport> reports;
  for (const auto& item : reader.ItemsOr("crashes")) {
    ObjectReader crash(item, "/crashes");
    const std::string digest = crash.Text("digest");
    const std::size_t mark = digest.find(kTargetMark);
    CrashReport report;
    report.digest = std::strtoull(digest.c_str(), nullptr, 10);
    if (mark != std::string::npos) {
      report.target = std::strtoull(&digest[mark + 1], nullptr, 10);
    }
    report.crashes = static_cast<int>(crash.Integer("breaks", 0, kMaxCrashes));
    report.request =
        std::strtoull(crash.TextOr("request", "0").c_str(), nullptr, 10);
    report.partner =
        std::strtoull(crash.TextOr("partner", "0").c_str(), nullptr, 10);
    report.age =
        std::chrono::milliseconds(crash.IntegerOr("age_ms", 0, kMaxInteger, 0));
    BOOST_OUTCOME_TRY(crash.FinishKnown());
    reports.push_back(report);
  }
  return reports;
}

json::array EncodeRateLimits(std::span<const RateLimitReport> reports) {
  json::array limits;
  for (const RateLimitReport& report : reports) {
    json::object limit{{"target", std::to_string(report.target)},
                       {"born_ms", report.born_ms},
                       {"age_ms", std::max(Micros(0), report.age) / 1ms}};
    if (report.per_second) {
      limit["per_second"] = ToMilli(std::min(*report.per_second, kMaxRate));
    }
    if (report.cold_remaining > Micros(0) && report.cold_version.number >= 0) {
      limit["cold_ms"] = report.cold_remaining / 1ms;
      limit["cold_epoch"] = report.cold_version.epoch;
      limit["cold_version"] = report.cold_version.number;
    }
    limits.push_back(std::move(limit));
  }
  return limits;
}

Result<std::vector<RateLimitReport>> ReadRateLimits(ObjectReader& reader) {
  std::vector<RateLimitReport> reports;
  for (const auto& item : reader.ItemsOr("rate_limits")) {
    ObjectReader limit(item, "/rate_limits");
    RateLimitReport report;
    report.target = std::strtoull(limit.Text("target").c_str(), nullptr, 10);
    report.born_ms = limit.Integer("born_ms", INT64_MIN, INT64_MAX);
    report.age =
        std::chrono::milliseconds(limit.Integer("age_ms", 0, kMaxInteger));
    if (limit.Any("per_second") != nullptr) {
      report.per_second = FromMilli(limit, "per_second");
    }
    report.cold_remaining = std::chrono::milliseconds(
        limit.IntegerOr("cold_ms", 0, kMaxColdTime / 1ms, 0));
    report.cold_version.epoch =
        limit.IntegerOr("cold_epoch", 0, kMaxInteger, -1);
    report.cold_version.number =
        limit.IntegerOr("cold_version", 0, INT64_MAX, -1);
    BOOST_OUTCOME_TRY(limit.FinishKnown());
    reports.push_back(report);
  }
  return reports;
}

json::array EncodeLeaving(std::span<const LeavingReport> reports) {
  json::array targets;
  for (const LeavingReport& report : reports) {
    targets.push_back({{"target", std::to_string(report.target)},
                       {"born_ms", report.born_ms}});
  }
  return targets;
}

Result<std::vector<LeavingReport>> ReadLeaving(ObjectReader& reader) {
  std::vector<LeavingReport> reports;
  for (const auto& item : reader.ItemsOr("leaving_targets")) {
    ObjectReader target(item, "/leaving_targets");
    LeavingReport report;
    report.target = std::strtoull(target.Text("target").c_str(), nullptr, 10);
    report.born_ms = target.Integer("born_ms", INT64_MIN, INT64_MAX);
    BOOST_OUTCOME_TRY(target.FinishKnown());
    reports.push_back(report);
  }
  return reports;
}

std::string EncodeCrashRow(std::span<const CrashReport> reports) {
  return json::serialize(json::value{{"crashes", EncodeCrashes(reports)}});
}

Result<std::vector<CrashReport>> DecodeCrashRow(std::string_view document) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(document));
  ObjectReader reader(value, "");
  BOOST_OUTCOME_TRY(auto reports, ReadCrashes(reader));
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return reports;
}

std::string EncodeMember(const Member& member) {
  return json::serialize(json::value{
      {"name", member.name},
      {"entry", ToText(member.entry)},
      {"peer", ToText(member.peer)},
      {"failure_domain", member.failure_domain},
      {"boot", member.boot_id},
      {"beat", member.heartbeat_number},
      {"store_epoch", member.sent_at.epoch},
      {"store_ms", member.sent_at.ms},
      {"state", kStateNames[static_cast<std::size_t>(member.state)]},
      {"parts_epoch", member.parts_epoch},
      {"parts", member.parts ? EncodeParts(*member.parts) : std::string()},
      {"demand", EncodeDemand(member)},
      {"crashes", EncodeCrashes(member.crashes)},
      {"rate_limits", EncodeRateLimits(member.rate_limits)},
      {"leaving_targets", EncodeLeaving(member.leaving_targets)}});
}

Result<Member> DecodeMember(std::string_view document) {
  BOOST_OUTCOME_TRY(const json::value value, ParseJson(document));
  ObjectReader reader(value, "");
  Member member;
  member.name = reader.Text("name");
  BOOST_OUTCOME_TRY(member.entry, ParseEndpoint(reader.Text("entry")));
  BOOST_OUTCOME_TRY(member.peer, ParseEndpoint(reader.Text("peer")));
  member.failure_domain = reader.Text("failure_domain");
  member.boot_id = reader.Text("boot");
  member.heartbeat_number = reader.Integer("beat", 0, kMaxInteger);
  member.sent_at.epoch = reader.IntegerOr("store_epoch", 0, kMaxInteger, 0);
  member.sent_at.ms = reader.IntegerOr("store_ms", 0, INT64_MAX, 0);
  member.state = ParseState(reader.Text("state"));
  member.parts_epoch = reader.IntegerOr("parts_epoch", -1, kMaxInteger, 0);
  const std::string parts = reader.TextOr("parts", "");
  if (!parts.empty()) {
    BOOST_OUTCOME_TRY(member.parts, DecodeParts(parts));
  }
  for (const auto& item : reader.ItemsOr("demand")) {
    BOOST_OUTCOME_TRY(ModelDemand demand, DecodeDemand(item));
    member.demand.push_back(std::move(demand));
  }
  BOOST_OUTCOME_TRY(member.crashes, ReadCrashes(reader));
  BOOST_OUTCOME_TRY(member.rate_limits, ReadRateLimits(reader));
  BOOST_OUTCOME_TRY(member.leaving_targets, ReadLeaving(reader));
  BOOST_OUTCOME_TRY(reader.FinishKnown());
  return member;
}

}  // namespace jackdaw::serving
