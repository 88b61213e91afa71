// SPDX-License-Identifier: Apache-2.0

/// \file
/// The tasks that a new leader holds back because a run that an earlier leader
/// ordered may be active: which worker each waits for, since when, how much
/// longer, and why.

#ifndef DOORWOOD_HELD_TASKS_H_
#define DOORWOOD_HELD_TASKS_H_

#include <cstddef>
#include <cstdint>

#include "doorwood/event_log.h"
#include "doorwood/job_table.h"
#include "doorwood/types.h"
#include "doorwood/unaccounted_workers.h"

namespace doorwood {

/// For the metrics page; all zero while no task is held back.
struct HeldTaskCounts {
  uint64_t recorded_placement = 0;
  uint64_t recorded_task = 0;
  uint64_t any_task = 0;
  /// Of these, the long-running ones.
  uint64_t long_running = 0;
  /// The longest of their remaining waits.
  Millis longest_left{0};

  uint64_t all() const { return recorded_placement + recorded_task + any_task; }
};

struct HeldTasks {
  HeldTaskCounts counts;
  /// A row for each held task: long-running ones first, `max_rows` at most.
  Json rows = Json::array();
};

/// `placements_valid`: the recorded placements of long-running tasks were valid
/// at the takeover, so that such a task waits only for its recorded worker.
HeldTasks CollectHeldTasks(JobTable& jobs,
                           const UnaccountedWorkers& unaccounted,
                           bool placements_valid,
                           size_t max_rows);

/// A row for each worker that is waited for: those that are waited for longest,
/// `max_rows` at most.
Json DescribeWorkerWaits(const UnaccountedWorkers& unaccounted,
                         size_t max_rows);

}  // namespace doorwood

#endif  // DOORWOOD_HELD_TASKS_H_
