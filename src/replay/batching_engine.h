#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "routing/prefix_history.h"

namespace jackdaw {

/// Speed and size of a fake engine.
struct BatchingShape {
  std::int64_t slots = 32;
  std::int64_t step_us = 8'000;
  std::int64_t sequence_us = 120;
  std::int64_t prompt_token_us = 80;
  /// Prompt tokens worked on in one step.
  std::int64_t chunk_tokens = 512;
  /// Prefix blocks and adapters kept.
  std::size_t cached_blocks = 96;
  std::size_t kept_adapters = 8;
};

/// A request at a fake engine.
struct EngineWork {
  std::uint32_t request = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 1;
  std::uint32_t adapter = 0;
  /// Lower runs first.
  std::int32_t priority = 0;
  PrefixChain prefixes;
};

/// What happened to a request in a step.
struct EngineProgress {
  enum class Kind : std::uint8_t { kFirstToken, kDone };
  Kind kind = Kind::kDone;
  std::uint32_t request = 0;
  std::int64_t output_tokens = 0;
};

/// Fake of an engine that batches continuously, works prompts off in chunks,
/// keeps prefixes and adapters in limited memory and honours priorities.
class BatchingEngine {
 public:
  explicit BatchingEngine(const BatchingShape& shape) : shape_(shape) {}

  void Add(EngineWork work);
  /// Runs one step. @returns its time, 0 where there is nothing to do
  Micros Step(std::vector<EngineProgress>& progress);

  std::int64_t running() const {
    return static_cast<std::int64_t>(running_.size());
  }
  std::int64_t waiting() const {
    return static_cast<std::int64_t>(waiting_.size());
  }
  std::vector<std::uint32_t> Adapters() const {
    return {adapters_.begin(), adapters_.end()};
  }

 private:
  struct Sequence {
    EngineWork work;
    std::int64_t prompt_left = 0;
    std::int64_t generated = 0;
  };

  std::int64_t TakeCached(const PrefixChain& chain);
  bool LoadAdapter(std::uint32_t adapter);
  Micros AdmitWaiting();

  BatchingShape shape_;
  std::deque<EngineWork> waiting_;
  std::vector<Sequence> running_;
  std::list<std::uint64_t> blocks_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> at_;
  std::list<std::uint32_t> adapters_;
};

}  // namespace jackdaw
