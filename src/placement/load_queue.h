#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"

namespace jackdaw {

/// How urgent a load is; a higher one goes first.
enum class LoadPriority : std::uint8_t {
  kExtraCopy,
  kNoCopy,
  kNoCopyCallersWait,
};

/// A load that waits for the weight store or runs against it.
struct LoadTicket {
  std::string target;
  std::string model;
  LoadPriority priority = LoadPriority::kExtraCopy;
  Instant requested_at{};
  /// The epoch until it has begun.
  Instant started_at{};
  /// After this the ticket counts no more, unless it is renewed.
  Instant expires_at{};
};

/// The fleet's queue for the weight store, kept in one row of the table:
/// bounded slots and a bounded rate, the most urgent load first. Moments in it
/// come from several clocks; only the pace depends on them, never a promise.
class LoadQueue {
 public:
  /// Asks for a load, or renews what was asked. @returns whether it may run
  bool Ask(Instant now,
           const LoadTicket& ticket,
           int slots,
           int loads_per_second);
  /// Takes a ticket out. @returns whether there was one
  bool Remove(std::string_view target, std::string_view model);
  /// Drops what has expired.
  void Expire(Instant now);

  /// Loads that a new one of a priority would wait for.
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

inline constexpr std::string_view kLoadQueueRow = "weights/queue";

}  // namespace jackdaw
