#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"

namespace jackdaw {

/// Urgency of a load; a higher value goes first.
enum class LoadPriority : std::uint8_t {
  kExtraCopy,
  kNoCopy,
  kNoCopyCallersWait,
};

/// A load that waits for a slot of the weight store or occupies one.
struct LoadTicket {
  std::string target;
  std::string model;
  LoadPriority priority = LoadPriority::kExtraCopy;
  Instant requested_at{};
  /// When the load started; the epoch while it waits.
  Instant started_at{};
  /// When the ticket is dropped unless it is renewed.
  Instant expires_at{};
};

/// The fleet-wide queue for the weight store, the shared storage from which
/// engines load model weights. A slot permits one load at a time. The queue is
/// kept in one row of the table. It bounds the concurrent loads and the rate at
/// which they start, and starts the most urgent first. Its timestamps come from
/// the clocks of several instances; they affect only the pacing of loads, no
/// safety guarantee.
class LoadQueue {
 public:
  /// Adds a ticket or renews it, and starts the load when possible.
  /// @param slots most loads in progress at one time
  /// @returns whether the load has started
  bool Ask(Instant now,
           const LoadTicket& ticket,
           int slots,
           int loads_per_second);
  /// Removes a ticket. @returns whether there was one
  bool Remove(std::string_view target, std::string_view model);
  /// Drops tickets that have expired.
  void Expire(Instant now);

  /// Returns how many loads go before a new one of this priority.
  int CountAhead(LoadPriority priority) const;
  const std::vector<LoadTicket>& tickets() const { return tickets_; }

  std::string Encode() const;
  static Result<LoadQueue> Decode(std::string_view value);

 private:
  bool MayStart(Instant now,
                const LoadTicket& ticket,
                int slots,
                int loads_per_second) const;

  std::vector<LoadTicket> tickets_;
  Instant last_started_at_{};
};

/// Key of the row that holds the queue.
inline constexpr std::string_view kLoadQueueRow = "weights/queue";

}  // namespace jackdaw
