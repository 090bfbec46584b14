#pragma once

#include <functional>
#include <string>

#include "client.h"
#include "engine.h"
#include "lab.h"

namespace review {

/// A booking, the answer that its client got, and whether an engine ran it.
struct Booking {
  std::string attempt;
  Got got;
  bool ran = false;
  /// Body of the answer that an engine gives to it.
  std::string body;
};

/// Plays bookings at three instances before two engines, of which one sends
/// additional bytes after some of its complete answers.
/// @param stray_bytes those bytes
/// @param breaks_rule whether what became of a booking breaks the rule
/// @param verdict set to kBroken if one does
Task PlayStrayBytes(Lab& lab,
                    bool trouble,
                    std::string stray_bytes,
                    std::function<bool(const Booking&)> breaks_rule,
                    int& verdict);

}  // namespace review
