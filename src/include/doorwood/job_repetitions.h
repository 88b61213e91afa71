// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which repetitions of a job a leader holds in memory. A repetition is held
/// from the time that it is due until it is done and no run of it is known to
/// be active. The others are a number or part of a range, so that the size of a
/// job does not grow with how often it repeats.

#ifndef DOORWOOD_JOB_REPETITIONS_H_
#define DOORWOOD_JOB_REPETITIONS_H_

#include <cstddef>
#include <cstdint>

#include "doorwood/job_table.h"

namespace doorwood {

/// Limits on what a leader holds of jobs in memory.
struct JobMemoryLimits {
  /// Further repetitions of a job are held only while its tasks in memory do
  /// not exceed this number; one repetition is held in any case.
  int tasks_per_job = kMaxTasksPerJob;
  /// Estimated memory of all jobs above which no further repetition is held.
  size_t bytes = size_t{96} << 20;
  /// Share of `bytes` above which no further job is accepted. The rest is for
  /// repetitions of accepted jobs.
  double accept_share = 0.75;
};

/// Number of tasks of one repetition.
int CountTasks(const JobPlan& plan);
/// Estimated memory, in bytes, of a plan and of the tasks of one repetition.
size_t EstimatePlanMemory(const JobPlan& plan);
size_t EstimateRepetitionMemory(const JobPlan& plan);
/// Estimated memory of a job, in bytes.
size_t EstimateMemory(const Job& job);

/// Returns the repetition; if it is not held in memory yet, holds it with all
/// its tasks idle. Null if there is no such repetition, or it was dropped.
RepetitionState* HoldRepetition(Job* job, int repetition);
/// Number of repetitions that are due at `now`, in milliseconds since 1970.
int CountDueRepetitions(const JobPlan& plan, int64_t now);
/// Holds the repetitions that are due, in order, as far as the limits allow.
/// `*used_bytes` is the estimated memory of all jobs, and is updated. Returns
/// false if a repetition is not held because `JobMemoryLimits::bytes` is used
/// up.
bool HoldDueRepetitions(Job* job,
                        int64_t now,
                        const JobMemoryLimits& limits,
                        size_t* used_bytes);
/// Drops the repetitions that are done and of which no run is known to be
/// active. Pointers to their tasks become invalid. Does nothing for a job
/// without repetitions.
void DropDoneRepetitions(Job* job);
/// Sets the numbers of tasks, steps and repetitions that are done or idle from
/// the states of the tasks, none of which is placed.
void RecountTasks(Job* job);

}  // namespace doorwood

#endif  // DOORWOOD_JOB_REPETITIONS_H_
