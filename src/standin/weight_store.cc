#include "standin/weight_store.h"

#include <algorithm>

namespace jackdaw {

Instant WeightStore::BeginModel(Instant now) {
  ++models_;
  most_models_ = std::max(most_models_, models_);
  const Instant begin = std::max(now, next_begin_);
  next_begin_ = begin + Micros(1s) / shape_.loads_per_s;
  const std::int64_t slower = std::max(models_, shape_.slots);
  return begin + Micros(shape_.load_ms * 1000 * slower / shape_.slots);
}

Instant WeightStore::BeginAdapter(Instant now) {
  ++adapters_;
  most_adapters_ = std::max(most_adapters_, adapters_);
  const std::int64_t slower = std::max(adapters_, shape_.adapter_knee);
  return now + Micros(shape_.adapter_load_us * slower / shape_.adapter_knee);
}

void WeightStore::End(bool adapter) {
  --(adapter ? adapters_ : models_);
}

}  // namespace jackdaw
