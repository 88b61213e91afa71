// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface to the clock and the control thread.

#ifndef DOORWOOD_EXECUTOR_H_
#define DOORWOOD_EXECUTOR_H_

#include <cstdint>
#include <functional>

#include "doorwood/types.h"

namespace doorwood {

/// Runs functions on the control thread, immediately or after a delay. `Post`
/// may be called from any thread; all other functions only from the control
/// thread.
class Executor {
 public:
  using TimerId = uint64_t;

  virtual ~Executor() = default;

  virtual Instant Now() const = 0;
  virtual void Post(std::function<void()> function) = 0;
  /// Runs `function` after `delay`. The returned id can be passed to `Cancel`.
  virtual TimerId Schedule(Millis delay, std::function<void()> function) = 0;
  virtual void Cancel(TimerId timer) = 0;
  /// Returns a random number. Tests use a seeded generator.
  virtual uint64_t Random() = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_EXECUTOR_H_
