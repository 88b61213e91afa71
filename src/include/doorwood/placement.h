// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface to the placement policy, which selects the worker for an attempt
/// and the attempts to evict for it.

#ifndef DOORWOOD_PLACEMENT_H_
#define DOORWOOD_PLACEMENT_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "doorwood/ledger.h"
#include "doorwood/types.h"

namespace doorwood {

/// A running attempt on a worker, as the policy sees it.
struct ResidentAttempt {
  AttemptKey key;
  const TaskSpec* spec = nullptr;
  /// True if a stop has been ordered.
  bool stopping = false;
};

/// A worker, as the policy sees it. Valid only during one call.
struct WorkerView {
  const InstanceInfo* info = nullptr;
  Resources capacity;
  Resources free;
  /// False: the attempt may not start there, because the worker is not held
  /// (still being acquired, or being released), its lease may have expired, it
  /// is leaving or drained, or its free capacity is reserved for a service and
  /// the attempt is batch work.
  bool open = true;
  std::span<const ResidentAttempt> residents;
};

/// Decision of a policy about one attempt.
struct Decision {
  /// Index of the worker to start on; -1: the attempt cannot start now.
  int worker = -1;
  /// Attempts to evict in order to free capacity on `evict_on`.
  std::vector<AttemptKey> victims;
  /// Index of the worker to evict from; -1: nothing to evict.
  int evict_on = -1;
  /// True if none of the given workers' labels match the task's selector `on`,
  /// or if the task is larger than the total capacity of each given worker that
  /// they match.
  bool impossible = false;
  /// Explanation for the decision record.
  std::string reason;
};

/// Selects workers for attempts.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  virtual Decision Decide(const TaskSpec& spec,
                          std::span<const WorkerView> workers) = 0;
};

/// Places services on the worker with the most free capacity and batch work on
/// the fullest worker that it fits on. A service that fits nowhere evicts batch
/// work, highest `yields` first, from the worker that needs the fewest
/// evictions.
std::unique_ptr<PlacementPolicy> MakeDefaultPolicy();

/// Baseline for comparison: places on the first worker with enough free
/// capacity and evicts nothing.
std::unique_ptr<PlacementPolicy> MakeFirstFitPolicy();

}  // namespace doorwood

#endif  // DOORWOOD_PLACEMENT_H_
