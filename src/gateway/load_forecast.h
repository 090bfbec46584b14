#pragma once

#include <cstdint>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// Forecast of the requests at one target, from the expected ends of those that
/// all instances have sent and from the target's reports. Answers a target near
/// its number of slots, where the wait depends on when the next requests end.
///
/// Own requests are exact: they end when they end. Requests of other instances
/// count until their expected end. A report tells how many requests there were
/// at its moment; those that were sent later are added to it.
class LoadForecast {
 public:
  /// Most requests that are remembered one by one.
  static constexpr std::size_t kMaxRequests = 256;

  /// Adds a request of this instance.
  /// @param end expected end
  /// @param tokens tokens that the request may hold in the target's memory
  /// @returns its id; 0 if it is not remembered
  std::uint32_t AddOwn(Instant now, Instant end, std::int64_t tokens);
  /// Changes the expected end of an own request.
  void SetEnd(std::uint32_t id, Instant end);
  /// Removes an own request, which has ended.
  void RemoveOwn(std::uint32_t id);
  /// Adds a request that another instance has sent.
  void AddOther(Instant now, Instant end, std::int64_t tokens);
  /// Applies a report; one older than the last is ignored.
  /// @param requests running and waiting requests at `measured_at`
  void OnReport(int requests, Instant measured_at);

  /// Returns the expected number of running and waiting requests.
  int Requests(Instant now) const;
  /// Returns the expected time until a slot is free for a new request.
  Micros WaitForSlot(int slots, Instant now) const;
  /// Returns the tokens that the requests may hold. A request of another
  /// instance counts for some time after its expected end.
  std::int64_t Tokens(Instant now) const;
  /// Returns when the requests are expected to hold at most `limit` tokens.
  Instant TimeOfTokens(std::int64_t limit, Instant now) const;
  /// Returns the mean tokens of a request; 0 before the first one.
  double mean_tokens() const { return mean_tokens_; }

 private:
  struct Request {
    Instant end{};
    Instant sent_at{};
    std::int64_t tokens = 0;
    /// Id of an own request; 0 for one of another instance.
    std::uint32_t id = 0;
  };

  static bool IsLive(const Request& request, Instant now) {
    return request.id != 0 || request.end > now;
  }
  Micros OverdueTime() const;
  Instant ExpectedEnd(const Request& request, Instant now) const;
  void Insert(const Request& request, Instant now);
  void RemoveExpired(Instant now);
  bool DropOneOther();
  double Unknown(Instant now) const;
  double MeanSeconds() const;

  /// Ordered by expected end.
  std::vector<Request> requests_;
  std::uint32_t last_id_ = 0;
  double mean_tokens_ = 0;
  double mean_seconds_ = 0;
  Instant reported_at_{};
  /// Reported requests that no notice told of: the last number and its mean.
  double unknown_ = 0;
  double mean_unknown_ = 0;
};

}  // namespace jackdaw::serving
