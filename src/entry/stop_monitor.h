#pragma once

#include <chrono>
#include <optional>

#include "entry/stop_check.h"
#include "http/server.h"

namespace jackdaw {

/// Maximum interval between two checks for a reason to stop.
inline constexpr auto kStopCheckInterval = std::chrono::milliseconds(250);

/// Checks, while an answer is awaited, for a reason to stop: a key that is no
/// longer valid, the end of the instance, or a caller that disconnected.
class StopMonitor {
 public:
  /// @param caller null if the request continues when its caller disconnects
  StopMonitor(const InstanceContext& context,
              const CallerRequest& request,
              const HttpExchange* caller)
      : context_(context), request_(request), caller_(caller) {}

  /// Checks once. @returns whether to stop
  bool Check() {
    reason_ = FindStopReason(context_, request_);
    if (!reason_ && caller_ != nullptr && caller_->CallerGone()) {
      reason_ = Refusal{RefusalKind::kTargetFailed, Ran::kUnknown,
                        "the caller closed the connection", Instant{}};
    }
    return reason_.has_value();
  }

  bool stopped() const { return reason_.has_value(); }
  /// Why the request must stop. Valid only if stopped() is true.
  const Refusal& reason() const { return *reason_; }

 private:
  const InstanceContext& context_;
  const CallerRequest& request_;
  const HttpExchange* caller_;
  std::optional<Refusal> reason_;
};

}  // namespace jackdaw
