// SPDX-License-Identifier: Apache-2.0

/// \file
/// Queries and actions on a CellWorld that several tests use.

#ifndef DOORWOOD_CELL_WORLD_UTIL_H_
#define DOORWOOD_CELL_WORLD_UTIL_H_

#include <string>

#include "fakes/cell_world.h"

namespace doorwood::fakes {

/// The id of the worker that runs the task; empty if there is none.
inline std::string WorkerRunning(CellWorld& world, const std::string& task) {
  for (const auto& [id, worker] : world.workers()) {
    if (worker->model.IsRunning(task)) {
      return id;
    }
  }
  return "";
}

/// Number of failures of the task that were not acknowledged before their
/// worker's lease expired. They do not count as attempts when they are
/// acknowledged later.
inline int CountFailuresAtLeaseExpiry(CellWorld& world,
                                      const std::string& task) {
  int failures = 0;
  for (const auto& [id, worker] : world.workers()) {
    failures += worker->model.failures_at_lease_expiry(task);
  }
  return failures;
}

/// Partitions all instances that exist now from the worker.
inline void PartitionAllFrom(CellWorld& world, const std::string& worker) {
  for (const auto& [name, instance] : world.instances()) {
    instance->unreachable_workers.insert(worker);
  }
}

}  // namespace doorwood::fakes

#endif  // DOORWOOD_CELL_WORLD_UTIL_H_
