#include "load/answer_check.h"

#include "core/digest.h"
#include "standin/engine_standin.h"

namespace jackdaw {
namespace {

constexpr std::size_t kStemDigits = 8;

}  // namespace

AnswerCheck::AnswerCheck(std::string_view prompt, std::int64_t tokens)
    : stem_(Sha256Hex(prompt).substr(0, kStemDigits)), tokens_(tokens) {}

std::int64_t AnswerCheck::Feed(std::string_view bytes) {
  constexpr std::string_view kEnd = "\n\n";
  const std::int64_t before = next_;
  rest_ += bytes;
  std::size_t start = 0;
  for (std::size_t end = rest_.find(kEnd); end != std::string::npos;
       end = rest_.find(kEnd, start)) {
    TakeEvent(std::string_view(rest_).substr(start, end - start));
    start = end + kEnd.size();
  }
  rest_.erase(0, start);
  return next_ - before;
}

void AnswerCheck::TakeEvent(std::string_view event) {
  if (event.starts_with(":")) {
    return;
  }
  if (event == "data: [DONE]") {
    broken_ = broken_ || done_;
    done_ = true;
    return;
  }
  if (event.starts_with("event: error")) {
    refusal_ = ProblemKind(event);
    return;
  }
  const bool expected = event.find("\"" + StandinToken(stem_, next_) + "\"") !=
                        std::string_view::npos;
  broken_ = broken_ || done_ || !expected;
  ++next_;
}

std::string ProblemKind(std::string_view body) {
  constexpr std::string_view kMark = "\"kind\":\"";
  const std::size_t start = body.find(kMark);
  if (start == std::string_view::npos) {
    return {};
  }
  const std::string_view rest = body.substr(start + kMark.size());
  return std::string(rest.substr(0, rest.find('"')));
}

}  // namespace jackdaw
