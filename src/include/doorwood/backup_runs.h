// SPDX-License-Identifier: Apache-2.0

/// \file
/// Speculative execution: whether a backup copy of a slow run is worth its
/// room. Pure decisions: no calls, no clock.

#ifndef DOORWOOD_BACKUP_RUNS_H_
#define DOORWOOD_BACKUP_RUNS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "doorwood/types.h"

namespace doorwood {

struct BackupOptions {
  /// Share of a service's free processors that copies may use; 0: no copies.
  double free_share = 0;
  /// This many copies may run in a service with at least half of its processors
  /// free, even if `free_share` is less: in a small service a share of the free
  /// room may be less than one task.
  int min_copies = 2;
  /// Time from the decision until a copy is at work.
  Millis start_delay{100};
  /// A report of a run's progress that is older than this is asked for again.
  Millis max_report_age{300};
  /// A worker that does not answer for this long after its run's progress was
  /// asked for counts as silent.
  Millis silent_after{700};
  /// A copy must save its job at least this share of the job's objective; less
  /// makes no difference to a caller.
  double min_gain_share = 0.1;
  /// A job that is expected to end within this share of its objective needs no
  /// copy. The rest is for delays that expected run times leave out, such as
  /// waiting times and slow runs of later steps.
  double safe_objective_share = 0.75;
};

/// How long a task of a step is expected to run on a sound worker.
struct RunTimeEstimate {
  Millis expected{0};
  /// Standard deviation of the logarithm of the run time.
  double log_spread = 0;
};

/// Estimate for a task from the run times of the other tasks of its step, ended
/// or projected. These behave alike, so they show whether the task itself is
/// long. Holds even if up to half of them are slow runs. With fewer than two of
/// them, returns `model`.
RunTimeEstimate EstimateFromStep(std::span<const Millis> others,
                                 const RunTimeEstimate& model);

/// Progress of a run as its worker reported it.
struct ProgressReport {
  int percent = 0;
  /// Time from the start order to the report.
  Millis at{0};
};

/// Total run time if the run goes on as it did until the report. Empty: the
/// run is too new to tell, or the report has it at its end.
std::optional<Millis> ProjectRunTime(const ProgressReport& report);

/// What a job still has before it.
struct JobOutlook {
  Millis since_due{0};
  /// Time from due to the end of a job that is on time.
  Millis objective{0};
  /// Time from due after which the end of the job is of no value.
  Millis useful{0};
  /// Expected time from the end of the run's step to the end of the job.
  Millis after_step{0};
  /// Expected time until all steps have ended that do not need the run's step.
  Millis other_steps{0};
};

/// A run whose step allows copies and that has none.
struct BackupCandidate {
  /// Since the start was ordered.
  Millis elapsed{0};
  std::optional<ProgressReport> report;
  /// How long the worker has left a question for the run's progress unanswered;
  /// zero: none is open.
  Millis unanswered{0};
  RunTimeEstimate estimate;
  JobOutlook job;
  int failed_runs = 0;
  int max_attempts = 1;
};

enum class BackupVerdict {
  kStart,
  /// The run takes no longer than nine of ten runs.
  kNotSlow,
  /// Whether it will end soon is not known: ask its worker.
  kAskProgress,
  /// A copy would not end clearly before the run.
  kNoGain,
  /// The job is expected on time without a copy.
  kOnTime,
  /// The job is of no value any more, even with a copy.
  kBeyondUse,
  /// The task would use up its attempts if the run and a copy both failed.
  kNoAttempt,
};

std::string_view ToString(BackupVerdict verdict);

struct BackupDecision {
  BackupVerdict verdict = BackupVerdict::kNotSlow;
  /// Expected time until the run ends, and until a copy would.
  Millis remaining{0};
  Millis copy_time{0};
  /// How much earlier the job would end with a copy.
  Millis gain{0};
};

BackupDecision DecideBackup(const BackupCandidate& candidate,
                            const BackupOptions& options);

/// Processors of a service, in thousandths, of the workers that take work.
struct BackupRoom {
  int64_t capacity = 0;
  int64_t free = 0;
  /// Copies at work, and what they use.
  int copies = 0;
  int64_t copies_cpu = 0;
  /// A step waits for room there.
  bool steps_wait = false;
};

/// Whether one more copy of `cpu` is within the service's budget for copies.
bool IsWithinBudget(const BackupRoom& room,
                    int64_t cpu,
                    const BackupOptions& options);

}  // namespace doorwood

#endif  // DOORWOOD_BACKUP_RUNS_H_
