// SPDX-License-Identifier: Apache-2.0

/// \file
/// How long a step's tasks have waited for room in their rack.

#ifndef DOORWOOD_RACK_WAIT_H_
#define DOORWOOD_RACK_WAIT_H_

#include <chrono>

#include "doorwood/types.h"

namespace doorwood {

/// Counts only the time in which other racks have room: without the wait, the
/// tasks would run there.
class RackWait {
 public:
  /// To be called after each attempt to place the tasks. `waits`: some found no
  /// place, and other racks have room for them.
  void Update(bool waits, Instant now) {
    if (!waits) {
      since_ = Instant{};
    } else if (since_ == Instant{}) {
      since_ = now;
    }
  }
  Millis Waited(Instant now) const {
    return since_ == Instant{}
               ? Millis(0)
               : std::chrono::duration_cast<Millis>(now - since_);
  }

 private:
  /// Zero: they do not wait.
  Instant since_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_RACK_WAIT_H_
