#pragma once

#include <boost/assert/source_location.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace jackdaw {

/// Thrown when decision code finds its own state inconsistent. The operation
/// at hand ends; the daemon counts it and goes on.
class InvariantBreach : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/// Number of breaches in this process so far.
std::uint64_t InvariantBreachCount();

/// Counts and throws a breach.
[[noreturn]] void FailInvariant(std::string_view what,
                                const boost::source_location& where);

/// Checks an invariant, in release builds too.
/// @param holds the condition @param what what is claimed to hold
inline void CheckInvariant(
    bool holds,
    std::string_view what,
    const boost::source_location& where = BOOST_CURRENT_LOCATION) {
  if (!holds) [[unlikely]] {
    FailInvariant(what, where);
  }
}

}  // namespace jackdaw
