// SPDX-License-Identifier: Apache-2.0

// Tasks that may have taken a worker down are started again, each alone among
// the newest runs of its worker.

#include <algorithm>
#include <limits>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// A lasting run weighs as much as so many others where a suspect is tried.
constexpr int kLastingWeight = 10;
// Asked a little after the run counts as seen at work.
constexpr Millis kAskedLate{30};
// From so many notes on a trial is recorded before it begins, for the case that
// the leader is lost with the worker.
constexpr size_t kRecordsTrials = 2;

}  // namespace

bool CellLeader::IsSuspect(const Task& task) {
  return !task.crashes.empty() &&
         JudgeCrashes(task.crashes) == CrashVerdict::kSuspect;
}

bool CellLeader::HasNewRuns(const WorkerSession& session) const {
  return std::any_of(session.runs().begin(), session.runs().end(),
                     [&](const auto& entry) {
                       return session.SeenAtWork(entry.second) <
                              options_.policy.crashes.at_work;
                     });
}

// What a crash of the worker would cost.
int CellLeader::LossOn(const WorkerSession& session) {
  int loss = 0;
  for (const auto& [name, run] : session.runs()) {
    loss += run.lasting ? kLastingWeight : 1;
  }
  return loss;
}

int CellLeader::CountWorkersOf(std::string_view service) const {
  return static_cast<int>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
        return entry.second.listed &&
               entry.second.session->life().service == service;
      }));
}

// The worker with least to lose, of those that have no trial and on whose
// machine the task has not crashed, if there is one.
int CellLeader::ChooseForTrial(const Task& task,
                               const StepPlaces& places,
                               const std::vector<WorkerRoom*>& rooms) const {
  int best = kNoWorker;
  int least = std::numeric_limits<int>::max();
  for (size_t place = 0; place < rooms.size(); ++place) {
    if (!places.IsGood(place)) {
      continue;
    }
    const auto member = members_.find(std::string(rooms[place]->id));
    const WorkerSession& session = *member->second.session;
    constexpr int kCrashedThere = 100'000;
    constexpr int kHasNewRuns = 1000;
    const std::string machine = MachineOf(session.life());
    const bool crashed_there = std::any_of(
        task.crashes.begin(), task.crashes.end(),
        [&](const CrashNote& crash) { return crash.machine == machine; });
    const int loss = LossOn(session) + (crashed_there ? kCrashedThere : 0) +
                     (HasNewRuns(session) ? kHasNewRuns : 0);
    if (loss < least) {
      best = static_cast<int>(place);
      least = loss;
    }
  }
  return best;
}

bool CellLeader::MayHaveCrashedUntold(const Task& task) {
  return !task.done && IsSuspect(task) &&
         task.crashes.back().evidence != CrashEvidence::kUntold;
}

// Nothing is known of a start that an earlier leader may have ordered after the
// last crash it recorded: it is noted, and recorded, before the next one.
bool CellLeader::NoteUntold(Task* task) {
  if (!std::exchange(task->crash_untold, false)) {
    return false;
  }
  CrashNote untold;
  untold.run = task->last_run;
  untold.evidence = CrashEvidence::kUntold;
  untold.suspect = true;
  NoteCrash(task, untold);
  return true;
}

// A worker is kept first, and the start ordered once nothing else there is new:
// the next crash then tells who caused it.
std::optional<int> CellLeader::PlaceSuspect(
    const ReadyStep& ready,
    Task* task,
    const TaskNeed& need,
    const std::vector<WorkerRoom*>& rooms,
    StepPlaces* places) {
  if (NoteUntold(task)) {
    return std::nullopt;
  }
  const std::string name = task->name();
  const std::string service(need.service);
  if (trials_.Find(name) == nullptr) {
    const bool likely = IsLikelyCulprit(task->crashes);
    if (!trials_.HasPlace(service, CountWorkersOf(service), likely)) {
      return std::nullopt;
    }
    const int chosen = ChooseForTrial(*task, *places, rooms);
    if (chosen == kNoWorker) {
      return std::nullopt;
    }
    const std::string id(rooms[chosen]->id);
    trials_.Keep(name, {id, service, executor_.Now(), likely,
                        TrialOf(task->crashes, options_.policy.crashes)});
    rooms[chosen]->open = false;
    rooms[chosen]->changed_in = pass_;
    // Not for the step's other tasks either.
    JudgePlace(ready, need, *rooms[chosen], chosen, /*planned=*/0, places);
    LookLater(members_.at(id).session, options_.policy.crashes.at_work);
  }
  const std::string worker = trials_.Find(name)->worker;
  const auto member = members_.find(worker);
  if (member == members_.end() || !IsOpen(worker, member->second)) {
    trials_.End(name);
    return std::nullopt;
  }
  WorkerRoom kept = member->second.room;
  kept.open = true;
  const StepPlan& plan = task->plan();
  const int there = member->second.session->CountOfStep(
      StepName(*ready.job, ready.time, ready.step));
  const bool fits =
      FindPlaceProblem(plan, need, kept, plan.most_per_worker > 0 ? there : 0,
                       interference_, options_.policy) == PlaceProblem::kNone;
  if (!fits || HasNewRuns(*member->second.session) ||
      !RecordTrial(task, member->second.session->life())) {
    return std::nullopt;
  }
  const auto place =
      std::find_if(rooms.begin(), rooms.end(),
                   [&](const WorkerRoom* room) { return room->id == worker; });
  return static_cast<int>(place - rooms.begin());
}

bool CellLeader::RecordTrial(Task* task, const WorkerLife& life) {
  const uint32_t run = task->last_run + 1;
  const CrashNote* noted = task->FindTrial(run);
  const bool is_recorded = noted != nullptr && noted->worker == life.id;
  if (is_recorded || task->crashes.size() < kRecordsTrials) {
    return true;
  }
  CrashNote trial;
  trial.run = run;
  trial.machine = MachineOf(life);
  trial.worker = life.id;
  trial.evidence = CrashEvidence::kTrial;
  trial.suspect = true;
  trial.alone = true;
  JobTable::NoteTrial(task, std::move(trial));
  task->crash_unrecorded = true;
  task->job->crash_unrecorded = true;
  MarkDirty(task->job, /*urgent=*/true);
  return false;
}

void CellLeader::BeginTrial(const Task& task,
                            const std::shared_ptr<WorkerSession>& session) {
  const WorkerLife& life = session->life();
  const Millis length = TrialOf(task.crashes, options_.policy.crashes);
  trials_.Keep(task.name(),
               {life.id, life.service, executor_.Now(),
                IsLikelyCulprit(task.crashes), length, /*started=*/true});
  log_.Write("info", "cell", "a suspect is tried alone",
             {{"task", task.name()},
              {"worker", life.id},
              {"crashes", task.crashes.size()},
              {"runs_beside", session->runs().size()}});
  LookLater(session, length);
}

// A held look may be answered much later than the newest runs settle.
void CellLeader::LookLater(const std::shared_ptr<WorkerSession>& session,
                           Millis at_work) {
  executor_.Schedule(at_work + kAskedLate, [session] { session->LookNow(); });
}

void CellLeader::FollowTrials() {
  trials_.Expire(executor_.Now());
  std::vector<std::string> over;
  for (const auto& [name, trial] : trials_.trials()) {
    Task* task = jobs_.FindTask(name);
    const auto member = members_.find(trial.worker);
    const bool gone = task == nullptr || member == members_.end() ||
                      task->job->outcome != JobOutcome::kOpen || task->done;
    if (gone) {
      over.push_back(name);
      continue;
    }
    if (!trial.started) {
      continue;
    }
    const Run* run = member->second.session->FindRun(name);
    if (run == nullptr) {
      over.push_back(name);
      continue;
    }
    const Millis at_work = member->second.session->SeenAtWork(*run);
    if (at_work >= options_.policy.crashes.cleared) {
      ClearCrashes(task);
      over.push_back(name);
    } else if (at_work >= trial.length && !trial.settled) {
      trials_.Settle(name);
      JobTable::DropTrial(task);
      MarkDirty(task->job, /*urgent=*/false);
    }
  }
  for (const std::string& name : over) {
    trials_.End(name);
  }
}

void CellLeader::ClearCrashes(Task* task) {
  log_.Write("info", "cell", "a suspect is cleared",
             {{"task", task->name()}, {"crashes", task->crashes.size()}});
  task->crashes.clear();
  task->job->dirty = true;
  MarkDirty(task->job, /*urgent=*/false);
}

void CellLeader::OnCrashesRecorded(Job* job) {
  if (!std::exchange(job->crash_unrecorded, false)) {
    return;
  }
  ForEachTask(job, [](Task* task) { task->crash_unrecorded = false; });
  WakeScheduler();
}

}  // namespace doorwood
