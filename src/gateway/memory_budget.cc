#include "gateway/memory_budget.h"

#include <algorithm>
#include <tuple>

namespace jackdaw::serving {
namespace {

constexpr std::size_t kMegabyte = 1024UL * 1024;
// Cost of an open connection: its object, the kernel's socket and file, what
// the kernel receives while it is not read, and the bytes that are always read.
constexpr std::size_t kConnectionBytes = 16UL * 1024;
// Bytes of a request that are read even if there is no room for more, so that
// it is answered.
constexpr std::size_t kFreeBytes = 4UL * 1024;
// What the kernel holds for a caller that does not read. The connection bounds
// it.
constexpr std::size_t kUnreadBytes = 16UL * 1024;
// What the kernel holds in large buffers of a connection, besides.
constexpr std::size_t kWideBytes = 192UL * 1024;
// What a running request takes in the kernel for the connection to its target.
constexpr std::size_t kTargetBytes = 16UL * 1024;
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
         (entry.write_blocked ? kUnreadBytes : 0) +
         (entry.wide ? kWideBytes : 0) +
         (entry.stage == Stage::kRunning ? kTargetBytes : 0);
}

void MemoryBudget::Add(std::size_t bytes) {
  bytes_ += bytes;
  most_bytes_ = std::max(most_bytes_, bytes_);
  run_refused_ = run_refused_ && bytes_ > limits_.upload_bytes;
}

MemoryBudget::Entry* MemoryBudget::Find(Id id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

MemoryBudget::Id MemoryBudget::Open(Instant now) {
  Entry& entry = entries_[++last_id_];
  entry.since = now;
  entry.progress_at = now;
  Add(Cost(entry));
  return last_id_;
}

void MemoryBudget::Close(Id id) {
  if (Entry* entry = Find(id)) {
    bytes_ -= Cost(*entry);
    paused_ -= entry->paused ? 1 : 0;
    receive_paused_ -= entry->receive_paused ? 1 : 0;
    entries_.erase(id);
    Add(0);
  }
}

void MemoryBudget::SetBytes(Id id, std::size_t bytes) {
  if (Entry* entry = Find(id)) {
    bytes_ -= entry->bytes;
    entry->bytes = bytes;
    Add(bytes);
  }
}

void MemoryBudget::SetStage(Id id, Stage stage, Instant now) {
  if (Entry* entry = Find(id)) {
    bytes_ -= Cost(*entry);
    entry->stage = stage;
    entry->since = now;
    entry->progress_at = now;
    entry->progress_bytes = 0;
    entry->paused_at = now;
    Add(Cost(*entry));
    SetReceivePaused(*entry, false);
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
    bytes_ -= Cost(*entry);
    entry->stage = Stage::kRunning;
    Add(Cost(*entry));
  }
}

bool MemoryBudget::MayRun() {
  if (bytes_ + kTargetBytes <= limits_.bytes) {
    return true;
  }
  run_refused_ = true;
  return false;
}

void MemoryBudget::OnEnding(Id id) {
  if (Entry* entry = Find(id)) {
    bytes_ -= Cost(*entry);
    entry->stage = Stage::kEnding;
    Add(Cost(*entry));
    SetPaused(*entry, false, entry->progress_at);
    SetReceivePaused(*entry, false);
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
  Add(Cost(*entry));
}

void MemoryBudget::SetPaused(Entry& entry, bool paused, Instant now) {
  if (entry.paused == paused) {
    return;
  }
  entry.paused = paused;
  // The pause is not the caller's delay.
  entry.paused_at = now;
  entry.progress_at = now;
  paused_ = paused ? paused_ + 1 : paused_ - 1;
}

void MemoryBudget::SetReceivePaused(Entry& entry, bool paused) {
  if (entry.receive_paused != paused) {
    entry.receive_paused = paused;
    receive_paused_ = paused ? receive_paused_ + 1 : receive_paused_ - 1;
  }
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

// The rest of the bound is for complete requests, which take some memory to
// run.
std::size_t MemoryBudget::GrowthBytes() const {
  return limits_.bytes - limits_.bytes / 16;
}

std::size_t MemoryBudget::MayRead(Id id, Instant now) {
  Entry* entry = Find(id);
  if (entry == nullptr) {
    return kReadBytes;
  }
  const bool running = entry->stage == Stage::kRunning;
  const std::size_t after = bytes_ + kReadBytes;
  // What follows a running request can wait.
  const std::size_t most = running ? limits_.upload_bytes / 2
                           : entry->bytes <= kSmallBytes ? GrowthBytes()
                                                         : limits_.upload_bytes;
  const bool may =
      after <= most || (after <= GrowthBytes() && IsOldestReading(id));
  const bool may_some = !running && entry->bytes < kFreeBytes;
  SetPaused(*entry, !may && !may_some, now);
  if (may) {
    return kReadBytes;
  }
  return may_some ? kFreeBytes : 0;
}

bool MemoryBudget::MayReceive(Id id) {
  Entry* entry = Find(id);
  if (entry == nullptr) {
    return true;
  }
  const bool may = bytes_ + kReadBytes <= GrowthBytes();
  SetReceivePaused(*entry, !may);
  return may;
}

bool MemoryBudget::MayWiden(Id id) {
  Entry* entry = Find(id);
  if (entry == nullptr || entry->wide ||
      bytes_ + kWideBytes > limits_.upload_bytes / 2) {
    return false;
  }
  entry->wide = true;
  Add(kWideBytes);
  return true;
}

std::vector<MemoryBudget::Id> MemoryBudget::Receiving() const {
  std::vector<Id> ids;
  for (const auto& [id, entry] : entries_) {
    if (entry.receive_paused) {
      ids.push_back(id);
    }
  }
  return ids;
}

bool MemoryBudget::TakeRelease() {
  if (!awaits_release() || bytes_ > most_bytes_ / 2) {
    return false;
  }
  most_bytes_ = bytes_;
  return true;
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
  return paused_ + receive_paused_ > 0 || run_refused_ ||
         bytes_ > limits_.bytes;
}

// A running request is given up only if its caller does not read the response.
bool MemoryBudget::IsGivenUp(const Entry& entry, Instant now) const {
  if (entry.stage != Stage::kRunning && entry.paused) {
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
