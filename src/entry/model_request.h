#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "routing/prefix_history.h"

namespace jackdaw {

/// What the system reads of a completion request; the body itself goes to the
/// target as it came.
struct ModelRequest {
  std::string model;
  std::int64_t prompt_tokens = 0;
  /// 0 where the caller set none.
  std::int64_t max_tokens = 0;
  bool stream = false;
  /// Digests of the beginnings of the prompt.
  PrefixChain prefixes;
};

/// Reads a body of /v1/completions or /v1/chat/completions.
/// @returns the request, or kMalformed with what is wrong
Result<ModelRequest> ParseModelRequest(std::string_view body);

/// Tokens generated according to a whole answer's usage member.
/// @returns -1 where the answer does not say
std::int64_t ReadCompletionTokens(std::string_view body);

}  // namespace jackdaw
