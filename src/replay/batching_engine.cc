#include "replay/batching_engine.h"

#include <algorithm>

namespace jackdaw {
namespace {

// Time for an adapter to load.
constexpr Micros kAdapterTime = 12ms;

}  // namespace

void BatchingEngine::Add(EngineWork work) {
  auto at = waiting_.end();
  while (at != waiting_.begin() && std::prev(at)->priority > work.priority) {
    --at;
  }
  waiting_.insert(at, std::move(work));
}

// Counts the cached blocks from the front and puts all blocks at the head.
std::int64_t BatchingEngine::TakeCached(const PrefixChain& chain) {
  std::int64_t cached = 0;
  bool unbroken = true;
  for (std::size_t i = 0; i < chain.count; ++i) {
    const auto found = at_.find(chain.digests[i]);
    unbroken = unbroken && found != at_.end();
    cached += unbroken ? kPrefixBlockTokens : 0;
    if (found != at_.end()) {
      blocks_.splice(blocks_.begin(), blocks_, found->second);
      continue;
    }
    blocks_.push_front(chain.digests[i]);
    at_[chain.digests[i]] = blocks_.begin();
    if (blocks_.size() > shape_.cached_blocks) {
      at_.erase(blocks_.back());
      blocks_.pop_back();
    }
  }
  return cached;
}

bool BatchingEngine::LoadAdapter(std::uint32_t adapter) {
  const auto found = std::find(adapters_.begin(), adapters_.end(), adapter);
  const bool resident = found != adapters_.end();
  if (resident) {
    adapters_.splice(adapters_.begin(), adapters_, found);
  } else {
    adapters_.push_front(adapter);
    if (adapters_.size() > shape_.kept_adapters) {
      adapters_.pop_back();
    }
  }
  return !resident;
}

Micros BatchingEngine::AdmitWaiting() {
  Micros loading{};
  while (!waiting_.empty() && running() < shape_.slots) {
    Sequence sequence{std::move(waiting_.front()), 0, 0};
    waiting_.pop_front();
    const std::int64_t cached = TakeCached(sequence.work.prefixes);
    sequence.prompt_left =
        std::max<std::int64_t>(1, sequence.work.prompt_tokens - cached);
    if (sequence.work.adapter != 0 && LoadAdapter(sequence.work.adapter)) {
      loading = kAdapterTime;
    }
    running_.push_back(std::move(sequence));
  }
  return loading;
}

Micros BatchingEngine::Step(std::vector<EngineProgress>& progress) {
  const Micros loading = AdmitWaiting();
  if (running_.empty()) {
    return Micros(0);
  }
  std::int64_t chunk = shape_.chunk_tokens;
  std::int64_t decoding = 0;
  for (auto& sequence : running_) {
    if (sequence.prompt_left == 0) {
      ++decoding;
      ++sequence.generated;
      continue;
    }
    const std::int64_t part = std::min(chunk, sequence.prompt_left);
    chunk -= part;
    sequence.prompt_left -= part;
    if (part > 0 && sequence.prompt_left == 0) {
      sequence.generated = 1;
      progress.push_back(
          {EngineProgress::Kind::kFirstToken, sequence.work.request, 1});
    }
  }
  std::erase_if(running_, [&](const Sequence& sequence) {
    const bool done = sequence.generated >= sequence.work.output_tokens;
    if (done) {
      progress.push_back({EngineProgress::Kind::kDone, sequence.work.request,
                          sequence.generated});
    }
    return done;
  });
  const std::int64_t prompt = shape_.chunk_tokens - chunk;
  return loading + Micros(shape_.step_us + decoding * shape_.sequence_us +
                          prompt * shape_.prompt_token_us);
}

}  // namespace jackdaw
