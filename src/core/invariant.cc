#include "core/invariant.h"

#include <atomic>

namespace jackdaw {
namespace {

std::atomic<std::uint64_t> breach_count{0};

}  // namespace

std::uint64_t InvariantBreachCount() {
  return breach_count.load(std::memory_order_relaxed);
}

void FailInvariant(std::string_view what, const boost::source_location& where) {
  breach_count.fetch_add(1, std::memory_order_relaxed);
  throw InvariantBreach("invariant broken: " + std::string(what) + " at " +
                        where.file_name() + ":" + std::to_string(where.line()));
}

}  // namespace jackdaw
