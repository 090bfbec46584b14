#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jackdaw {

/// Checks a streamed answer of the engine stand-in as it comes: every token
/// in order, of this prompt, up to an explicit end.
class AnswerCheck {
 public:
  /// @param prompt text that was sent @param tokens number asked for
  AnswerCheck(std::string_view prompt, std::int64_t tokens);

  /// Takes in bytes. @returns tokens that are new
  std::int64_t Feed(std::string_view bytes);

  /// Whether all tokens and the end came, and nothing else.
  bool Whole() const { return !broken_ && done_ && next_ == tokens_; }
  /// Whether what came so far belongs to another request or is out of order,
  /// or the answer ended explicitly with tokens missing.
  bool Broken() const { return broken_ || (done_ && next_ != tokens_); }
  /// Kind of the refusal that ended the stream; empty where none did.
  const std::string& refusal() const { return refusal_; }

 private:
  void TakeEvent(std::string_view event);

  std::string stem_;
  std::int64_t tokens_;
  std::int64_t next_ = 0;
  bool done_ = false;
  bool broken_ = false;
  std::string rest_;
  std::string refusal_;
};

/// Value of `"kind":"..."` in a problem document; empty where there is none.
std::string ProblemKind(std::string_view body);

}  // namespace jackdaw
