// SPDX-License-Identifier: Apache-2.0

/// \file
/// Fixed sequences of faults.

#ifndef DOORWOOD_SOAK_SCENARIO_H_
#define DOORWOOD_SOAK_SCENARIO_H_

#include <functional>

#include "soak/callers.h"
#include "soak/world.h"

namespace doorwood::soak {

/// A data centre loses the workers in other data centres, then everything
/// outside, and reconnects to the store before the rest.
struct StepwiseRecovery {
  /// From the loss of the workers in other data centres to the full partition.
  Millis worker_partition_time{2000};
  /// From the full partition until the store is reachable again.
  Millis full_partition_time{4000};
  /// From then until everything else, workers and peers, is reachable again.
  Millis other_links_delay{2000};
  /// From the healing of each link until the connections that survived its cut
  /// transfer bytes again; see `Link::Heal`.
  Millis resume_delay{0};
};

/// Partitions a data centre in these steps; calls `done` once all links are
/// healed.
void PartitionInSteps(World& world,
                      size_t centre,
                      StepwiseRecovery recovery,
                      std::function<void()> done);

/// Waits for a steady state, then partitions the leader's data centre in these
/// steps. Calls `done` 3 s after all links are healed; `violations` counts
/// those since this function was called.
void PartitionLeaderDataCentre(World& world,
                               const Callers& callers,
                               StepwiseRecovery recovery,
                               std::function<void(size_t violations)> done);

/// Calls `done` once there is a leader and every long-running task runs. If
/// that is not so within 40 s, reports a violation and calls `done` anyway.
void AwaitSteadyState(World& world,
                      const Callers& callers,
                      std::function<void()> done);

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_SCENARIO_H_
