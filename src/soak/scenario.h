// SPDX-License-Identifier: Apache-2.0

/// \file
/// Fixed courses of faults.

#ifndef DOORWOOD_SOAK_SCENARIO_H_
#define DOORWOOD_SOAK_SCENARIO_H_

#include <functional>

#include "soak/callers.h"
#include "soak/world.h"

namespace doorwood::soak {

/// A data centre loses workers elsewhere, then everything, and regains the
/// store first.
struct RegainedStore {
  /// From the silence of the workers elsewhere to the cut of the border.
  Millis silent_before{2000};
  /// From there until the store is reached again.
  Millis cut{4000};
  /// From there until all is healed.
  Millis workers_later{2000};
  /// Connections that lived through the cut move again so much later.
  Millis old_after{0};
};

/// `done` is called once all is healed.
void CutInSteps(World& world,
                size_t centre,
                RegainedStore course,
                std::function<void()> done);

/// The same with the leader's data centre, from calm to a while afterwards;
/// tells how many rules were broken meanwhile.
void Play(World& world,
          const Callers& callers,
          RegainedStore course,
          std::function<void(size_t broken)> done);

/// Until somebody leads and every lasting task runs; if that takes too long, it
/// is told as broken.
void AwaitCalm(World& world,
               const Callers& callers,
               std::function<void()> done);

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_SCENARIO_H_
