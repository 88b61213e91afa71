// SPDX-License-Identifier: Apache-2.0

/// \file
/// Scheduling decisions of a cell's leader: the order of steps, the choice of a
/// worker for a task, the limits on best-effort work beside serving tasks, and
/// the quarantine of failing workers. This code makes no calls and reads no
/// clock, so equal inputs in the same order always give equal decisions.

#ifndef DOORWOOD_CELL_POLICY_H_
#define DOORWOOD_CELL_POLICY_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/backup_runs.h"
#include "doorwood/crash_policy.h"
#include "doorwood/interference.h"
#include "doorwood/job_table.h"
#include "doorwood/long_running_admission.h"
#include "doorwood/queue_table.h"
#include "doorwood/run_times.h"
#include "doorwood/worker_reliability.h"

namespace doorwood {

struct PolicyOptions {
  /// Best-effort work may request up to this multiple of the processors that
  /// the other work of a worker is expected to leave unused. From simulated
  /// runs of standard workloads; see docs/POLICY.md.
  double best_effort_cpu_share = 1.2;
  /// A job that finishes later than this multiple of its objective has no
  /// value.
  double max_useful_time_factor = 3.0;
  /// A worker is quarantined once runs of this many distinct jobs failed there
  /// within `failure_window` without a success in between.
  int quarantine_failures = 3;
  Millis failure_window{6000};
  Millis quarantine_period{4000};
  /// After its quarantine a worker gets at most one start per interval, apart
  /// from starts of one gang. This limit ends when a run succeeds there. It
  /// also ends with a start that comes more than `failure_window` after the end
  /// of the last interval, or of the quarantine if there was no start since.
  Millis probe_interval{1000};
  /// Best-effort work is placed beside serving tasks, or sped up, only where
  /// their tail latency is then expected to be at most this share of its
  /// target.
  double wanted_tail_share = 0.85;
  /// While a serving task's tail latency is above this share of its target, the
  /// best-effort work beside the task is slowed down.
  double throttle_tail_share = 0.9;
  /// While a serving task's tail latency is above this multiple of its target,
  /// all best-effort work beside the task is stopped.
  double stop_tail_share = 2.0;
  /// A serving task counts as over its target while the moving average of its
  /// tail latency is at or above this share of the target. The share is below 1
  /// because reported latencies are noisy.
  double over_target_tail_share = 0.95;
  /// All best-effort work beside a serving task stops once the task has been
  /// over its target for this long. The platform allows a task to be over
  /// its target for at most 4 s. Latencies cover the last 0.5 s, and orders
  /// take effect after 0.1 s.
  Millis max_over_target_time{1600};
  /// Largest increase of a pace in one step, in percent of full speed.
  int max_pace_increase = 25;
  /// How many times as long the tasks of a step with `same_rack` are assumed to
  /// run once they are on more than one rack.
  double spread_run_time_factor = 1.5;
  /// A task that other racks have room for waits at most this long for room in
  /// the rack of its step. The platform counts a job as lost that runs nowhere
  /// for 3 s.
  Millis longest_rack_wait{2000};
  /// Share of the processors reserved by serving tasks that they are assumed to
  /// use. The mean over one simulated day was 0.48.
  double serving_cpu_use_ratio = 0.45;
  CrashOptions crashes;
  LongRunningAdmissionOptions long_running_admission;
  InterferenceOptions interference;
  RunTimeOptions run_times;
  WorkerReliabilityOptions reliability;
  BackupOptions backups;
};

/// Processors that the long-running steps of a plan reserve, in thousandths;
/// without best-effort steps.
int64_t LongRunningCpu(const JobPlan& plan);

/// Time from hand-in within which a job of the queue is to be done, by the
/// caller's estimates.
Millis ObjectiveOf(const JobPlan& plan, const Queue& queue);

/// Urgency of a step. Lower sorts first, member by member.
struct StepRank {
  /// 0: long-running; 1: on time; 2: late but still of value; 3: too late to be
  /// of value.
  int urgency_class = 0;
  int priority = 0;
  /// On time: the remaining work of the job's repetition, in thousandths of a
  /// processor times ms.
  /// When there is more work than capacity, putting the least remaining work
  /// first finishes some jobs in time instead of all of them late: the total
  /// value for callers rose by 8% on a heavily overloaded deployment and
  /// changed by -1% to +2% on four others.
  /// Late: the latest start that is still of value, in ms since 1970.
  /// Otherwise: when the repetition was due, in ms since 1970.
  int64_t order_in_class = 0;

  friend auto operator<=>(const StepRank&, const StepRank&) = default;
};

/// Work of all tasks of one repetition of the job that are not done, in
/// thousandths of a processor times milliseconds.
int64_t WorkLeft(const Job& job,
                 int repetition,
                 std::span<const Millis> run_times);

/// `run_times` holds the expected run time of one task of each step;
/// `work_left` is the result of WorkLeft. `due_at` and `now` are in
/// milliseconds since 1970.
StepRank RankStep(const JobPlan& plan,
                  const Queue& queue,
                  int step,
                  int64_t due_at,
                  std::span<const Millis> run_times,
                  int64_t work_left,
                  int64_t now,
                  const PolicyOptions& options);

/// Expected time from the start of `step` to the end of the job, along the
/// longest path of dependent steps.
Millis RemainingCriticalPathLength(const JobPlan& plan,
                                   int step,
                                   std::span<const Millis> run_times);

/// One serving task on a worker: its modelled utilization, and the highest
/// utilization allowed. `utilization` includes the effect of best-effort work
/// that the newest report does not cover; see `PendingCores`.
struct ServingUtilization {
  ImageId image = 0;
  double utilization = 0;
  double max_utilization = 1;
};

/// State of a worker that placement depends on.
struct CandidateWorker {
  std::string_view id;
  std::string_view service;
  std::string_view rack;
  std::span<const std::string> labels;
  Resources capacity;
  /// Reserved by all work, except for the processors of best-effort work.
  Resources reserved;
  /// Processors that the best-effort work there requests, in thousandths.
  int64_t best_effort_cpu = 0;
  int serving = 0;
  /// Processors that serving tasks reserve, in thousandths.
  int64_t serving_cpu = 0;
  std::vector<ServingUtilization> serving_utilizations;
  /// Whether the worker accepts new work.
  bool accepts_work = true;
  /// Whether there is a ticket for the step on the worker, or none is needed.
  bool has_ticket = true;
  /// The worker fails or slows its runs; see `WorkerReliability`.
  bool set_aside = false;
  /// The last scheduling pass that found the worker changed.
  uint64_t last_changed_pass = 0;
};

/// Properties of a task that placement depends on, besides its `StepPlan`.
struct TaskRequirements {
  std::string_view service;
  /// Image of the step.
  ImageId image = 0;
  /// Rack that the tasks of a step with `same_rack` are to share; empty: any.
  std::string_view rack;
  /// Workers in other racks are unsuitable, not only less suitable.
  bool rack_required = false;
};

/// Why a worker cannot take a task now.
enum class PlaceProblem {
  kNone,
  /// The worker accepts no new work, for example because it is leaving,
  /// unresponsive, quarantined, reserved for a trial or not recorded yet.
  kClosed,
  kOtherService,
  /// The worker already has `max_per_worker` tasks of the step.
  kStepBound,
  kNoLabel,
  kOtherRack,
  kNoMemory,
  kNoCpu,
  kNoAccelerators,
  /// With this best-effort task, a serving task there would exceed the
  /// utilization at `wanted_tail_share` of its latency target.
  kDisturbs,
  /// Not checked again: the worker could not take a task of the same kind that
  /// was no larger, and has not changed since.
  kUnchanged,
  /// The adviser has given no ticket for the worker, which is suitable
  /// otherwise.
  kNoTicket,
};

std::string_view ToString(PlaceProblem problem);

/// Returns the first problem found that keeps `worker` from taking the task, or
/// kNone. Checks state, service, tasks of the step, label, rack, free capacity,
/// the effect on serving tasks and, last, the ticket. `tasks_on_worker` is the
/// number of the step's tasks there, which the caller counts.
PlaceProblem FindPlaceProblem(const StepPlan& step,
                              const TaskRequirements& need,
                              const CandidateWorker& worker,
                              int tasks_on_worker,
                              const InterferenceModel& model,
                              const PolicyOptions& options);

/// Preference for a worker; higher is better. Meaningful only for workers that
/// may run the task.
double PlaceScore(const StepPlan& step,
                  const TaskRequirements& need,
                  const CandidateWorker& worker,
                  const InterferenceModel& model);

/// By how much the worst-off serving task of a worker would exceed its allowed
/// utilization if best-effort work of `image` using `cores` were added.
/// Negative values are headroom. The result is at least -1; it is -1 if there
/// are no serving tasks.
double ExcessUtilization(const CandidateWorker& worker,
                         ImageId image,
                         double cores,
                         const InterferenceModel& model);

/// Quarantines workers on which runs of several jobs fail. A single job that
/// fails on every worker does not cause a quarantine.
class WorkerQuarantine {
 public:
  explicit WorkerQuarantine(const PolicyOptions& options) : options_(options) {}

  void OnSuccess(const std::string& worker);
  void OnFailure(const std::string& worker, std::string_view job, Instant now);
  void OnStart(const std::string& worker, Instant now);
  /// False while the worker is quarantined, or waits for its next probe.
  bool AllowsStart(const std::string& worker, Instant now) const;
  void RemoveWorker(const std::string& worker);

 private:
  struct Record {
    /// Last failure of each job on the worker.
    std::map<std::string, Instant, std::less<>> failures;
    /// End of the quarantine or, if the worker got a start after the
    /// quarantine, of the probe interval after the last such start; zero: not
    /// quarantined since the last success.
    Instant quarantined_until{};
  };

  const PolicyOptions options_;
  std::map<std::string, Record> records_;
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_POLICY_H_
