#include "record/copy_keeper.h"

#include <algorithm>

#include "core/invariant.h"

namespace jackdaw {
namespace {

// Time without a message after which a peer counts as silent.
constexpr Micros kSilentTime = 15s;
// Time that a peer may be cut from the store before its records are stored
// for it.
constexpr Micros kCutTime = 5s;
// Bytes of one object.
constexpr std::size_t kBatchBytes = 256 * 1024;

}  // namespace

HeldState CopyKeeper::OnCopy(Instant now,
                             const RecordOwner& owner,
                             std::uint64_t first,
                             std::string_view records,
                             std::uint64_t stored_through,
                             bool store_reachable) {
  Held& held = held_.try_emplace(owner, owner).first->second;
  held.heard = now;
  if (store_reachable) {
    held.cut_since = Instant::max();
  } else {
    held.cut_since = std::min(held.cut_since, now);
  }
  OnStored(now, owner, stored_through);
  if (first > 0 && bytes() + records.size() <= max_bytes_) {
    Append(held, first, records);
  }
  CheckInvariant(held.held_through >= held.stored_through,
                 "what is stored counts as held");
  return {held.held_through, held.stored_through};
}

// Takes the lines that follow what is held; a line before it is a repeat.
void CopyKeeper::Append(Held& held,
                        std::uint64_t first,
                        std::string_view records) {
  if (first > held.held_through + 1) {
    return;
  }
  while (!records.empty()) {
    const std::size_t end = records.find('\n');
    if (end == std::string_view::npos) {
      return;
    }
    auto line = ParseLine(records.substr(0, end + 1));
    records.remove_prefix(end + 1);
    if (!line || line.value().number > held.held_through + 1) {
      return;
    }
    if (line.value().number == held.held_through + 1) {
      ++held.held_through;
      held.lines.Append(std::move(line.value()));
    }
  }
}

void CopyKeeper::OnStored(Instant now,
                          const RecordOwner& owner,
                          std::uint64_t through) {
  Held& held = held_.try_emplace(owner, owner).first->second;
  held.heard = std::max(held.heard, now);
  held.stored_through = std::max(held.stored_through, through);
  held.held_through = std::max(held.held_through, held.stored_through);
  held.lines.DropThrough(through);
}

bool CopyKeeper::Silent(const Held& held, Instant now) {
  return now - held.heard >= kSilentTime;
}

std::optional<Recovery> CopyKeeper::NextRecovery(
    Instant now,
    Instant reachable_since) const {
  for (const auto& [owner, held] : held_) {
    const bool cut =
        held.cut_since != Instant::max() &&
        now - std::max(held.cut_since, reachable_since) >= kCutTime;
    if (!held.lines.empty() && (cut || Silent(held, now))) {
      return Recovery{owner, *held.lines.First(kBatchBytes)};
    }
  }
  return std::nullopt;
}

std::size_t CopyKeeper::bytes() const {
  std::size_t total = 0;
  for (const auto& [owner, held] : held_) {
    total += held.lines.bytes();
  }
  return total;
}

}  // namespace jackdaw
