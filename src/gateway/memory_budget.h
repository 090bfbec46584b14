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
  /// Records that a request is complete and runs.
  void OnRequestComplete(Id id);
  /// Records that the connection only carries the rest of a response.
  void OnEnding(Id id);
  /// Records bytes that were read or written.
  void OnProgress(Id id, std::size_t bytes, Instant now);
  /// Records whether bytes wait to be written to a caller that does not read.
  /// Ranks a connection behind those that have waited longer.
  void Refresh(Id id, Instant now);
  void SetWriteBlocked(Id id, bool blocked, Instant now);

  /// Returns whether bytes of the connection may be read. If not, it is paused
  /// until a later call permits it.
  bool MayRead(Id id, Instant now);
  /// Returns the paused connections, those with the oldest requests first.
  std::vector<Id> Paused() const;
  /// Returns a connection whose incomplete request, or unread response, is to
  /// be given up now: the largest of those that have stalled, or one that was
  /// paused for too long.
  std::optional<Id> Victim(Instant now) const;
  /// Returns the connection to be closed in favor of a new one: the one that
  /// was idle for the longest time, else the oldest without a running request.
  std::optional<Id> Oldest() const;

  /// Whether connections are paused or more is held than the bound.
  bool short_of_memory() const;
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
  bool IsOldestReading(Id id) const;
  static std::size_t Cost(const Entry& entry);
  bool IsGivenUp(const Entry& entry, Instant now) const;

  MemoryLimits limits_;
  std::map<Id, Entry> entries_;
  Id last_id_ = 0;
  std::size_t bytes_ = 0;
  std::size_t paused_ = 0;
};

}  // namespace jackdaw::serving
