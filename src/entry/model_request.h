#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "routing/prefix_history.h"

namespace jackdaw {

/// The parts of a completion request that routing and limits need. The body
/// itself is forwarded to the target unchanged.
struct ModelRequest {
  std::string model;
  std::int64_t prompt_tokens = 0;
  /// Limit on generated tokens; 0 if the caller set none.
  std::int64_t max_tokens = 0;
  bool stream = false;
  /// Digests of the prompt's prefixes, for routing to a prefix cache.
  PrefixChain prefixes;
};

/// Parses a body of /v1/completions or /v1/chat/completions.
/// @returns the request, or kMalformed with the member that is wrong
Result<ModelRequest> ParseModelRequest(std::string_view body);

/// Reads the number of generated tokens from /usage of a complete answer.
/// @returns -1 if the answer doesn't contain it
std::int64_t ReadCompletionTokens(std::string_view body);

}  // namespace jackdaw
