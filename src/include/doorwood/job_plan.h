// SPDX-License-Identifier: Apache-2.0

/// \file
/// The plan of a job as submitted by a caller: steps, each of equal tasks.

#ifndef DOORWOOD_JOB_PLAN_H_
#define DOORWOOD_JOB_PLAN_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/json_codec.h"
#include "doorwood/known_queues.h"
#include "doorwood/types.h"
#include "doorwood/worker_groups.h"

namespace doorwood {

/// Limits on a plan. `kMaxTasksPerJob` counts the tasks of one repetition. What
/// a leader holds of the repetitions is limited by `JobMemoryLimits`.
constexpr int kMaxTasksPerJob = 20'000;
constexpr int kMaxStepsPerJob = 200;
constexpr int kMaxRepetitionsPerJob = 10'000;
constexpr size_t kMaxPayloadBytes = 4'000;

/// Equal tasks that become ready together.
struct StepPlan {
  int count = 1;
  Resources size;
  /// The caller's rough estimate of the run time of one task.
  Millis estimate{0};
  /// Indices of earlier steps. All their tasks must be done first.
  std::vector<int> depends_on;
  /// Tasks save their progress and can continue on another worker.
  bool checkpoints = false;
  /// All tasks of the step must run at the same time.
  bool gang = false;
  /// The tasks of the step are slow unless all of them run in one rack.
  bool same_rack = false;
  /// Long-running: tasks run until the job is cancelled.
  bool long_running = false;
  /// Best-effort: the processors of these tasks are not reserved; the tasks use
  /// processors that the other work of a worker is expected to leave unused.
  bool best_effort = false;
  /// Two runs of a task may be active at the same time; see `AllowsCopies`.
  bool duplicates = false;
  /// Label that a worker must have; empty: any worker.
  std::string required_label;
  /// Rack that holds the tasks' data, and is preferred; empty: none.
  std::string data_rack;
  /// Most tasks of this step on one worker; 0: no limit.
  int max_per_worker = 0;
  /// Upkeep of a machine stops a long-running task only if fewer than this many
  /// other tasks of its step are down or not yet ready; unset: no limit.
  std::optional<int> max_unavailable;
  /// Image that the tasks run. Tasks of one image behave alike.
  std::string image;
  /// Serving task: one that answers requests. Upper bound on its tail latency;
  /// 0: the tasks are not serving tasks.
  Millis latency_target{0};
};

struct JobPlan {
  /// Chosen by the caller; unique.
  std::string id;
  std::string queue;
  /// Policy of the queue when the job was accepted, for leaders that never see
  /// a table with the queue. Empty in records of earlier versions.
  std::optional<QueuePolicy> policy;
  /// Opaque to the scheduler; passed to workers.
  std::string payload;
  std::vector<StepPlan> steps;
  /// If positive, the steps run this many times; repetition K is due at
  /// `first_due` + K * `interval`.
  int repeat_count = 0;
  /// Milliseconds since 1970.
  int64_t first_due = 0;
  Millis interval{0};
  /// When the job was accepted, in milliseconds since 1970.
  int64_t accepted_at = 0;
  /// Set by the leader that accepts the job: the only group of workers on which
  /// its tasks run, apart from long-running ones, until the job's record says
  /// that any worker may run them (`Job::spread`); 0: any worker.
  WorkerGroup worker_group = 0;

  /// A store revision that the instance which received the submission knew some
  /// time before, so that every change up to it preceded the submission; 0: not
  /// known. Not recorded.
  int64_t known_revision = 0;

  /// How many times the steps run in total.
  int repetitions() const { return repeat_count > 0 ? repeat_count : 1; }
};

/// Whether a slow run of a task of the step may get a backup copy. A gang works
/// only as a whole, a long-running task has no end that a copy could reach
/// first, and best-effort work is not waited for.
bool AllowsCopies(const StepPlan& step);

/// Returns a sentence that names the invalid field, or nothing if the plan is
/// valid.
std::optional<std::string> FindProblem(const JobPlan& plan);

/// Duration of the longest chain of dependent steps, where a task of step `i`
/// takes `run_times[i]`.
Millis CriticalPathLength(const JobPlan& plan,
                          std::span<const Millis> run_times);

/// Processor time of all tasks of one repetition by the caller's estimates, in
/// core-seconds.
double EstimatedWork(const JobPlan& plan);

/// Convert a plan to and from its form in the store and in calls between
/// instances.
void to_json(Json& json, const StepPlan& step);
void from_json(const Json& json, StepPlan& step);
void to_json(Json& json, const JobPlan& plan);
void from_json(const Json& json, JobPlan& plan);
/// Returns nothing if the text is malformed or the plan is invalid.
std::optional<JobPlan> ParsePlan(std::string_view text);

}  // namespace doorwood

#endif  // DOORWOOD_JOB_PLAN_H_
