#pragma once

#include <cstdint>

#include "core/time.h"

namespace jackdaw {

/// Pace of a weight store.
struct WeightStoreShape {
  int slots = 2;
  std::int64_t loads_per_s = 2;
  std::int64_t load_ms = 500;
  int adapter_knee = 16;
  std::int64_t adapter_load_us = 8000;
};

/// The weight store of the platform stand-in: model loads begin at a bounded
/// rate and get slower beyond the slots, adapter loads beyond the knee.
class WeightStore {
 public:
  explicit WeightStore(WeightStoreShape shape) : shape_(shape) {}

  /// A load begins. @returns when it will be done
  Instant BeginModel(Instant now);
  Instant BeginAdapter(Instant now);
  void End(bool adapter);

  int most_models() const { return most_models_; }
  int most_adapters() const { return most_adapters_; }

 private:
  WeightStoreShape shape_;
  Instant next_begin_{};
  int models_ = 0;
  int adapters_ = 0;
  int most_models_ = 0;
  int most_adapters_ = 0;
};

}  // namespace jackdaw
