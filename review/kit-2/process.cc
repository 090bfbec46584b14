#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace review {

Process::Process(const std::vector<std::string>& command,
                 const std::string& output) {
  std::vector<char*> words;
  for (const std::string& word : command) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  const int file =
      ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file < 0) {
    throw std::runtime_error("cannot open " + output);
  }
  pid_ = ::fork();
  if (pid_ == 0) {
    // The program does not outlive the case.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    // Sockets of the stand-ins stay with them.
    ::closefrom(STDERR_FILENO + 1);
    ::execv(words[0], words.data());
    ::_exit(127);
  }
  ::close(file);
  if (pid_ < 0) {
    throw std::runtime_error("cannot start " + command.front());
  }
}

Process::~Process() {
  Kill();
}

void Process::Signal(int number) {
  if (Lives()) {
    ::kill(pid_, number);
  }
}

void Process::Kill() {
  if (Lives()) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool Process::Lives() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

}  // namespace review
