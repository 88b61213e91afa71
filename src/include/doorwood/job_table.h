// SPDX-License-Identifier: Apache-2.0

/// \file
/// What is known of each job and task of a cell. Pure state: events in,
/// changed state out; no time, no calls.

#ifndef DOORWOOD_JOB_TABLE_H_
#define DOORWOOD_JOB_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "doorwood/job_plan.h"
#include "doorwood/run_worker.h"

namespace doorwood {

struct Job;

/// How it is known that a worker went down while a task was there.
enum class CrashEvidence {
  /// Another life answered in its place.
  kOtherLife,
  /// It fell silent, and its entry went without its having said that it leaves,
  /// or it was about to leave when another life answered.
  kVanished,
  /// Its worker fell silent when the run was new, or an earlier leader may have
  /// started the task since it recorded the last crash; nobody has told more.
  kUntold,
  /// The run is tried there, or is about to be: no crash as far as this leader
  /// knows. To a successor it is untold.
  kTrial,
};

/// A worker that went down while a run of the task was there, soon after the
/// run began.
struct CrashNote {
  uint32_t run = 0;
  /// Of the worker; where none is known, the worker's id.
  std::string machine;
  std::string worker;
  CrashEvidence evidence = CrashEvidence::kOtherLife;
  /// The run was among the newest there.
  bool suspect = false;
  /// It was tried alone there.
  bool alone = false;
  /// Other workers went down at about the same time.
  bool one_of_many = false;
  /// For how long the run was seen at work before.
  Millis at_work{0};

  friend bool operator==(const CrashNote&, const CrashNote&) = default;
};

/// How far the store holds `Task::place`.
enum class PlaceRecord {
  /// The newest record of the job names it.
  kRecorded,
  /// A batch whose outcome is not known carries it.
  kWritten,
  kChanged,
};

/// One task. `last_run`, `place` and what stands between them are kept in the
/// store; the rest is not.
struct Task {
  Job* job = nullptr;
  int time = 0;
  int step = 0;
  int index = 0;

  bool done = false;
  /// Highest run number given out or heard of.
  uint32_t last_run = 0;
  /// Highest run whose end is counted. An end at or below it is a repeat, or
  /// comes after the run was given up: then only `done` still counts, a failure
  /// that is not counted yet, and what the newest run saved.
  uint32_t counted_run = 0;
  /// Runs that ended in failure, each once, in the order in which they were
  /// heard of: after a takeover an earlier run's end may be heard later. Of a
  /// gang, the first task counts for all.
  std::vector<uint32_t> failed_runs;
  std::string checkpoint;
  /// Crashes since it was last seen at work for long, each run once.
  std::vector<CrashNote> crashes;

  /// Of a lasting task: the only worker on which a run of it may go on; empty:
  /// none. Recorded before the task is ordered there, so that a successor need
  /// not reckon with any other.
  std::string place;
  PlaceRecord place_record = PlaceRecord::kRecorded;

  /// The store does not hold the newest crash yet.
  bool crash_unrecorded = false;
  /// See CrashEvidence::kUntold: not noted yet.
  bool crash_untold = false;
  /// After a crash it is not started before then.
  Instant rests_until{};
  /// True while a run is ordered, active, or not proved to be over. Changed
  /// by JobTable::SetPlaced.
  bool placed = false;
  /// Set at takeover while an unheard worker may still run the task.
  bool unaccounted = false;
  /// After a takeover: the run that was adopted (0: none), the one up to which
  /// records tell all ends, and those between whose ends workers have told.
  /// Each other one between may have failed on a worker that is not heard yet.
  uint32_t adopted_run = 0;
  uint32_t recorded_run = 0;
  std::vector<uint32_t> told_runs;
  /// Worker where it failed last; another one is tried first.
  std::string failed_on;
  /// When the task last became ready, for waiting times.
  Instant ready_since{};

  /// How many runs before the adopted one may have failed unheard of.
  uint32_t UnheardEnds() const;

  /// What is noted of a trial with that run; null: nothing.
  const CrashNote* FindTrial(uint32_t run) const;

  const StepPlan& plan() const;
  /// "JOB.TIME.STEP.INDEX"
  std::string name() const;
};

struct StepState {
  int done = 0;
  /// Tasks that are neither done nor placed.
  int idle = 0;
  /// What its tasks took that ran at full speed from their beginning: the sum,
  /// and of how many.
  Millis taken{0};
  int taken_of = 0;
  /// When it was last logged that the step waits for a place.
  Instant waiting_told{};
  std::vector<Task> tasks;
};

struct TimeState {
  std::vector<StepState> steps;
  int steps_done = 0;
};

enum class JobOutcome { kOpen, kCompleted, kFailed, kCancelled };

struct Job {
  JobPlan plan;
  std::deque<TimeState> times;
  JobOutcome outcome = JobOutcome::kOpen;
  /// The outcome stands in the store.
  bool outcome_recorded = false;
  /// Why it failed, if not for its tasks' failures; else empty.
  std::string reason;
  /// Milliseconds since 1970; 0: not over.
  int64_t finished_at = 0;
  /// A task has begun.
  bool begun = false;
  int times_done = 0;
  /// The store does not hold the newest state yet.
  bool dirty = false;
  /// The store does not hold a crash yet that a task of the job waits for.
  bool crash_unrecorded = false;
};

/// "JOB.TIME.STEP"
std::string StepName(const Job& job, int time, int step);

/// When the steps of that time may start, in milliseconds since 1970; without
/// times: when the job was accepted.
int64_t DueAt(const Job& job, int time);
bool IsDue(const Job& job, int time, int64_t now);

/// Processors, in thousandths, of the job's tasks that wait for nothing but a
/// place and do not last. `now`: milliseconds since 1970.
int64_t WaitingCpu(const Job& job, int64_t now);

/// Calls `each` with every task of every time of the job.
void ForEachTask(Job* job, const std::function<void(Task*)>& each);

/// "JOB.TIME.STEP.INDEX" taken apart.
struct TaskName {
  std::string_view job;
  int time = 0;
  int step = 0;
  int index = 0;
};

std::optional<TaskName> ParseTaskName(std::string_view name);

/// What an ended run means for its task.
enum class EndEffect {
  /// Already counted, or of a run given up before, or of a task that is done.
  kIgnored,
  /// The task is done.
  kDone,
  /// The task waits for another run.
  kAgain,
  /// The job has failed: the task's attempts are used up.
  kJobFailed,
};

class JobTable {
 public:
  /// Adds a job; null if its id is known already.
  Job* Add(JobPlan plan);
  Job* Find(std::string_view id);
  Task* FindTask(std::string_view name);
  /// Forgets a job that is over.
  void Remove(const std::string& id);
  void Clear();

  /// Jobs that are not over yet.
  const std::vector<Job*>& OpenJobs();

  static void SetPlaced(Task* task, bool placed);
  /// All steps that it waits for are done, at this time of the job.
  static bool IsUnblocked(const Job& job, int time, int step);

  /// Counts the end of a run, also of one that was given up before its worker
  /// told. `max_attempts` is the queue's; lasting tasks have no limit. A gang's
  /// end counts once for all of its tasks.
  EndEffect CountEnd(Task* task,
                     uint32_t run,
                     RunEnd end,
                     const std::string& checkpoint,
                     int max_attempts);
  /// Adds the crash, or changes what is noted of that run; false: it was noted
  /// so already, or the task is done.
  static bool NoteCrash(Task* task, CrashNote crash);
  /// Takes back what was noted untold of the run; true: something was.
  static bool DropUntold(Task* task, uint32_t run);
  /// Notes on which worker the task is tried next, in place of any other trial.
  static void NoteTrial(Task* task, CrashNote trial);
  /// The trial is over without a crash, or did not begin; true: there was one.
  static bool DropTrial(Task* task);
  /// Changes where the task may run; false: the store holds that already.
  static bool SetPlace(Task* task, const std::string& worker);
  /// Ends the job; false if it is over already.
  bool Finish(Job* job, JobOutcome outcome);

  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const {
    return jobs_;
  }

 private:
  /// Counts a failure of `run`; true if the attempts are used up.
  static bool CountFailure(Task* task, uint32_t run, int max_attempts);
  void MarkDone(Task* task);
  void MarkOneDone(Task* task);

  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  /// Every open job, and some that are over since the last call of OpenJobs.
  std::vector<Job*> open_;
};

/// The lasting part of a job's state, as kept in the store.
std::string EncodeJobState(const Job& job);
/// Fills a freshly added job from `text`; false if the text is not of that
/// form.
bool DecodeJobState(std::string_view text, Job* job);

}  // namespace doorwood

#endif  // DOORWOOD_JOB_TABLE_H_
