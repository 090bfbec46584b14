#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "http/client.h"

namespace jackdaw {

/// Caller's side of `GET /v1/entry`: keeps the answer until it expires, picks
/// an address at random, and asks any known address again afterwards.
class EntryChoice {
 public:
  EntryChoice(HttpClient& client,
              const MonotonicClock& clock,
              const Endpoint& start,
              std::uint64_t seed)
      : client_(client), clock_(clock), known_{start}, random_(seed) {}

  /// @returns an address to use, or nothing when no instance answers
  boost::asio::awaitable<std::optional<Endpoint>> Pick();

  /// Drops an address that failed, until the next answer.
  void Forget(const Endpoint& endpoint);

 private:
  boost::asio::awaitable<void> Refresh();

  HttpClient& client_;
  const MonotonicClock& clock_;
  std::vector<Endpoint> known_;
  std::vector<Endpoint> current_;
  Instant keep_until_{};
  bool asking_ = false;
  Random random_;
};

}  // namespace jackdaw
