#pragma once

#include <boost/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/object_reader.h"
#include "core/time.h"

namespace jackdaw::serving {

/// A member of a view that its leader has not heard for a while.
struct MemberSilence {
  std::string name;
  /// Age of the last sign of life.
  Micros age{};
};

boost::json::array EncodeSilent(std::span<const MemberSilence> silent);
/// Reads the field `silent` of an object.
/// @returns the members, or the error of the first malformed one
Result<std::vector<MemberSilence>> ReadSilent(ObjectReader& reader);

}  // namespace jackdaw::serving
