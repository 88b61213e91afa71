// SPDX-License-Identifier: Apache-2.0

/// \file
/// One entry instance as a process that this one starts, signals and restarts.

#ifndef DOORWOOD_SOAK_CHILD_H_
#define DOORWOOD_SOAK_CHILD_H_

#include <sys/types.h>

#include <string>

namespace doorwood::soak {

class Child {
 public:
  /// `settings` and `log` are files; the log is appended to.
  Child(std::string program, std::string settings, std::string log);
  /// Kills it.
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// False if it can't be started.
  bool Start();
  /// Does nothing unless it runs.
  void Signal(int number) const;
  /// True once after it has ended; how is in `status`, as waitpid tells it.
  bool HasEnded(int* status);

  bool runs() const { return pid_ > 0; }

 private:
  const std::string program_;
  const std::string settings_;
  const std::string log_;
  pid_t pid_ = 0;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_CHILD_H_
