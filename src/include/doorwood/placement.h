// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to the placement policy: which worker an attempt goes to, and what
/// must give way.

#ifndef DOORWOOD_PLACEMENT_H_
#define DOORWOOD_PLACEMENT_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "doorwood/ledger.h"
#include "doorwood/types.h"

namespace doorwood {

/// One attempt on a worker, as the policy sees it.
struct Resident {
  AttemptKey key;
  const TaskSpec* spec = nullptr;
  /// True once it has been told to stop.
  bool stopping = false;
};

/// One worker, as the policy sees it. Views stay valid during one call.
struct WorkerView {
  const InstanceInfo* info = nullptr;
  Resources capacity;
  Resources free;
  /// False: nothing new may go there (leaving, drained, lease not sure).
  bool open = true;
  std::span<const Resident> residents;
};

/// What a policy decided about one attempt.
struct Decision {
  /// Index of the worker to start on; -1: none has room now.
  int worker = -1;
  /// Attempts to evict so that there will be room on `make_room_on`.
  std::vector<AttemptKey> victims;
  int make_room_on = -1;
  /// True if no worker here could hold the task even when empty.
  bool never = false;
  /// For the decision record.
  std::string reason;
};

class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  virtual Decision Decide(const TaskSpec& spec,
                          std::span<const WorkerView> workers) = 0;
};

/// Services go to the worker with most room, batch work to the fullest worker
/// that still has room. A service that finds no room evicts batch work in
/// `yields` order, from the worker where that takes the fewest evictions.
std::unique_ptr<PlacementPolicy> MakeDefaultPolicy();

/// The plain baseline: the first worker with room; evicts nothing.
std::unique_ptr<PlacementPolicy> MakeFirstFitPolicy();

}  // namespace doorwood

#endif  // DOORWOOD_PLACEMENT_H_
