// SPDX-License-Identifier: Apache-2.0

// Starts a cell's tasks on its workers. The decisions are made by policy/; this
// file collects their inputs and sends the resulting orders.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Combines events that happen at about the same time into one scheduling pass.
constexpr Millis kScheduleDelay{2};
// After each pass the scheduler pauses for this multiple of the pass's
// duration, up to kLongestPause, so that passes of at most 20 ms take no more
// than a fifth of the processor.
constexpr int kPauseToPassRatio = 4;
constexpr Millis kLongestPause{80};
// A step's tasks are placed on the best of the first suitable workers, at least
// this many. In a larger cell, evaluating the others costs more than a better
// place gains. The scan always begins with the same workers: work that is
// spread over all of them needs a connection to each.
constexpr size_t kMinComparedPlaces = 512;
// No further start is ordered while an order would wait for longer than this
// for the network link: the most urgent task is chosen when the link has room,
// and the worker's room is not reserved meanwhile.
constexpr Millis kMaxOrderDelay{200};
// Pause until the next pass after one that ended for this reason.
constexpr Millis kFullLinkPause{20};

std::vector<CandidateWorker> CopyCandidates(
    const std::vector<CandidateWorker*>& candidates) {
  std::vector<CandidateWorker> copies;
  copies.reserve(candidates.size());
  for (const CandidateWorker* candidate : candidates) {
    copies.push_back(*candidate);
  }
  return copies;
}

std::vector<CandidateWorker*> PointersTo(
    std::vector<CandidateWorker>* candidates) {
  std::vector<CandidateWorker*> pointers;
  pointers.reserve(candidates->size());
  for (CandidateWorker& candidate : *candidates) {
    pointers.push_back(&candidate);
  }
  return pointers;
}

}  // namespace

void CellLeader::RequestSchedulingPass() {
  if (pass_scheduled_ || !leading()) {
    return;
  }
  pass_scheduled_ = true;
  const auto pause = std::chrono::ceil<Millis>(next_pass_ - executor_.Now());
  executor_.Schedule(std::max(kScheduleDelay, pause), [this] {
    pass_scheduled_ = false;
    if (!MayOrderStarts() || closed_read_ == Instant{}) {
      return;
    }
    const Instant begin = executor_.Now();
    RunSchedulingPass();
    StartCopies();
    const Instant end = executor_.Now();
    next_pass_ = end + std::min<Instant::duration>(
                           (end - begin) * kPauseToPassRatio, kLongestPause);
  });
}

bool CellLeader::IsReady(const Task& task) const {
  return !task.done && !task.placed && !task.may_still_run &&
         !task.crash_unrecorded && executor_.Now() >= task.no_start_before &&
         !MayHaveUsedUpAttempts(task);
}

// The previous leader may have received failures that it could not record.
// Workers list these failures to this leader, but it may not have contacted all
// workers yet. Each run that `Task::CountRunsWithoutReportedEnd` counts is
// therefore taken to have failed, as long as an unaccounted worker may run the
// task or may have ended it.
bool CellLeader::MayHaveUsedUpAttempts(const Task& task) const {
  const uint32_t runs_without_reported_end =
      MayRunOnUnaccountedWorker(task) ? task.CountRunsWithoutReportedEnd() : 0;
  if (runs_without_reported_end == 0 || task.plan().long_running) {
    return false;
  }
  const Task& counting_task = task.plan().gang
                                  ? task.job->repetitions.at(task.repetition)
                                        .steps[task.step]
                                        .tasks.front()
                                  : task;
  return counting_task.failed_runs.size() + runs_without_reported_end >=
         static_cast<size_t>(MaxAttempts(*task.job));
}

std::vector<CellLeader::ReadyStep> CellLeader::CollectReadySteps() {
  std::vector<ReadyStep> ready;
  const int64_t now = unix_millis_();
  for (Job* job : jobs_.OpenJobs()) {
    for (const auto& [repetition, held] : job->repetitions) {
      if (!IsDue(*job, repetition, now)) {
        break;
      }
      for (int step = 0; step < static_cast<int>(job->plan.steps.size());
           ++step) {
        const StepState& state = held.steps[step];
        if (state.idle == 0 || !JobTable::IsUnblocked(*job, repetition, step)) {
          continue;
        }
        const auto& tasks = state.tasks;
        if (std::any_of(tasks.begin(), tasks.end(),
                        [this](const Task& task) { return IsReady(task); })) {
          ready.push_back({{}, job, repetition, step});
        }
      }
    }
  }
  return ready;
}

void CellLeader::SortReadySteps(std::vector<ReadyStep>* ready) const {
  const int64_t now = unix_millis_();
  for (ReadyStep& step : *ready) {
    const Queue* queue = QueueOf(*step.job);
    if (queue != nullptr) {
      const auto run_times = ExpectedRunTimes(*step.job, step.repetition);
      step.rank = RankStep(step.job->plan, *queue, step.step,
                           DueAt(*step.job, step.repetition), run_times,
                           WorkLeft(*step.job, step.repetition, run_times), now,
                           options_.policy);
    }
  }
  std::sort(ready->begin(), ready->end(),
            [](const ReadyStep& a, const ReadyStep& b) {
              if (a.rank != b.rank) {
                return a.rank < b.rank;
              }
              return a.job->plan.id < b.job->plan.id;
            });
}

void CellLeader::RecordReadySince(const std::vector<ReadyStep>& ready) {
  const Instant now = executor_.Now();
  for (const ReadyStep& step : ready) {
    for (Task& task :
         step.job->repetitions.at(step.repetition).steps[step.step].tasks) {
      if (task.ready_since == Instant{}) {
        task.ready_since = now;
      }
    }
  }
}

void CellLeader::RunSchedulingPass() {
  services_with_waiting_steps_.clear();
  std::vector<ReadyStep> ready = CollectReadySteps();
  if (ready.empty()) {
    return;
  }
  ++pass_;
  RecordReadySince(ready);
  SortReadySteps(&ready);
  waiting_steps_ = 0;
  const auto by_group = CandidatesByGroup();
  for (const ReadyStep& step : ready) {
    const std::vector<CandidateWorker*>& candidates =
        CandidatesFor(*step.job, by_group);
    if (IsLinkFull()) {
      executor_.Schedule(kFullLinkPause, [this] { RequestSchedulingPass(); });
      return;
    }
    if (step.job->plan.steps[step.step].gang) {
      PlaceGang(step, candidates);
    } else {
      PlaceStep(step, candidates);
    }
  }
  RequestTickets(ready, by_group);
}

bool CellLeader::IsLinkFull() const {
  return workers_.OrderDelay() > kMaxOrderDelay;
}

void CellLeader::PlaceStep(const ReadyStep& ready,
                           const std::vector<CandidateWorker*>& candidates) {
  const Queue* queue = QueueOf(*ready.job);
  const StepPlan& plan = ready.job->plan.steps[ready.step];
  auto& tasks =
      ready.job->repetitions.at(ready.repetition).steps[ready.step].tasks;
  if (queue == nullptr || AwaitsTickets(ready, candidates)) {
    return;
  }
  const bool advised = queue->advice.has_value();
  const std::string step = StepName(*ready.job, ready.repetition, ready.step);
  const WorkerGroup group = MayStartIn(*ready.job);
  // Failures in one group of workers say nothing of another.
  const std::string pool = group == 0
                               ? queue->service
                               : queue->service + "#" + std::to_string(group);
  const uint64_t last_failed_pass =
      advised ? 0 : failed_placements_.LastFailedPass(plan, pool);
  std::vector<CandidateWorker> permitted;
  if (advised) {
    permitted = MarkTickets(PlacementOf(ready, candidates));
  }
  const std::vector<CandidateWorker*> permitted_pointers =
      PointersTo(&permitted);
  const std::vector<CandidateWorker*>& usable_candidates =
      advised ? permitted_pointers : candidates;
  const auto waiting = static_cast<int>(
      std::count_if(tasks.begin(), tasks.end(),
                    [this](const Task& task) { return IsReady(task); }));
  RackSearch racks = SearchRacks(ready, usable_candidates, waiting);
  TaskRequirements need{queue->service, interference_.Intern(plan.image)};
  racks.Apply(&need);
  StepCandidates places(plan, usable_candidates, interference_,
                        options_.policy);
  // Where the rack matters, the best workers may be anywhere.
  const bool compares_all = plan.same_rack || !plan.data_rack.empty();
  const size_t enough = compares_all
                            ? usable_candidates.size()
                            : std::max(kMinComparedPlaces, 2 * tasks.size());
  size_t visited = 0;
  EvaluatePlaces(ready, need, usable_candidates, last_failed_pass, enough,
                 &visited, &places);
  for (Task& task : tasks) {
    if (!IsReady(task)) {
      continue;
    }
    if (IsLinkFull()) {
      return;
    }
    const bool suspect = IsSuspect(task);
    const auto trial_place =
        suspect
            ? ReserveTrialPlace(ready, &task, need, usable_candidates, &places)
            : std::nullopt;
    if (suspect && !trial_place) {
      continue;
    }
    int place = trial_place ? *trial_place : places.Best(task.avoided_worker);
    if (place == kNoWorker && visited < usable_candidates.size()) {
      EvaluatePlaces(ready, need, usable_candidates, last_failed_pass,
                     usable_candidates.size(), &visited, &places);
      place = places.Best(task.avoided_worker);
    }
    while (place != kNoWorker && !trial_place &&
           racks.MoveOnFrom(candidates[place]->rack)) {
      LogSpreadStep(task, racks);
      racks.Apply(&need);
      EvaluateChangedPlaces(ready, need, usable_candidates, /*pass=*/0,
                            &places);
      place = places.Best(task.avoided_worker);
    }
    if (place == kNoWorker) {
      StateOf(ready).rack_wait.Update(racks.HasRoomElsewhere(plan, waiting),
                                      executor_.Now());
      if (!advised) {
        failed_placements_.Add(plan, pool, pass_);
      }
      SpreadJob(ready.job);
      if (NoteWaitingStep(ready)) {
        // Unchanged workers have not been evaluated in this pass, but the log
        // line counts the problems of all workers.
        EvaluateChangedPlaces(ready, need, usable_candidates, /*pass=*/0,
                              &places);
        LogWaitingStep(task, ready.rank, places.CountProblems());
      }
      return;  // The step's other tasks have the same size.
    }
    CandidateWorker* candidate = candidates[place];
    const std::string ticket =
        advised ? tickets_.Find(step, candidate->id) : "";
    if (advised && ticket.empty()) {
      continue;  // The ticket for the reserved worker has to be renewed.
    }
    StartTask(&task, task.last_run + 1, candidate, ticket);
    if (suspect) {
      BeginTrial(task, cell_workers_.at(std::string(candidate->id)).session);
      candidate->accepts_work = false;
    }
    if (advised) {
      permitted[place] = *candidate;
    }
    EvaluatePlace(ready, need, *candidate, place, /*planned=*/0, &places);
  }
  // Suspects that found no worker for a trial are left.
  const bool waits =
      std::any_of(tasks.begin(), tasks.end(), [this](const Task& task) {
        return IsReady(task) && trials_.Find(task.name()) == nullptr;
      });
  StateOf(ready).rack_wait.Update(waits && places.Best("") == kNoWorker &&
                                      racks.HasRoomElsewhere(plan, waiting),
                                  executor_.Now());
}

void CellLeader::PlaceGang(const ReadyStep& ready,
                           const std::vector<CandidateWorker*>& candidates) {
  const Queue* queue = QueueOf(*ready.job);
  const StepPlan& plan = ready.job->plan.steps[ready.step];
  auto& tasks =
      ready.job->repetitions.at(ready.repetition).steps[ready.step].tasks;
  const bool all_ready =
      std::all_of(tasks.begin(), tasks.end(),
                  [this](const Task& task) { return IsReady(task); });
  if (queue == nullptr || !all_ready || AwaitsTickets(ready, candidates)) {
    return;
  }
  // All tasks of a gang are started, or none, so they are first placed on a
  // copy of the candidates. The tasks share one run number and one checkpoint.
  const bool advised = queue->advice.has_value();
  const std::string step = StepName(*ready.job, ready.repetition, ready.step);
  std::vector<CandidateWorker> planned_candidates =
      advised ? MarkTickets(PlacementOf(ready, candidates))
              : CopyCandidates(candidates);
  const std::vector<CandidateWorker*> planned_pointers =
      PointersTo(&planned_candidates);
  RackSearch racks = SearchRacks(ready, planned_pointers, plan.count);
  TaskRequirements need{queue->service, interference_.Intern(plan.image)};
  racks.Apply(&need);
  StepCandidates places(plan, planned_pointers, interference_, options_.policy);
  std::vector<int> planned_counts(planned_candidates.size(), 0);
  const auto evaluate = [&](size_t place) {
    EvaluatePlace(ready, need, planned_candidates[place], place,
                  planned_counts[place], &places);
  };
  const auto evaluate_all = [&] {
    for (size_t place = 0; place < planned_candidates.size(); ++place) {
      evaluate(place);
    }
  };
  evaluate_all();
  const bool suspect = std::any_of(tasks.begin(), tasks.end(), IsSuspect);
  if (suspect && !PrepareGangTrial(&tasks, &planned_candidates)) {
    return;
  }
  if (suspect) {
    evaluate_all();
  }
  std::vector<int> chosen;
  uint32_t run = 0;
  std::string checkpoint;
  for (Task& task : tasks) {
    int place = places.Best(task.avoided_worker);
    while (place != kNoWorker &&
           racks.MoveOnFrom(planned_candidates[place].rack)) {
      racks.Apply(&need);
      evaluate_all();
      place = places.Best(task.avoided_worker);
    }
    if (place == kNoWorker) {
      StateOf(ready).rack_wait.Update(racks.HasRoomElsewhere(plan, plan.count),
                                      executor_.Now());
      if (NoteWaitingStep(ready)) {
        LogWaitingStep(task, ready.rank, places.CountProblems());
      }
      return;
    }
    chosen.push_back(place);
    ++planned_counts[place];
    planned_candidates[place].reserved =
        planned_candidates[place].reserved + plan.size;
    evaluate(place);
    run = std::max(run, task.last_run);
    if (!task.checkpoint.empty()) {
      checkpoint = task.checkpoint;
    }
  }
  StateOf(ready).rack_wait.Update(/*waits=*/false, executor_.Now());
  if (racks.has_moved_on()) {
    LogSpreadStep(tasks.front(), racks);
  }
  for (size_t i = 0; i < tasks.size(); ++i) {
    tasks[i].checkpoint = checkpoint;
    CandidateWorker* candidate = candidates[chosen[i]];
    StartTask(&tasks[i], run + 1, candidate,
              advised ? tickets_.Find(step, candidate->id) : "");
    if (suspect) {
      BeginTrial(tasks[i],
                 cell_workers_.at(std::string(candidate->id)).session);
      candidate->accepts_work = false;
    }
  }
}

bool CellLeader::PrepareGangTrial(std::vector<Task>* gang,
                                  std::vector<CandidateWorker>* candidates) {
  for (Task& task : *gang) {
    if (NoteUnconfirmedCrash(&task)) {
      return false;
    }
  }
  const std::string service = QueueOf(*gang->front().job)->service;
  const bool likely = std::any_of(
      gang->begin(), gang->end(),
      [](const Task& task) { return IsLikelyCulprit(task.crashes); });
  if (!trials_.HasFreeSlot(service, CountListedWorkersOfService(service),
                           likely)) {
    return false;
  }
  for (CandidateWorker& candidate : *candidates) {
    const auto cell_worker = cell_workers_.find(std::string(candidate.id));
    candidate.accepts_work =
        candidate.accepts_work && !HasNewRuns(*cell_worker->second.session);
  }
  return true;
}

void CellLeader::StartTask(Task* task,
                           uint32_t number,
                           CandidateWorker* candidate,
                           const std::string& ticket) {
  const auto cell_worker = cell_workers_.find(std::string(candidate->id));
  const auto session = cell_worker->second.session;
  Run run = MakeRun(*task, number);
  run.image_id = interference_.Intern(task->plan().image);
  run.checkpoint = task->checkpoint;
  run.atypical_duration = !task->checkpoint.empty();
  run.is_copy = number == task->copy_run;
  run.start_deferred =
      run.long_running && !RequestPlacementRecord(task, cell_worker->first);
  task->last_run = number;
  JobTable::SetPlaced(task, true);
  ++counters_.starts;
  quarantine_.OnStart(std::string(candidate->id), executor_.Now());
  candidate->accepts_work =
      quarantine_.AllowsStart(std::string(candidate->id), executor_.Now()) &&
      reliability_.AllowsStart(candidate->id, session->runs().size() + 1);
  const auto waited =
      std::chrono::duration_cast<Millis>(executor_.Now() - task->ready_since);
  Json fields{{"task", run.task},
              {"run", number},
              {"worker", candidate->id},
              {"epoch", epoch_},
              {"free_cpu", candidate->capacity.cpu_millis -
                               candidate->reserved.cpu_millis -
                               candidate->best_effort_cpu},
              {"serving", candidate->serving},
              {"held", run.start_deferred},
              {"copy", run.is_copy},
              {"waited_ms", waited.count()}};
  session->Start(std::move(run), task->job->plan.payload, ticket);
  // The lease end counts on the clock of the life that began at `started_ms`.
  fields["lease_end"] = session->latest_lease_end();
  fields["started_ms"] = session->started_at();
  // Also written for a deferred start, whose order SendDeferredStarts sends
  // later; `held` is then true.
  log_.Write("info", "cell", "start ordered", fields);
  candidate->reserved = session->reserved();
  candidate->best_effort_cpu = session->best_effort_cpu();
  candidate->serving = session->serving_runs();
  candidate->serving_cpu = session->serving_cpu();
  candidate->serving_utilizations = CollectUtilizations(*session);
}

}  // namespace doorwood
