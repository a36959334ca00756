#include "platform_soak/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <stdexcept>

extern char** environ;

namespace bamboorack::soak {

Process::~Process() {
  if (this->pid == 0) return;
  this->Signal(SIGKILL);
  this->Wait();
}

void Process::Start(const std::vector<std::string>& arguments,
                    const std::string& output_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int error = ::posix_spawn(&this->pid, argv[0], &actions, nullptr,
                                  argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + arguments[0]);
}

void Process::Signal(int signal) const {
  if (this->pid != 0) ::kill(this->pid, signal);
}

int Process::Wait() {
  if (this->pid == 0) return -1;
  int status = 0;
  ::waitpid(this->pid, &status, 0);
  this->pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Process::IsRunning() {
  if (this->pid == 0) return false;
  int status = 0;
  if (::waitpid(this->pid, &status, WNOHANG) == 0) return true;
  this->pid = 0;
  return false;
}

}  // namespace bamboorack::soak
