// SPDX-License-Identifier: Apache-2.0

/// \file
/// State of each job and task of a cell. A pure data structure: events change
/// its state; it reads no clock and makes no calls.

#ifndef DOORWOOD_JOB_TABLE_H_
#define DOORWOOD_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "doorwood/index_set.h"
#include "doorwood/job_plan.h"
#include "doorwood/rack_wait.h"
#include "doorwood/run_worker.h"

namespace doorwood {

struct Job;

/// Evidence for a crash of a worker while a run of a task was there.
enum class CrashEvidence {
  /// Another incarnation of the worker answered in its place.
  kRestarted,
  /// The worker became unresponsive and its entry disappeared without a planned
  /// shutdown, or another incarnation answered after a shutdown had been
  /// announced.
  kVanished,
  /// Whether the worker crashed is not known yet. Either the worker became
  /// unresponsive when the run was new, or an earlier leader may have started
  /// the task after that leader recorded the last crash.
  kUnconfirmed,
  /// A trial of the run is in progress or about to start; this leader knows of
  /// no crash. A successor reads this value as kUnconfirmed.
  kTrial,
};

/// A worker's crash or possible crash while a suspect or bystander run (see
/// CrashRole) was there or may have been there; or a trial.
struct CrashNote {
  /// `Task::last_run` if it is not known which run was there.
  uint32_t run = 0;
  /// The worker's machine, or the worker's id if the machine is unknown. Empty,
  /// like `worker`, if the worker is unknown.
  std::string machine;
  std::string worker;
  CrashEvidence evidence = CrashEvidence::kRestarted;
  /// The run was a suspect, not a bystander; see CrashRole.
  bool suspect = false;
  /// The run was in a trial on the worker (see `CrashTrials`). For a kTrial
  /// note: the run is in a trial or is about to be.
  bool in_trial = false;
  /// Many workers crashed at about the same time.
  bool mass_crash = false;
  /// How long the run had been observed running.
  Millis observed_running{0};

  friend bool operator==(const CrashNote&, const CrashNote&) = default;
};

/// To what extent `Task::assigned_worker` is recorded in the store.
enum class AssignmentRecord {
  /// The newest record of the job contains the task's assigned worker.
  kRecorded,
  /// A batch of records whose outcome is not known yet contains the task's
  /// assigned worker.
  kInFlight,
  /// The store does not have the assigned worker, and no batch contains it.
  kChanged,
};

/// Whether a job that was confined to one group of workers has been opened to
/// all, and to what extent the store has that.
enum class SpreadRecord {
  kConfined,
  /// The job is to be opened; the store does not have that.
  kRequested,
  /// A batch of records whose outcome is not known yet opens the job.
  kInFlight,
  kRecorded,
};

/// One task. The fields from `done` to `assigned_worker` are kept in the store;
/// those after them are not.
struct Task {
  Job* job = nullptr;
  int repetition = 0;
  int step = 0;
  int index = 0;

  bool done = false;
  /// New runs get numbers above this one. Raised to each number that is
  /// assigned, adopted, or passed to JobTable::ApplyRunEnd; raised further at a
  /// takeover, and after a worker rejected a number as too old.
  uint32_t last_run = 0;
  /// Highest run whose end was applied, even if the run was given up without a
  /// report. Adopting a run lowers this number below that run. While another
  /// run of the task is active, the number stays below that run. A later report
  /// of the end of this run or a lower one counts only if that run completed
  /// the task, or failed and is not in `failed_runs` yet. The checkpoint in
  /// such a report is kept only if the report is of this run and the task is
  /// not placed.
  uint32_t counted_run = 0;
  /// Runs that failed, each once, in the order of their reports: after a
  /// takeover the end of an earlier run may be reported later. For a gang, the
  /// first task records the failures of all. Empty for a long-running task.
  std::vector<uint32_t> failed_runs;
  std::string checkpoint;
  /// One note per run. All are removed once a run in a trial was observed
  /// running for `CrashOptions::unrelated_after`.
  std::vector<CrashNote> crashes;

  /// For a long-running task: the only worker on which a run of it may be
  /// active; empty: none. Unless all other instances agree to unrecorded
  /// starts, the assigned worker is recorded before the task is ordered there.
  /// A successor then need not consider other workers.
  std::string assigned_worker;
  AssignmentRecord assignment_record = AssignmentRecord::kRecorded;

  /// The task is not started until its newest crash or trial note is recorded
  /// in the store.
  bool crash_unrecorded = false;
  /// A crash of kind CrashEvidence::kUnconfirmed is possible but not noted yet.
  bool may_have_unconfirmed_crash = false;
  /// The task is not started before this time after a crash.
  Instant no_start_before{};
  /// This leader deferred or ordered a start of the task that was not refused,
  /// or adopted a run of it, and the run is not known to have ended. Not set
  /// for a run of an earlier leader that is not adopted; see `may_still_run`.
  /// With two runs, true until both have ended. Changed by JobTable::SetPlaced.
  bool placed = false;
  /// While two runs of the task are placed: the lower and the higher of their
  /// numbers. The higher one is the backup copy. 0: at most one is placed.
  uint32_t backed_up_run = 0;
  uint32_t copy_run = 0;
  /// No copy is started before this time, because the last one ended in vain.
  Instant no_copy_before{};
  /// After the first of two runs has ended: progress, in percent, at which that
  /// run left `checkpoint`. The other run's checkpoint replaces it only at the
  /// same progress or a higher one. 0: not known.
  int checkpoint_progress = 0;
  /// Set at takeover for each task that is not done. Cleared once the task is
  /// adopted, unless its step may have two runs, or once no worker that is
  /// still waited for may run the task or may have an unlisted end of it (see
  /// CellLeader::ReleaseTasks).
  bool may_still_run = false;
  /// The run that was adopted last, if some runs of earlier leaders were still
  /// unaccounted for at that time; 0: none.
  uint32_t adopted_run = 0;
  /// `counted_run` as read from the store at takeover. The ends of runs up
  /// to this one are taken to be recorded.
  uint32_t recorded_run = 0;
  /// Runs whose ends a worker listed although this leader's session with that
  /// worker did not know the run. Added only until all runs of earlier leaders
  /// are accounted for. Every other run between `recorded_run` and
  /// `adopted_run` may have failed on a worker that was not contacted yet.
  std::vector<uint32_t> reported_runs;
  /// Worker where the task last failed, was refused, or was stopped because its
  /// pace was too low; others are preferred.
  std::string avoided_worker;
  /// Start of the waiting time that is logged. At first, when this leader took
  /// over. For a job accepted since then, when a scheduling pass first found
  /// the step ready. Later, when an end of a run was last applied. A refused
  /// start does not change this field.
  Instant ready_since{};

  /// Number of runs before the adopted one that may have failed without a
  /// report.
  uint32_t CountRunsWithoutReportedEnd() const;

  /// Returns the kTrial note with that run number, or null.
  const CrashNote* FindTrialNote(uint32_t run) const;

  const StepPlan& plan() const;
  /// "JOB.REPETITION.STEP.INDEX"
  std::string name() const;
};

struct StepState {
  int done = 0;
  /// Tasks that are neither done nor placed.
  int idle = 0;
  /// Total time from order to end of the runs that completed a task and have no
  /// `Run::atypical_duration`, and the number of these runs.
  Millis total_run_time{0};
  int run_time_samples = 0;
  /// These run times, one by one; only if the step allows copies.
  std::vector<Millis> run_times;
  /// When it was last logged that the step waits for a worker. Before the first
  /// such line, when the step was first noted as waiting (see
  /// CellLeader::NoteWaitingStep).
  Instant waiting_logged_at{};
  RackWait rack_wait;
  /// Indices of a gang's tasks that have begun in its run `gang_run`. Empty
  /// once the job has started.
  std::set<int> begun_members;
  uint32_t gang_run = 0;
  std::vector<Task> tasks;
};

struct RepetitionState {
  std::vector<StepState> steps;
  int steps_done = 0;
};

enum class JobOutcome { kOpen, kCompleted, kFailed, kCancelled };

struct Job {
  JobPlan plan;
  /// Policy of the queue when the operators dropped it, if it had changed since
  /// the job was accepted.
  std::optional<QueuePolicy> dropped_policy;
  /// The repetitions that are held in memory, by number: those that are due and
  /// not done, as far as `JobMemoryLimits` allow, and those of which a worker
  /// has reported a run. See job_repetitions.h.
  std::map<int, RepetitionState> repetitions;
  /// Repetitions that are done and not held any more.
  IndexSet dropped_repetitions;
  /// All repetitions below this one have been held.
  int next_repetition = 0;
  /// `Task::last_run` and `Task::may_still_run` of tasks of repetitions that
  /// are held from now on.
  uint32_t first_last_run = 0;
  bool new_tasks_may_still_run = false;
  JobOutcome outcome = JobOutcome::kOpen;
  /// The outcome is recorded in the store.
  bool outcome_recorded = false;
  /// Why the job failed; empty if it has not failed, or failed because a task
  /// used up its attempts.
  std::string reason;
  /// Milliseconds since 1970; 0: not finished.
  int64_t finished_at = 0;
  /// A task of the job is known to have begun: a worker has accepted its start,
  /// has listed a run of it, or an earlier leader has recorded so. Starts that
  /// were refused, lost or not sent do not count, nor do runs of a gang whose
  /// tasks have not all begun.
  bool started = false;
  int repetitions_done = 0;
  /// A change that must be recorded was made since the state was last encoded
  /// for the store. A new run number, a checkpoint, or an end that neither
  /// completes the task nor counts as a failure does not set this field.
  bool dirty = false;
  /// A task of the job waits until its newest crash or trial note is recorded
  /// in the store.
  bool crash_unrecorded = false;
  /// See `JobPlan::worker_group`. No task is started outside of the job's group
  /// before the store has this as kRecorded.
  SpreadRecord spread = SpreadRecord::kConfined;
  /// Runs that earlier leaders ordered may be outside of the job's group.
  bool was_spread = false;
};

/// The group to which the task's runs are confined as far as a successor of an
/// earlier leader can tell; 0: they may be on any worker.
WorkerGroup ConfinedTo(const Task& task);
/// The group on whose workers the job's tasks may be started now; 0: any.
WorkerGroup MayStartIn(const Job& job);

/// "JOB.REPETITION.STEP"
std::string StepName(const Job& job, int repetition, int step);

/// When the steps of the given repetition may start, in milliseconds since
/// 1970. For a job without repetitions, when it was accepted.
int64_t DueAt(const Job& job, int repetition);
bool IsDue(const Job& job, int repetition, int64_t now);

/// Processors, in thousandths, that the job's ready but unplaced tasks request,
/// without long-running tasks. `now` is in milliseconds since 1970.
int64_t WaitingCpu(const Job& job, int64_t now);

/// Calls `each` with every task of the repetitions that are held.
void ForEachTask(Job* job, const std::function<void(Task*)>& each);
/// Whether a run of one of the job's tasks has not ended, as far as is known.
bool HasPlacedTask(const Job& job);

/// The parts of "JOB.REPETITION.STEP.INDEX".
struct TaskName {
  std::string_view job;
  int repetition = 0;
  int step = 0;
  int index = 0;
};

/// Returns nothing if one of the four parts is missing, or a number is
/// malformed. Ignores further parts.
std::optional<TaskName> ParseTaskName(std::string_view name);

/// Consequence of the end of a run for its task.
enum class EndEffect {
  /// The end neither completes the task, nor makes the job fail, nor calls for
  /// another run: the task was already done, or the end of this or a later run
  /// had already been applied (see `Task::counted_run`). A failure may still
  /// have been counted and a checkpoint kept.
  kIgnored,
  /// The task, or its whole gang, is done; also through a run that was given
  /// up before.
  kDone,
  /// The end was applied and the task is not done. If the job is still open and
  /// no later run is placed, the task waits for another run.
  kRetry,
  /// The job has failed, because the task has used up its attempts.
  kJobFailed,
};

class JobTable {
 public:
  /// Returns null if the job's id is already known.
  /// A job without repetitions is held at once.
  Job* Add(JobPlan plan);
  Job* Find(std::string_view id);
  /// Holds the task's repetition if it is neither held nor dropped. Null if
  /// there is no such task, or its repetition is done and was dropped.
  Task* FindTask(std::string_view name);
  /// Removes a finished job.
  void Remove(const std::string& id);
  void Clear();

  /// Jobs that are not finished.
  const std::vector<Job*>& OpenJobs();

  static void SetPlaced(Task* task, bool placed);
  /// A worker has accepted the start of the run, or lists it as active. Updates
  /// `Job::started`.
  static void NoteRunBegan(Task* task, uint32_t run);
  /// A worker lists the end of a run. Updates `Job::started` if such an end
  /// shows that the task had begun: a run may be stopped before it begins, and
  /// one of a gang may end while it waits for the others.
  static void NoteListedEnd(Task* task, RunEnd end);
  /// Notes that two runs of a placed task are active.
  static void BeginTwoRuns(Task* task, uint32_t run, uint32_t other_run);
  /// `run` has ended or did not begin. Returns the number of the run that
  /// remains placed, or 0 if there is none and the task is not placed any more.
  static uint32_t EndPlacedRun(Task* task, uint32_t run);
  /// Whether all steps that `step` depends on are done in the given repetition.
  static bool IsUnblocked(const Job& job, int repetition, int step);

  /// Applies the end of a run to its task, even if the run was given up before
  /// its worker reported. `max_attempts` is the queue's limit; long-running
  /// tasks have none. Several tasks of a gang that fail in the same run count
  /// as one failure. `active_run`: the lowest number of the task's other active
  /// runs if it has two and `Task::counted_run` must stay below it; 0: none.
  EndEffect ApplyRunEnd(Task* task,
                        uint32_t run,
                        RunEnd end,
                        const std::string& checkpoint,
                        int max_attempts,
                        uint32_t active_run = 0);
  /// Adds the note, or replaces the one of the same run. Returns false if that
  /// note is equal or final (kRestarted or kVanished), or if the task is done.
  static bool NoteCrash(Task* task, CrashNote crash);
  /// Removes a kUnconfirmed note of the run. Returns whether there was one.
  static bool RemoveUnconfirmedCrash(Task* task, uint32_t run);
  /// Adds the note of the task's next trial in place of any other kTrial note.
  static void NoteTrial(Task* task, CrashNote trial);
  /// Removes the task's kTrial note, because the trial has ended or passed.
  /// Returns whether there was one.
  static bool RemoveTrialNote(Task* task);
  /// Changes where the task may run. Returns false if `worker` is already
  /// recorded in the store as the assigned worker.
  static bool SetAssignedWorker(Task* task, const std::string& worker);
  /// Finishes the job. Returns false if it is already finished.
  bool Finish(Job* job, JobOutcome outcome);

  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const {
    return jobs_;
  }
  /// Estimated memory of all jobs, in bytes.
  size_t EstimateMemory() const;

 private:
  /// Adds `run` to `failed_runs` of the task, or of the first task of its gang.
  /// Returns true if the attempts are used up.
  static bool AddFailedRun(Task* task, uint32_t run, int max_attempts);
  /// Marks the task as done; for a task of a gang, all tasks of the gang.
  void MarkTaskOrGangDone(Task* task);
  /// Marks one task as done, and finishes the job if no task is left.
  void MarkTaskDone(Task* task);

  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  /// Every open job, and jobs that have finished since the last call of
  /// OpenJobs.
  std::vector<Job*> open_;
};

/// Largest value that the platform's store accepts, in bytes.
inline constexpr size_t kMaxStoredValueBytes = 1024 * 1024;

/// Encodes the part of a job's state that is kept in the store. If it is longer
/// than `max_bytes`, first checkpoints and then crash notes are left out; the
/// result may still be longer.
std::string EncodeJobState(const Job& job,
                           size_t max_bytes = kMaxStoredValueBytes);
/// Restores the state of a newly added job from `text`. Returns false if the
/// text is malformed; the fields and tasks before the fault are then restored,
/// but the job stays open.
bool DecodeJobState(std::string_view text, Job* job);

}  // namespace doorwood

#endif  // DOORWOOD_JOB_TABLE_H_
