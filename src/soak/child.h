// SPDX-License-Identifier: Apache-2.0

/// \file
/// An entry instance as a child process that can be started, signalled and
/// restarted.

#ifndef DOORWOOD_SOAK_CHILD_H_
#define DOORWOOD_SOAK_CHILD_H_

#include <sys/types.h>

#include <string>

namespace doorwood::soak {

class Child {
 public:
  /// `settings` and `log` are file paths; output is appended to the log.
  Child(std::string program, std::string settings, std::string log);
  /// Kills the process if it runs.
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// Returns false if the process cannot be started.
  bool Start();
  /// Does nothing if the process does not run.
  void Signal(int number) const;
  /// If the process has ended, reaps it and returns true; `status` is that of
  /// waitpid. Returns false while the process runs and after it was reaped.
  bool ReapIfEnded(int* status);

  bool IsRunning() const { return pid_ > 0; }

 private:
  const std::string program_;
  const std::string settings_;
  const std::string log_;
  pid_t pid_ = 0;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_CHILD_H_
