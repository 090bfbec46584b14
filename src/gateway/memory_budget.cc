#include "gateway/memory_budget.h"

#include <algorithm>
#include <tuple>

namespace jackdaw::serving {
namespace {

constexpr std::size_t kMegabyte = 1024UL * 1024;
// Cost of an open connection: its object, and the kernel's socket and file.
constexpr std::size_t kConnectionBytes = 8UL * 1024;
// Kernel memory of a connection that is not read, or whose caller does not
// read. Its socket options bound it.
constexpr std::size_t kKernelBytes = 128UL * 1024;
// Bytes that one read may add.
constexpr std::size_t kReadBytes = 16UL * 1024;
// A request up to this size may use the room that large bodies leave.
constexpr std::size_t kSmallBytes = 48UL * 1024;
// While memory is short, a connection that moves fewer bytes than this in
// kStallTime has stalled.
constexpr std::size_t kProgressBytes = 16UL * 1024;
constexpr Micros kStallTime = 1s;
// Longest pause of an incomplete request before it is refused.
constexpr Micros kMaxPause = 2s;
// Descriptors of the process that belong to no connection.
constexpr std::int64_t kOwnDescriptors = 64;

}  // namespace

MemoryLimits LimitsOf(std::int64_t memory_mb, std::int64_t max_descriptors) {
  MemoryLimits limits;
  // The other half is for the program, its view of the fleet and the allocator.
  limits.bytes = static_cast<std::size_t>(memory_mb) * kMegabyte / 2;
  limits.upload_bytes = limits.bytes / 4 * 3;
  // A quarter is kept for targets, the store and other instances.
  limits.callers = static_cast<std::size_t>(max_descriptors / 4 * 3);
  limits.descriptors =
      static_cast<std::size_t>(max_descriptors - kOwnDescriptors);
  return limits;
}

std::size_t MemoryBudget::Cost(const Entry& entry) {
  return kConnectionBytes + entry.bytes +
         (entry.paused || entry.write_blocked ? kKernelBytes : 0);
}

MemoryBudget::Entry* MemoryBudget::Find(Id id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

MemoryBudget::Id MemoryBudget::Open(Instant now) {
  Entry& entry = entries_[++last_id_];
  entry.since = now;
  entry.progress_at = now;
  bytes_ += Cost(entry);
  return last_id_;
}

void MemoryBudget::Close(Id id) {
  if (Entry* entry = Find(id)) {
    bytes_ -= Cost(*entry);
    paused_ -= entry->paused ? 1 : 0;
    entries_.erase(id);
  }
}

void MemoryBudget::SetBytes(Id id, std::size_t bytes) {
  if (Entry* entry = Find(id)) {
    bytes_ += bytes;
    bytes_ -= entry->bytes;
    entry->bytes = bytes;
  }
}

void MemoryBudget::SetStage(Id id, Stage stage, Instant now) {
  if (Entry* entry = Find(id)) {
    entry->stage = stage;
    entry->since = now;
    entry->progress_at = now;
    entry->progress_bytes = 0;
  }
}

void MemoryBudget::OnIdle(Id id, Instant now) {
  SetStage(id, Stage::kIdle, now);
}

void MemoryBudget::OnRequestBegun(Id id, Instant now) {
  SetStage(id, Stage::kReading, now);
}

void MemoryBudget::OnRequestComplete(Id id) {
  if (Entry* entry = Find(id)) {
    entry->stage = Stage::kRunning;
  }
}

void MemoryBudget::OnEnding(Id id) {
  if (Entry* entry = Find(id)) {
    entry->stage = Stage::kEnding;
    SetPaused(*entry, false, entry->progress_at);
  }
}

void MemoryBudget::OnProgress(Id id, std::size_t bytes, Instant now) {
  Entry* entry = Find(id);
  if (entry == nullptr) {
    return;
  }
  entry->progress_bytes += bytes;
  if (entry->progress_bytes >= kProgressBytes) {
    entry->progress_bytes = 0;
    entry->progress_at = now;
  }
}

void MemoryBudget::Refresh(Id id, Instant now) {
  if (Entry* entry = Find(id)) {
    entry->since = now;
  }
}

void MemoryBudget::SetWriteBlocked(Id id, bool blocked, Instant now) {
  Entry* entry = Find(id);
  if (entry == nullptr || entry->write_blocked == blocked) {
    return;
  }
  bytes_ -= Cost(*entry);
  entry->write_blocked = blocked;
  entry->progress_at = now;
  bytes_ += Cost(*entry);
}

void MemoryBudget::SetPaused(Entry& entry, bool paused, Instant now) {
  if (entry.paused == paused) {
    return;
  }
  bytes_ -= Cost(entry);
  entry.paused = paused;
  // The pause is not the caller's delay.
  entry.paused_at = now;
  entry.progress_at = now;
  bytes_ += Cost(entry);
  paused_ = paused ? paused_ + 1 : paused_ - 1;
}

// The oldest incomplete request may use the room up to the whole bound, so
// that of many bodies which do not fit together one after the other completes.
bool MemoryBudget::IsOldestReading(Id id) const {
  const auto& own = entries_.at(id);
  if (own.stage != Stage::kReading) {
    return false;
  }
  return std::ranges::none_of(entries_, [&](const auto& item) {
    const Entry& other = item.second;
    return other.stage == Stage::kReading && other.bytes > kSmallBytes &&
           std::tie(other.since, item.first) < std::tie(own.since, id);
  });
}

bool MemoryBudget::MayRead(Id id, Instant now) {
  Entry* entry = Find(id);
  if (entry == nullptr) {
    return true;
  }
  const bool small =
      entry->stage != Stage::kRunning && entry->bytes <= kSmallBytes;
  const std::size_t kernel = entry->paused ? kKernelBytes : 0;
  const std::size_t after = bytes_ - kernel + kReadBytes;
  const bool may = after <= (small ? limits_.bytes : limits_.upload_bytes) ||
                   (after <= limits_.bytes && IsOldestReading(id));
  SetPaused(*entry, !may, now);
  return may;
}

std::vector<MemoryBudget::Id> MemoryBudget::Paused() const {
  std::vector<std::pair<Instant, Id>> found;
  for (const auto& [id, entry] : entries_) {
    if (entry.paused) {
      found.emplace_back(entry.since, id);
    }
  }
  std::ranges::sort(found);
  std::vector<Id> ids;
  ids.reserve(found.size());
  for (const auto& [since, id] : found) {
    ids.push_back(id);
  }
  return ids;
}

bool MemoryBudget::short_of_memory() const {
  return paused_ > 0 || bytes_ > limits_.bytes;
}

// A running request is given up only if its caller does not read the response.
bool MemoryBudget::IsGivenUp(const Entry& entry, Instant now) const {
  if (entry.stage == Stage::kReading && entry.paused) {
    return now - entry.paused_at >= kMaxPause || bytes_ > limits_.bytes;
  }
  // Nothing is given up while an eighth of the bound of uploads is free.
  const bool tight = bytes_ > limits_.upload_bytes / 8 * 7;
  const bool stalled = tight && now - entry.progress_at >= kStallTime;
  if (entry.stage == Stage::kReading) {
    return stalled;
  }
  return entry.write_blocked && stalled && bytes_ > limits_.upload_bytes;
}

std::optional<MemoryBudget::Id> MemoryBudget::Victim(Instant now) const {
  if (!short_of_memory()) {
    return std::nullopt;
  }
  std::optional<Id> victim;
  std::size_t largest = 0;
  for (const auto& [id, entry] : entries_) {
    if (IsGivenUp(entry, now) && Cost(entry) > largest) {
      largest = Cost(entry);
      victim = id;
    }
  }
  return victim;
}

std::optional<MemoryBudget::Id> MemoryBudget::Oldest() const {
  std::optional<Id> oldest;
  std::tuple<Stage, Instant> least{Stage::kRunning, Instant{}};
  for (const auto& [id, entry] : entries_) {
    const std::tuple<Stage, Instant> rank{entry.stage, entry.since};
    if (entry.stage != Stage::kRunning && (!oldest || rank < least)) {
      oldest = id;
      least = rank;
    }
  }
  return oldest;
}

}  // namespace jackdaw::serving
