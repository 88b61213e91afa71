// SPDX-License-Identifier: Apache-2.0

/// \file
/// Fixed courses of faults.

#ifndef DOORWOOD_SOAK_SCENARIO_H_
#define DOORWOOD_SOAK_SCENARIO_H_

#include "soak/callers.h"
#include "soak/world.h"

namespace doorwood::soak {

void CutAll(const Links& links, Way way);
void HealAll(const Links& links, Way way, Millis old_after);

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

/// Until all is healed.
Task<> CutInSteps(World& world, size_t centre, RegainedStore course);

/// The same with the leader's data centre, from calm to a while afterwards;
/// tells how many rules were broken meanwhile.
Task<size_t> Play(World& world, Callers& callers, RegainedStore course);

/// Until somebody leads and every lasting task runs; false: not in time.
Task<bool> AwaitCalm(World& world, const Callers& callers);

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_SCENARIO_H_
