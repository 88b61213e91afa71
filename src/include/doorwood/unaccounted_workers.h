// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a new leader knows of the runs that earlier leaders may have left on
/// workers it has not heard yet, and which tasks it therefore holds back.

#ifndef DOORWOOD_UNACCOUNTED_WORKERS_H_
#define DOORWOOD_UNACCOUNTED_WORKERS_H_

#include <set>
#include <span>
#include <string>
#include <string_view>

#include "doorwood/job_table.h"

namespace doorwood {

/// Workers for which a takeover still waits, and the tasks that may run, or may
/// have ended unreported, on them. Contacted workers that have not listed all
/// their ends are included. Uncontacted workers are not included if they can
/// run nothing: their record has an empty task list, or all leases there have
/// expired.
class UnaccountedWorkers {
 public:
  /// Adds a worker whose record lists the tasks that may run there.
  void Add(std::string_view worker, std::span<const std::string> tasks);
  /// Adds a worker on which any task may run, except those of jobs that are
  /// confined to another group.
  void Add(std::string_view worker, WorkerGroup group);

  /// Whether the task may be active, or may have ended unreported, on one of
  /// the workers, apart from what is known of its recorded placement.
  bool MayHave(const Task& task) const;
  /// The worker is one of them.
  bool Contains(std::string_view worker) const {
    return workers_.contains(worker);
  }
  bool empty() const { return workers_.empty(); }
  /// Any task of some job may run on one of the workers.
  bool has_open_group() const { return !groups_.empty(); }

 private:
  std::set<std::string, std::less<>> workers_;
  std::set<std::string, std::less<>> tasks_;
  /// Groups of the workers without a list of tasks.
  std::set<WorkerGroup> groups_;
};

}  // namespace doorwood

#endif  // DOORWOOD_UNACCOUNTED_WORKERS_H_
