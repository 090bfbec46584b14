#include "gateway/request_trace.h"

namespace jackdaw::serving {
namespace {

// Steps kept per request, at most.
constexpr std::size_t kMaxSteps = 24;
// Steps at the start of a request that are never dropped.
constexpr std::size_t kKeptFirstSteps = 8;

}  // namespace

void RequestTrace::Add(Instant now,
                       std::string_view step,
                       std::string_view detail) {
  if (steps_.size() >= kMaxSteps) {
    steps_.erase(steps_.begin() + kKeptFirstSteps);
    ++dropped_;
  }
  std::string text(step);
  if (!detail.empty()) {
    text += ' ';
    text += detail;
  }
  steps_.push_back({now, std::move(text)});
}

std::string RequestTrace::Text() const {
  std::string out;
  for (const Step& step : steps_) {
    out += out.empty() ? "+" : "; +";
    out += std::to_string((step.at - started_at_) / 1ms);
    out += "ms ";
    out += step.text;
  }
  if (dropped_ > 0) {
    out += "; " + std::to_string(dropped_) + " steps left out";
  }
  return out;
}

}  // namespace jackdaw::serving
