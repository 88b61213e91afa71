// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a leader tells other instances about its cell and the cell's jobs.

#ifndef DOORWOOD_CELL_SUMMARY_H_
#define DOORWOOD_CELL_SUMMARY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace doorwood {

enum class JobPhase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

std::string_view ToString(JobPhase phase);

/// Summary of a cell that its leader reports to other instances.
struct CellSummary {
  std::string cell;
  int64_t epoch = 0;
  /// Number of open jobs of which no task is known to have begun (see
  /// Job::started), by queue.
  std::map<std::string, int> pending;
  /// Estimated work, in core-seconds, of the tasks of open jobs that are
  /// neither done nor long-running, in the repetitions that are held in memory.
  double waiting_work = 0;
  /// Processors of the listed workers.
  double cores = 0;
  /// Version of the queue table that the leader has in force; 0: none.
  int64_t config_version = 0;
  /// A store revision that the leader knows, as new as its newest batch.
  int64_t revision = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_SUMMARY_H_
