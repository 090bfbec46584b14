#pragma once

#include "core/time.h"

namespace jackdaw::serving {

/// Returns the delay before the first call of a watch that was started.
/// @param leads whether the instance leads
/// @param spread largest delay of one that does not; see ActivationSpread
/// @param unit random number from 0 to 1
Micros DelayOfFirstCall(bool leads, Micros spread, double unit);

/// Returns the delay after a call that returned changes, so that changes in
/// quick succession take one call. It is longer for an instance that does not
/// lead, as many of them may watch at the same time.
Micros DelayAfterChanges(bool leads, double unit);

/// Returns the delay after failed calls.
/// @param failures number of failed calls in a row
/// @param elapsed time since the last of them was sent, which counts towards
/// the delay: calls that time out are far apart already
Micros DelayAfterFailure(int failures, double unit, Micros elapsed = Micros(0));

}  // namespace jackdaw::serving
