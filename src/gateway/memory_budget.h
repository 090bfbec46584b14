#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/time.h"

namespace jackdaw::serving {

/// Bounds of what an instance holds for callers and targets.
struct MemoryLimits {
  /// Bytes held for all connections together.
  std::size_t bytes = 128UL * 1024 * 1024;
  /// Bytes held above which only the oldest incomplete body grows.
  std::size_t upload_bytes = 96UL * 1024 * 1024;
  /// Open descriptors above which no connection of a caller is accepted.
  std::size_t callers = 3072;
  /// Open descriptors above which no request is started.
  std::size_t descriptors = 4032;
};

/// Derives the bounds from the machine that the settings describe.
MemoryLimits LimitsOf(std::int64_t memory_mb, std::int64_t max_descriptors);

/// One account of the bytes that an instance holds for its callers and their
/// targets. It decides who may read on, and whose connection is given up, when
/// many callers send large bodies that they do not complete. The caller of this
/// class closes the connections.
class MemoryBudget {
 public:
  using Id = std::uint64_t;

  explicit MemoryBudget(const MemoryLimits& limits) : limits_(limits) {}

  /// Adds a connection without a request.
  Id Open(Instant now);
  void Close(Id id);
  /// Sets the bytes that are held for a connection, besides its fixed cost.
  void SetBytes(Id id, std::size_t bytes);
  /// Records that the connection waits for a request.
  void OnIdle(Id id, Instant now);
  /// Records the first byte of a request.
  void OnRequestBegun(Id id, Instant now);
  /// Records that a request is complete and runs. Its connection to a target is
  /// counted from now on.
  void OnRequestComplete(Id id);
  /// Returns whether there is room for a complete request to run.
  bool MayRun();
  /// Records that the connection only carries the rest of a response.
  void OnEnding(Id id);
  /// Records bytes that were read or written.
  void OnProgress(Id id, std::size_t bytes, Instant now);
  /// Ranks a connection behind those that have waited longer.
  void Refresh(Id id, Instant now);
  /// Records whether bytes wait to be written to a caller that does not read.
  void SetWriteBlocked(Id id, bool blocked, Instant now);

  /// Returns the bytes of the connection that may be read now. If there are
  /// none, it is paused until a later call permits some.
  std::size_t MayRead(Id id, Instant now);
  /// Returns the paused connections, those with the oldest requests first.
  std::vector<Id> Paused() const;
  /// Returns whether bytes of a target's response may be read. If not, the
  /// response waits until a later call permits it.
  bool MayReceive(Id id);
  /// Returns the connections whose responses wait, the oldest first.
  std::vector<Id> Receiving() const;
  /// Whether a response may be held back until it is complete.
  bool MayHoldBack() const { return bytes_ <= limits_.upload_bytes; }
  /// Permits large buffers of the kernel for a connection, if most of the
  /// memory is free. They are counted until it closes.
  bool MayWiden(Id id);
  /// Returns a connection whose incomplete request, or unread response, is to
  /// be given up now: the largest of those that have stalled, or one that was
  /// paused for too long.
  std::optional<Id> Victim(Instant now) const;
  /// Returns the connection to be closed in favor of a new one: the one that
  /// was idle for the longest time, else the oldest without a running request.
  std::optional<Id> Oldest() const;

  /// Whether something waits for room or more is held than the bound.
  bool short_of_memory() const;
  /// Returns whether so much was released since the most was held that the
  /// allocator should return its free memory, and begins to count anew.
  bool TakeRelease();
  /// Whether TakeRelease may become true.
  bool awaits_release() const { return most_bytes_ > limits_.bytes / 4; }
  std::size_t connections() const { return entries_.size(); }
  std::size_t paused() const { return paused_; }
  std::size_t bytes() const { return bytes_; }
  const MemoryLimits& limits() const { return limits_; }

 private:
  enum class Stage : std::uint8_t { kIdle, kEnding, kReading, kRunning };

  struct Entry {
    Stage stage = Stage::kIdle;
    bool paused = false;
    bool write_blocked = false;
    /// The response waits for room.
    bool receive_paused = false;
    /// The kernel's buffers are large.
    bool wide = false;
    std::size_t bytes = 0;
    /// Start of the stage.
    Instant since{};
    /// Time of the last progress of at least kProgressBytes.
    Instant progress_at{};
    std::size_t progress_bytes = 0;
    Instant paused_at{};
  };

  Entry* Find(Id id);
  void SetStage(Id id, Stage stage, Instant now);
  void SetPaused(Entry& entry, bool paused, Instant now);
  void SetReceivePaused(Entry& entry, bool paused);
  void Add(std::size_t bytes);
  std::size_t GrowthBytes() const;
  bool IsOldestReading(Id id) const;
  static std::size_t Cost(const Entry& entry);
  bool IsGivenUp(const Entry& entry, Instant now) const;

  MemoryLimits limits_;
  std::map<Id, Entry> entries_;
  Id last_id_ = 0;
  std::size_t bytes_ = 0;
  /// Most bytes since the last release.
  std::size_t most_bytes_ = 0;
  std::size_t paused_ = 0;
  std::size_t receive_paused_ = 0;
  /// A complete request was refused, and there is no room yet.
  bool run_refused_ = false;
};

}  // namespace jackdaw::serving
