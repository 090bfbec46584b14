#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace review {

/// A process that the case has started. It ends with this object.
class Process {
 public:
  /// @param output file that takes standard output and standard error
  Process(const std::vector<std::string>& command, const std::string& output);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const;
  /// Kills the process and waits for its end.
  void Kill();
  /// Whether the process has not ended by itself.
  bool Runs();

 private:
  pid_t pid_ = -1;
};

}  // namespace review
