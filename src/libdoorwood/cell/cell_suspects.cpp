// SPDX-License-Identifier: Apache-2.0

// Trial runs of suspects, that is of tasks that may have crashed a worker. A
// suspect is started on a worker on which no other run is new, except runs of
// its gang. Another crash then shows whether the suspect caused it.

#include <algorithm>
#include <limits>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Weight of a long-running task, relative to any other run, in the cost of
// losing the worker on which a suspect is tried.
constexpr int kLongRunningWeight = 10;
// Added to the delay before a trial's additional poll, so that the answer shows
// the run active for at least the required time.
constexpr Millis kTrialCheckDelay{30};
// From this many noted crashes on, a trial run is recorded before it begins, in
// case the leader fails together with the worker.
constexpr size_t kMinCrashesToRecordTrial = 2;

}  // namespace

bool CellLeader::IsSuspect(const Task& task) {
  return !task.crashes.empty() &&
         AssessCrashes(task.crashes) == CrashVerdict::kSuspect;
}

bool CellLeader::HasNewRuns(const WorkerSession& session) const {
  return std::any_of(session.runs().begin(), session.runs().end(),
                     [&](const auto& entry) {
                       return session.ObservedRunTime(entry.second) <
                              options_.policy.crashes.unsuspected_after;
                     });
}

// The cost of a crash of the worker: the number of runs that would be lost,
// with a long-running one counted kLongRunningWeight times.
int CellLeader::CrashCost(const WorkerSession& session) {
  int cost = 0;
  for (const auto& [name, run] : session.runs()) {
    cost += run.long_running ? kLongRunningWeight : 1;
  }
  return cost;
}

int CellLeader::CountListedWorkersOfService(std::string_view service) const {
  return static_cast<int>(std::count_if(
      cell_workers_.begin(), cell_workers_.end(), [&](const auto& entry) {
        return entry.second.listed &&
               entry.second.session->incarnation().service == service;
      }));
}

// Returns the index of the suitable worker with the lowest cost, or kNoWorker
// if none is suitable. The cost is CrashCost. It is higher by kNewRunsCost if
// the worker has new runs. It is higher by kCrashedThereCost, which is far more
// than a usual CrashCost, if a crash note of the task names the worker's
// machine, and by kOtherRackCost, which is more than a usual CrashCost, if the
// worker is outside of the rack that the step's tasks are to share.
int CellLeader::ChooseTrialWorker(
    const Task& task,
    const TaskRequirements& need,
    const StepCandidates& places,
    const std::vector<CandidateWorker*>& candidates) const {
  int best = kNoWorker;
  int lowest_cost = std::numeric_limits<int>::max();
  for (size_t place = 0; place < candidates.size(); ++place) {
    if (!places.IsSuitable(place)) {
      continue;
    }
    const auto cell_worker =
        cell_workers_.find(std::string(candidates[place]->id));
    const WorkerSession& session = *cell_worker->second.session;
    constexpr int kCrashedThereCost = 100'000;
    constexpr int kNewRunsCost = 1000;
    constexpr int kOtherRackCost = 500;
    const std::string machine = MachineOf(session.incarnation());
    const bool crashed_there = std::any_of(
        task.crashes.begin(), task.crashes.end(),
        [&](const CrashNote& crash) { return crash.machine == machine; });
    const bool leaves_rack = task.plan().same_rack && !need.rack.empty() &&
                             candidates[place]->rack != need.rack;
    const int cost = CrashCost(session) +
                     (crashed_there ? kCrashedThereCost : 0) +
                     (HasNewRuns(session) ? kNewRunsCost : 0) +
                     (leaves_rack ? kOtherRackCost : 0);
    if (cost < lowest_cost) {
      best = static_cast<int>(place);
      lowest_cost = cost;
    }
  }
  return best;
}

bool CellLeader::MayHaveUnconfirmedCrash(const Task& task) {
  return !task.done && IsSuspect(task) &&
         task.crashes.back().evidence != CrashEvidence::kUnconfirmed;
}

// An earlier leader may have ordered a start after the last crash that it
// recorded, and the result of that start is unknown. Before the next start, an
// unconfirmed crash is noted for that run, and the note is recorded.
bool CellLeader::NoteUnconfirmedCrash(Task* task) {
  if (!std::exchange(task->may_have_unconfirmed_crash, false)) {
    return false;
  }
  CrashNote note;
  note.run = task->last_run;
  note.evidence = CrashEvidence::kUnconfirmed;
  note.suspect = true;
  NoteCrash(task, note);
  return true;
}

// Reserves a worker first. Allows the start once the task fits there, no other
// run on that worker is new, and the trial is recorded where required. A crash
// during the trial then shows whether the suspect caused it.
std::optional<int> CellLeader::ReserveTrialPlace(
    const ReadyStep& ready,
    Task* task,
    const TaskRequirements& need,
    const std::vector<CandidateWorker*>& candidates,
    StepCandidates* places) {
  if (NoteUnconfirmedCrash(task)) {
    return std::nullopt;
  }
  const std::string name = task->name();
  const std::string service(need.service);
  if (trials_.Find(name) == nullptr) {
    const bool likely = IsLikelyCulprit(task->crashes);
    if (!trials_.HasFreeSlot(service, CountListedWorkersOfService(service),
                             likely)) {
      return std::nullopt;
    }
    const int chosen = ChooseTrialWorker(*task, need, *places, candidates);
    if (chosen == kNoWorker) {
      return std::nullopt;
    }
    const std::string id(candidates[chosen]->id);
    trials_.Reserve(name,
                    {id, service, executor_.Now(), likely,
                     TrialDuration(task->crashes, options_.policy.crashes)});
    candidates[chosen]->accepts_work = false;
    candidates[chosen]->last_changed_pass = pass_;
    // The worker is closed to the step's other tasks as well.
    EvaluatePlace(ready, need, *candidates[chosen], chosen, /*planned=*/0,
                  places);
    ScheduleTrialPoll(cell_workers_.at(id).session,
                      options_.policy.crashes.unsuspected_after);
  }
  const std::string worker = trials_.Find(name)->worker;
  const auto cell_worker = cell_workers_.find(worker);
  if (cell_worker == cell_workers_.end() ||
      !MayReceiveNewWork(worker, cell_worker->second)) {
    trials_.End(name);
    return std::nullopt;
  }
  CandidateWorker reserved_candidate = cell_worker->second.candidate;
  reserved_candidate.accepts_work = true;
  const StepPlan& plan = task->plan();
  const int tasks_on_worker = cell_worker->second.session->CountRunsOfStep(
      StepName(*ready.job, ready.repetition, ready.step));
  // The rack was decided with the reservation.
  TaskRequirements need_there = need;
  need_there.rack_required = false;
  const bool fits =
      FindPlaceProblem(plan, need_there, reserved_candidate,
                       plan.max_per_worker > 0 ? tasks_on_worker : 0,
                       interference_, options_.policy) == PlaceProblem::kNone;
  if (!fits || HasNewRuns(*cell_worker->second.session) ||
      !RecordTrial(task, cell_worker->second.session->incarnation())) {
    return std::nullopt;
  }
  const auto place = std::find_if(candidates.begin(), candidates.end(),
                                  [&](const CandidateWorker* candidate) {
                                    return candidate->id == worker;
                                  });
  return static_cast<int>(place - candidates.begin());
}

bool CellLeader::RecordTrial(Task* task, const WorkerIncarnation& incarnation) {
  const uint32_t run = task->last_run + 1;
  const CrashNote* previous = task->FindTrialNote(run);
  const bool is_recorded =
      previous != nullptr && previous->worker == incarnation.id;
  if (is_recorded || task->crashes.size() < kMinCrashesToRecordTrial) {
    return true;
  }
  CrashNote trial;
  trial.run = run;
  trial.machine = MachineOf(incarnation);
  trial.worker = incarnation.id;
  trial.evidence = CrashEvidence::kTrial;
  trial.suspect = true;
  trial.in_trial = true;
  JobTable::NoteTrial(task, std::move(trial));
  task->crash_unrecorded = true;
  task->job->crash_unrecorded = true;
  JournalIfDirty(task->job, /*urgent=*/true);
  return false;
}

void CellLeader::BeginTrial(const Task& task,
                            const std::shared_ptr<WorkerSession>& session) {
  const WorkerIncarnation& incarnation = session->incarnation();
  const Millis length = TrialDuration(task.crashes, options_.policy.crashes);
  trials_.Reserve(task.name(),
                  {incarnation.id, incarnation.service, executor_.Now(),
                   IsLikelyCulprit(task.crashes), length, /*started=*/true});
  log_.Write("info", "cell",
             "trial run begins for a suspect or a task of its gang",
             {{"task", task.name()},
              {"worker", incarnation.id},
              {"crashes", task.crashes.size()},
              {"runs_beside", session->runs().size()}});
  ScheduleTrialPoll(session, length);
}

// The worker may delay its answer to a regular poll until long after its newest
// runs have been active for `active_for`, so an additional poll is sent.
void CellLeader::ScheduleTrialPoll(
    const std::shared_ptr<WorkerSession>& session,
    Millis active_for) {
  executor_.Schedule(active_for + kTrialCheckDelay,
                     [session] { session->PollNow(); });
}

void CellLeader::UpdateTrials() {
  trials_.Expire(executor_.Now());
  std::vector<std::string> ended;
  for (const auto& [name, trial] : trials_.trials()) {
    Task* task = jobs_.FindTask(name);
    const auto cell_worker = cell_workers_.find(trial.worker);
    const bool obsolete = task == nullptr ||
                          cell_worker == cell_workers_.end() ||
                          task->job->outcome != JobOutcome::kOpen || task->done;
    if (obsolete) {
      ended.push_back(name);
      continue;
    }
    if (!trial.started) {
      continue;
    }
    const Run* run = cell_worker->second.session->FindRun(name);
    if (run == nullptr) {
      ended.push_back(name);
      continue;
    }
    const Millis observed_running =
        cell_worker->second.session->ObservedRunTime(*run);
    if (observed_running >= options_.policy.crashes.unrelated_after) {
      ClearCrashes(task);
      ended.push_back(name);
    } else if (observed_running >= trial.duration && !trial.passed) {
      trials_.MarkPassed(name);
      JobTable::RemoveTrialNote(task);
      JournalIfDirty(task->job, /*urgent=*/false);
    }
  }
  for (const std::string& name : ended) {
    trials_.End(name);
  }
}

void CellLeader::ClearCrashes(Task* task) {
  log_.Write("info", "cell",
             "crash notes cleared: the task ran long enough in its trial",
             {{"task", task->name()}, {"crashes", task->crashes.size()}});
  task->crashes.clear();
  task->job->dirty = true;
  JournalIfDirty(task->job, /*urgent=*/false);
}

void CellLeader::OnCrashesRecorded(Job* job) {
  if (!std::exchange(job->crash_unrecorded, false)) {
    return;
  }
  ForEachTask(job, [](Task* task) { task->crash_unrecorded = false; });
  RequestSchedulingPass();
}

}  // namespace doorwood
