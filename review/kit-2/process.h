#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace review {

/// A program that a case has started. It ends with the object, by its id.
class Process {
 public:
  /// Starts a program.
  /// @param output file that takes its standard output and error
  Process(const std::vector<std::string>& command, const std::string& output);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal, if the process still runs.
  void Signal(int number);
  /// Kills the process and waits for its end.
  void Kill();
  /// Whether the process runs. One that has ended is reaped.
  bool Lives();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

}  // namespace review
