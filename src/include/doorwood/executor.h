// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to time and to the control thread.

#ifndef DOORWOOD_EXECUTOR_H_
#define DOORWOOD_EXECUTOR_H_

#include <cstdint>
#include <functional>

#include "doorwood/types.h"

namespace doorwood {

/// Runs functions on the control thread, now or later. `Post` may be called
/// from any thread; everything else belongs to the control thread.
class Executor {
 public:
  using TimerId = uint64_t;

  virtual ~Executor() = default;

  virtual Instant Now() const = 0;
  virtual void Post(std::function<void()> function) = 0;
  /// Runs `function` after `delay`. The id cancels it.
  virtual TimerId Schedule(Millis delay, std::function<void()> function) = 0;
  virtual void Cancel(TimerId timer) = 0;
  /// A random number, from a seed in tests.
  virtual uint64_t Random() = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_EXECUTOR_H_
