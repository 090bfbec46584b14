#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace review {

Process::Process(const std::vector<std::string>& command,
                 const std::string& output) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) {
    throw std::runtime_error("cannot start " + command.front());
  }
  if (pid_ == 0) {
    // The process must not outlive the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(126);
    }
    const int file =
        ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    // It must not keep the sockets of the case open.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
  }
}

Process::~Process() {
  Kill();
}

void Process::Signal(int number) const {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

void Process::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool Process::Runs() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

}  // namespace review
