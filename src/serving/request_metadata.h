#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jackdaw::serving {

/// Part of a prompt that several requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

/// Metadata of a caller's request, decoded once from its headers.
struct RequestMetadata {
  /// Identifies this attempt of the caller.
  std::string id;
  std::string host;
  /// Request target of HTTP: path and query as sent.
  std::string target;
  std::string method;
  /// Empty where the caller sent none.
  std::string key;
  /// Time that the caller waits, in milliseconds from sending the request.
  std::optional<std::int64_t> wait_ms;
  std::string model;
  std::string adapter;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  bool has_token_count = false;
  /// Output tokens that the caller expects; at most `max_output_tokens`.
  std::optional<std::int64_t> expected_output_tokens;
  std::vector<PromptPart> prompt_parts;
  /// Number of the last event that the caller has received, where it resumes a
  /// stream.
  std::optional<std::int64_t> last_event;

  /// Path without the query.
  std::string_view Path() const {
    return std::string_view(target).substr(0, target.find('?'));
  }
  /// Returns `model` or `model/adapter`, empty for a plain request.
  std::string ModelName() const {
    return adapter.empty() ? model : model + "/" + adapter;
  }
  /// Returns the prompt parts that other requests may share: all but the last.
  std::span<const PromptPart> SharedParts() const {
    const std::span<const PromptPart> parts(prompt_parts);
    return parts.first(parts.empty() ? 0 : parts.size() - 1);
  }
  std::int64_t Tokens() const { return prompt_tokens + max_output_tokens; }
  /// Returns the output tokens to expect: those named by the caller, else the
  /// most that it accepts.
  std::int64_t ExpectedOutput() const {
    return expected_output_tokens.value_or(max_output_tokens);
  }
};

/// Metadata of a target's response, from its head.
struct ResponseMetadata {
  int status = 0;
  /// Attempt that the response belongs to; empty where the target named none.
  std::string id;
  /// The target states that it has not run the request and will not.
  bool not_executed = false;
  /// Id of the target that responded; empty where it named none.
  std::string target_id;
  /// Whether the target signed the response: the body is the target's own.
  bool is_signed = false;
  /// Whether the target reports its load, and the load: requests that run and
  /// wait, and the number of slots.
  bool has_load = false;
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// How long work takes at the target at this moment, as a ratio; 1 as usual.
  /// Empty where it does not say.
  std::optional<double> work_ratio;
  /// Requests a second that the target takes from all instances together;
  /// empty where it names no limit.
  std::optional<double> rate_limit;
  /// The target names a limit that cannot be read.
  bool rate_limit_unreadable = false;
  /// The target announces that it leaves.
  bool leaving = false;
  /// The target announces something about leaving that cannot be read.
  bool leaving_unreadable = false;
  /// Seconds for which the target wants no request, where it rejects one.
  std::optional<double> retry_after_seconds;
  /// The target names such a time, and it cannot be read.
  bool retry_after_unreadable = false;
  /// Seconds for which the target keeps an idle connection; 0 where unknown.
  int keep_alive_seconds = 0;
};

}  // namespace jackdaw::serving
