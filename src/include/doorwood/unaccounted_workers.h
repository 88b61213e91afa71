// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a new leader knows of the runs that earlier leaders may have left on
/// workers it has not heard yet, and which tasks it therefore holds back.

#ifndef DOORWOOD_UNACCOUNTED_WORKERS_H_
#define DOORWOOD_UNACCOUNTED_WORKERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "doorwood/job_table.h"
#include "doorwood/types.h"

namespace doorwood {

/// Why the takeover waits for a worker.
enum class WorkerWaitReason : uint8_t {
  /// The worker has not answered this leader, and leases there may last.
  kNotContacted,
  /// The worker has answered, but has not listed all its ended runs yet.
  kEndsNotListed,
};

/// What the takeover knows of one worker that it still waits for.
struct WorkerWait {
  WorkerWaitReason reason = WorkerWaitReason::kNotContacted;
  /// Time for which no leader has extended a lease there, as far as this leader
  /// knows; for `kEndsNotListed`, time since the worker last responded.
  Millis waited{0};
  /// How much longer the takeover waits if the worker does not respond.
  Millis left{0};
};

/// Why a task may have a run on a worker that the takeover still waits for.
enum class TaskWaitReason : uint8_t {
  /// The records have the worker as the long-running task's placement.
  kRecordedPlacement,
  /// The worker's record lists the task.
  kRecordedTask,
  /// The worker's record has no list of tasks: any task may run there.
  kAnyTask,
};

std::string_view ToString(WorkerWaitReason reason);
std::string_view ToString(TaskWaitReason reason);

/// The wait of one task. If several workers may have a run of it, `worker` is
/// the one that is waited for longest.
struct TaskWait {
  std::string worker;
  WorkerWait wait;
  TaskWaitReason reason = TaskWaitReason::kAnyTask;
};

/// Workers for which a takeover still waits, and the tasks that may run, or may
/// have ended unreported, on them. Contacted workers that have not listed all
/// their ends are included. Uncontacted workers are not included if they can
/// run nothing: their record has an empty task list, or all leases there have
/// expired.
class UnaccountedWorkers {
 public:
  /// Adds a worker whose record lists the tasks that may run there.
  void Add(std::string_view worker,
           const WorkerWait& wait,
           std::span<const std::string> tasks);
  /// Adds a worker on which any task may run, except those of jobs that are
  /// confined to another group.
  void Add(std::string_view worker, const WorkerWait& wait, WorkerGroup group);

  /// Whether the task may be active, or may have ended unreported, on one of
  /// the workers, apart from what is known of its recorded placement.
  bool MayHave(const Task& task) const;
  /// The wait of a task that is held back; empty if none of the workers may
  /// have a run of it. `has_recorded_placement`: only the worker that the
  /// records have as its placement may.
  std::optional<TaskWait> FindWait(const Task& task,
                                   bool has_recorded_placement) const;
  /// The worker is one of them.
  bool Contains(std::string_view worker) const {
    return workers_.contains(worker);
  }
  bool empty() const { return workers_.empty(); }
  const std::map<std::string, WorkerWait, std::less<>>& workers() const {
    return workers_;
  }
  /// Any task of some job may run on one of the workers.
  bool has_open_group() const { return !groups_.empty(); }

 private:
  /// Of two workers, returns the one that is waited for longer.
  const std::string& LongerWait(const std::string& a,
                                const std::string& b) const;

  std::map<std::string, WorkerWait, std::less<>> workers_;
  /// For each listed task, the worker with the longest wait whose record lists
  /// it; for each group of the workers without a list of tasks, the one with
  /// the longest wait in it.
  std::map<std::string, std::string, std::less<>> tasks_;
  std::map<WorkerGroup, std::string> groups_;
};

}  // namespace doorwood

#endif  // DOORWOOD_UNACCOUNTED_WORKERS_H_
