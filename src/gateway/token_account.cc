#include "gateway/token_account.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Share of the KV memory that is kept free for what is not known: requests that
// other instances sent within the last 5 ms or whose notice was lost (about
// three of 1,600 tokens where the capacity is 64,000), and requests of callers
// that named no tokens.
constexpr double kReserveShare = 0.08;

}  // namespace

std::int64_t TokenLimit(const EngineSpec& engine, double mean_tokens) {
  const double limit = engine.kv_tokens * (1 - kReserveShare);
  // As many mean requests as there are slots always fit, as far as the memory
  // allows: the output bounds of callers are larger than what they get.
  const double slots_worth =
      std::min(engine.slots * mean_tokens, engine.kv_tokens);
  return static_cast<std::int64_t>(std::max(limit, slots_worth));
}

bool IsFull(const EngineSpec& engine,
            const LoadForecast& forecast,
            std::int64_t tokens,
            Instant now) {
  if (engine.kv_tokens <= 0) {
    return false;
  }
  const std::int64_t held = forecast.Tokens(now);
  return held > 0 && held + tokens > TokenLimit(engine, forecast.mean_tokens());
}

Instant TimeOfRoom(const EngineSpec& engine,
                   const LoadForecast& forecast,
                   std::int64_t tokens,
                   Instant now) {
  const std::int64_t limit =
      TokenLimit(engine, forecast.mean_tokens()) - tokens;
  return forecast.TimeOfTokens(std::max<std::int64_t>(0, limit), now);
}

}  // namespace jackdaw::serving
