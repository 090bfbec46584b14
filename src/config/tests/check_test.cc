#include "config/check.h"

#include <boost/test/unit_test.hpp>

#include "config/expiry.h"

namespace jackdaw {
namespace {

std::string Digest(char digit) {
  return std::string(64, digit);
}

std::string KeyText(std::string_view id, char digit, bool withdrawn) {
  return R"({"id":")" + std::string(id) + R"(","workspace":"a","digest":")" +
         Digest(digit) + R"(","withdrawn":)" + (withdrawn ? "true" : "false") +
         "}";
}

std::string Document(std::string_view keys, std::string_view more = "") {
  return R"({"workspaces":[{"name":"a"}],"keys":[)" + std::string(keys) + "]" +
         std::string(more) + "}";
}

void ExpectFault(const std::string& document, std::string_view part) {
  const auto config = ParseFleetConfig(document, 1);
  BOOST_TEST_REQUIRE(!config.has_value());
  BOOST_TEST_CONTEXT(config.error().Line()) {
    BOOST_TEST(config.error().message.find(part) != std::string::npos);
  }
}

std::string ChangeFault(const std::string& before, const std::string& after) {
  const auto checked = CheckChange(ParseFleetConfig(before, 1).value(),
                                   ParseFleetConfig(after, 2).value(), 5000);
  return checked ? std::string() : checked.error().message;
}

std::string ExceptionText(int expires_ms) {
  return R"(,"exceptions":[{"scope":"workspace/a","setting":"burst_tokens",
            "value":9,"reason":"r","expires_ms":)" +
         std::to_string(expires_ms) + "}]";
}

BOOST_AUTO_TEST_CASE(WhatStandsTwiceIsRefused) {
  ExpectFault(
      Document(KeyText("k", '1', false) + "," + KeyText("k", '2', false)),
      "/keys/1/id");
  ExpectFault(
      Document(KeyText("k", '1', false) + "," + KeyText("l", '1', true)),
      "digest of another key");
  ExpectFault(Document(KeyText("k", 'A', false)), "lower case");
  ExpectFault(Document("", R"(,"services":[{"name":"s","routes":[
                {"path":"/x"},{"path":"/x"}]}])"),
              "/services/0/routes/1");
  ExpectFault(Document("", R"(,"exceptions":[
                {"scope":"workspace/b","setting":"burst_tokens","value":9,
                 "reason":"r"}])"),
              "names nothing");
}

BOOST_AUTO_TEST_CASE(AWorkspaceWithALiveKeyStays) {
  const std::string live = Document(KeyText("k", '1', false));
  const std::string without = R"({"workspaces":[]})";
  BOOST_TEST(ChangeFault(live, without).find("is live") != std::string::npos);
  BOOST_TEST(ChangeFault(Document(KeyText("k", '1', true)), without).empty());
}

BOOST_AUTO_TEST_CASE(AWithdrawnKeyNeverComesBack) {
  const std::string before = Document(KeyText("k", '1', true));
  BOOST_TEST(!ChangeFault(before, Document(KeyText("k", '1', false))).empty());
  BOOST_TEST(!ChangeFault(before, Document(KeyText("l", '1', false))).empty());
  BOOST_TEST(ChangeFault(before, Document(KeyText("k", '2', false))).empty());
}

BOOST_AUTO_TEST_CASE(ANewExceptionMustNotHaveEnded) {
  const std::string none = Document("");
  BOOST_TEST(!ChangeFault(none, Document("", ExceptionText(5000))).empty());
  BOOST_TEST(ChangeFault(none, Document("", ExceptionText(5001))).empty());
  // One that ended since it was made may stay.
  const std::string old = Document("", ExceptionText(5000));
  BOOST_TEST(ChangeFault(old, old).empty());
  const auto config = ParseFleetConfig(old, 1).value();
  BOOST_TEST(NextExpiry(config, 4999) == 5000);
  BOOST_TEST(NextExpiry(config, 5000) == 0);
}

}  // namespace
}  // namespace jackdaw
