// SPDX-License-Identifier: Apache-2.0

#include "soak/child.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>
#include <vector>

namespace doorwood::soak {
namespace {

constexpr mode_t kLogMode = 0644;

}  // namespace

Child::Child(std::string program, std::string settings, std::string log)
    : program_(std::move(program)),
      settings_(std::move(settings)),
      log_(std::move(log)) {}

Child::~Child() {
  if (IsRunning()) {
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

bool Child::Start() {
  std::string variable = "DOORWOOD_SETTINGS=" + settings_;
  std::string program = program_;
  std::vector<char*> arguments = {program.data(), nullptr};
  std::vector<char*> environment = {variable.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int failed = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                 arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    pid_ = 0;
  }
  return failed == 0;
}

void Child::Signal(int number) const {
  if (IsRunning()) {
    kill(pid_, number);
  }
}

bool Child::ReapIfEnded(int* status) {
  if (!IsRunning() || waitpid(pid_, status, WNOHANG) != pid_) {
    return false;
  }
  pid_ = 0;
  return true;
}

}  // namespace doorwood::soak
