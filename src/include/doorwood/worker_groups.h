// SPDX-License-Identifier: Apache-2.0

/// \file
/// Groups of a large cell's workers. A job is confined to one group, which is
/// recorded with its plan, so that a successor need only account for the
/// workers of that group before it starts the job's tasks, however many workers
/// the cell has. All workers of a group are in one data centre, so that a data
/// centre that is cut off holds up only the jobs of its own groups. Reads no
/// clock and makes no calls.

#ifndef DOORWOOD_WORKER_GROUPS_H_
#define DOORWOOD_WORKER_GROUPS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace doorwood {

/// Number of a group, from 1; 0: no group.
using WorkerGroup = int;

struct WorkerGroupOptions {
  /// A smaller cell has no groups.
  size_t min_workers = 1000;
  size_t group_size = 256;
  /// Jobs are given to as few groups as keep their mean load at or below this
  /// share of their processors. A leader then needs fewer connections, and its
  /// successor contacts fewer workers for the open jobs.
  double wanted_load = 0.25;
  /// But to at least this many groups, or all if there are fewer.
  size_t min_groups_in_use = 8;
};

class WorkerGroups {
 public:
  struct Load {
    /// Processors of the workers that accept new work, and what is in use of
    /// them, in thousandths.
    int64_t capacity = 0;
    int64_t used = 0;
  };

  explicit WorkerGroups(const WorkerGroupOptions& options)
      : options_(options) {}

  void Clear() { groups_.clear(); }
  /// Counts a worker whose group is known from a record.
  void Restore(WorkerGroup group);
  /// Sets the service and the data centre of a group's workers, as one of them
  /// states them.
  void SetKind(WorkerGroup group,
               const std::string& service,
               const std::string& data_centre);
  /// Returns the group of a worker that is new to the cell; 0 if the cell has
  /// too few workers for groups. A worker keeps its group until it is removed.
  WorkerGroup Assign(const std::string& service,
                     const std::string& data_centre,
                     size_t workers_of_cell);
  void Remove(WorkerGroup group);
  void SetLoads(const std::map<WorkerGroup, Load>& loads);
  /// Returns the group for a job of the service that asks for `cpu` thousandths
  /// of a processor at once; 0 if any worker may run its tasks, because no
  /// group has room for it. Counts `cpu` as used until the next `SetLoads`.
  WorkerGroup Choose(const std::string& service, int64_t cpu);
  size_t size() const { return groups_.size(); }

 private:
  /// Service and data centre.
  using Kind = std::pair<std::string, std::string>;
  struct Group {
    Kind kind;
    size_t workers = 0;
    Load load;
  };

  const WorkerGroupOptions options_;
  std::map<WorkerGroup, Group> groups_;
};

}  // namespace doorwood

#endif  // DOORWOOD_WORKER_GROUPS_H_
