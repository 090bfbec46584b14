#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace review {

/// What clients and servers have seen, and the file record.txt with it. Times
/// are milliseconds since the start of the case.
class Record {
 public:
  /// One request of a client: one attempt with an id of its own.
  struct Attempt {
    std::string id;
    std::string tenant;
    std::string instance;
    std::int64_t units = 0;
    double sent_ms = 0;
    double answered_ms = -1;
    /// Status of the answer; 0 if the connection ended without one, -1 while
    /// there is none.
    int status = -1;
    /// Times at which an engine began to run it.
    std::vector<double> runs_ms;
  };

  explicit Record(const std::string& path);
  /// Writes the attempts, sorted by their sending time.
  ~Record();

  double NowMs() const;
  /// Writes a line with the time in front.
  void Note(const std::string& line);
  void OnSent(const Attempt& attempt);
  void OnAnswer(const std::string& id, int status);
  void OnRun(const std::string& id);
  bool HasRun(const std::string& id) const;

  std::vector<Attempt> attempts() const;

 private:
  Instant started_at_ = Clock::now();
  mutable std::mutex mutex_;
  std::ofstream out_;
  std::map<std::string, Attempt> attempts_;
};

/// The window with the most units that ran, of those sent and run within it.
struct FullestWindow {
  double from_ms = 0;
  std::int64_t units = 0;
};

FullestWindow FindFullestWindow(const std::vector<Record::Attempt>& attempts,
                                const std::string& tenant,
                                double window_ms);

}  // namespace review
