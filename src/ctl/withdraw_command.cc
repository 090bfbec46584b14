#include "ctl/withdraw_command.h"

#include <thread>

#include "ctl/printing.h"
#include "ctl/resource.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Time for a withdrawal to be confirmed by every instance.
constexpr auto kWithdrawTime = std::chrono::seconds(10);
constexpr auto kWithdrawPollTime = std::chrono::milliseconds(100);
// Times that the edit is repeated when other operators come in between.
constexpr int kEditTries = 8;

struct Report {
  json::array rows;
  bool complete = false;
};

// Marks the key as withdrawn. @returns the version that holds the withdrawal
Result<std::uint64_t> CommitWithdrawal(const OperatorClient& client,
                                       const std::string& id) {
  const Resource& keys = *FindResource("key");
  for (int i = 1;; ++i) {
    BOOST_OUTCOME_TRY(auto document, client.GetConfig());
    BOOST_OUTCOME_TRY(auto item, FindItem(document.content, keys, id));
    const auto* withdrawn = item.if_contains("withdrawn");
    if (withdrawn != nullptr && withdrawn->is_bool() && withdrawn->get_bool()) {
      return document.version;
    }
    item["withdrawn"] = true;
    PutItem(document.content, keys, std::move(item));
    auto version = client.PutConfig(document);
    if (version || version.error().kind != ErrorKind::kConflict ||
        i == kEditTries) {
      return version;
    }
  }
}

Result<Report> AskAll(const OperatorClient& client, std::uint64_t version) {
  json::array unreachable;
  BOOST_OUTCOME_TRY(const auto answers,
                    CallAll(client, "/v1/status", &unreachable));
  Report report;
  report.complete = unreachable.empty() && !answers.empty();
  for (const auto& answer : answers) {
    const bool has =
        answer.at("config_version").to_number<std::uint64_t>() >= version;
    report.complete = report.complete && has;
    report.rows.push_back(json::object{{"instance", answer.at("instance")},
                                       {"in_force", has ? "yes" : "not yet"}});
  }
  for (const auto& name : unreachable) {
    report.rows.push_back(
        json::object{{"instance", name}, {"in_force", "unreachable"}});
  }
  return report;
}

}  // namespace

Result<std::string> WithdrawKey(const OperatorClient& client,
                                const CommandLine& line) {
  if (line.words.size() < 3) {
    return Error{ErrorKind::kInvalidSetting, "the key's id is missing",
                 "see jackdawctl --help"};
  }
  BOOST_OUTCOME_TRY(const auto version,
                    CommitWithdrawal(client, line.words[2]));
  const auto until = std::chrono::steady_clock::now() + kWithdrawTime;
  for (;;) {
    BOOST_OUTCOME_TRY(const auto report, AskAll(client, version));
    const std::string text = line.json ? json::serialize(report.rows) + "\n"
                                       : TableText(report.rows);
    if (report.complete) {
      return text;
    }
    if (std::chrono::steady_clock::now() >= until) {
      return Error{ErrorKind::kUnavailable,
                   "withdrawn in version " + std::to_string(version) +
                       ", but not confirmed by every instance:\n" + text,
                   "an instance that does not confirm uses no keys by now; "
                   "repeat the command to check again"};
    }
    std::this_thread::sleep_for(kWithdrawPollTime);
  }
}

}  // namespace jackdaw
