#pragma once

#include <chrono>
#include <optional>

#include "entry/stop_check.h"
#include "http/server.h"

namespace jackdaw {

/// Longest wait between two looks at whether to stop.
inline constexpr auto kStopCheckInterval = std::chrono::milliseconds(250);

/// Watches, while an answer is awaited, for a reason to stop: a withdrawn
/// key, the end of the instance, or a caller that has gone.
class StopMonitor {
 public:
  /// @param caller null where the caller's leaving does not stop the request
  StopMonitor(const InstanceContext& context,
              const CallerRequest& request,
              const HttpExchange* caller)
      : context_(context), request_(request), caller_(caller) {}

  /// Looks once. @returns whether to stop
  bool Check() {
    reason_ = FindStopReason(context_, request_);
    if (!reason_ && caller_ != nullptr && caller_->CallerGone()) {
      reason_ = Refusal{RefusalKind::kTargetFailed, Ran::kUnknown,
                        "the caller closed the connection", Instant{}};
    }
    return reason_.has_value();
  }

  bool stopped() const { return reason_.has_value(); }
  /// Why to stop. Call only when stopped.
  const Refusal& reason() const { return *reason_; }

 private:
  const InstanceContext& context_;
  const CallerRequest& request_;
  const HttpExchange* caller_;
  std::optional<Refusal> reason_;
};

}  // namespace jackdaw
