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
// duration, up to kLongestPause, so that passes take at most a fifth of the
// processor.
constexpr int kPauseToPassRatio = 4;
constexpr Millis kLongestPause{80};

std::vector<WorkerRoom> CopyCandidates(const std::vector<WorkerRoom*>& rooms) {
  std::vector<WorkerRoom> copies;
  copies.reserve(rooms.size());
  for (const WorkerRoom* room : rooms) {
    copies.push_back(*room);
  }
  return copies;
}

std::vector<WorkerRoom*> PointersTo(std::vector<WorkerRoom>* rooms) {
  std::vector<WorkerRoom*> pointers;
  pointers.reserve(rooms->size());
  for (WorkerRoom& room : *rooms) {
    pointers.push_back(&room);
  }
  return pointers;
}

}  // namespace

void CellLeader::RequestSchedulingPass() {
  if (schedule_posted_ || !leading()) {
    return;
  }
  schedule_posted_ = true;
  const auto pause = std::chrono::ceil<Millis>(next_pass_ - executor_.Now());
  executor_.Schedule(std::max(kScheduleDelay, pause), [this] {
    schedule_posted_ = false;
    if (!MaySendOrders() || closed_read_ == Instant{} || IsHandingOver()) {
      return;
    }
    const Instant begin = executor_.Now();
    RunSchedulingPass();
    const Instant end = executor_.Now();
    next_pass_ = end + std::min<Instant::duration>(
                           (end - begin) * kPauseToPassRatio, kLongestPause);
  });
}

bool CellLeader::IsReady(const Task& task) const {
  return !task.done && !task.placed && !task.unaccounted &&
         !task.crash_unrecorded && executor_.Now() >= task.rests_until &&
         !MayBeAtLastAttempt(task);
}

// Failures that the previous leader received but could not record are listed by
// workers that its successor may not have contacted yet. Each such run counts
// as a failure until the successor has contacted the worker, the worker's
// leases have expired, or the worker's record does not name the task.
bool CellLeader::MayBeAtLastAttempt(const Task& task) const {
  const uint32_t unreported_ends =
      MayRunOnUncontacted(task) ? task.UnheardEnds() : 0;
  if (unreported_ends == 0 || task.plan().lasting) {
    return false;
  }
  const Task& counting_task =
      task.plan().gang
          ? task.job->times[task.time].steps[task.step].tasks.front()
          : task;
  return counting_task.failed_runs.size() + unreported_ends >=
         static_cast<size_t>(MaxAttempts(*task.job));
}

std::vector<CellLeader::ReadyStep> CellLeader::CollectReadySteps() {
  std::vector<ReadyStep> ready;
  const int64_t now = unix_millis_();
  for (Job* job : jobs_.OpenJobs()) {
    for (int time = 0; time < job->plan.repetitions(); ++time) {
      if (!IsDue(*job, time, now)) {
        break;
      }
      for (int step = 0; step < static_cast<int>(job->plan.steps.size());
           ++step) {
        const StepState& state = job->times[time].steps[step];
        if (state.idle == 0 || !JobTable::IsUnblocked(*job, time, step)) {
          continue;
        }
        const auto& tasks = state.tasks;
        if (std::any_of(tasks.begin(), tasks.end(),
                        [this](const Task& task) { return IsReady(task); })) {
          ready.push_back({{}, job, time, step});
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
      const auto run_times = ExpectedRunTimes(*step.job, step.time);
      step.rank = RankStep(step.job->plan, *queue, step.step,
                           DueAt(*step.job, step.time), run_times,
                           WorkLeft(*step.job, step.time, run_times), now,
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
    for (Task& task : step.job->times[step.time].steps[step.step].tasks) {
      if (task.ready_since == Instant{}) {
        task.ready_since = now;
      }
    }
  }
}

void CellLeader::RunSchedulingPass() {
  std::vector<ReadyStep> ready = CollectReadySteps();
  if (ready.empty()) {
    return;
  }
  ++pass_;
  RecordReadySince(ready);
  SortReadySteps(&ready);
  waiting_steps_ = 0;
  const std::vector<WorkerRoom*> rooms = CollectCandidates();
  for (const ReadyStep& step : ready) {
    if (step.job->plan.steps[step.step].gang) {
      PlaceGang(step, rooms);
    } else {
      PlaceStep(step, rooms);
    }
  }
}

std::vector<WorkerRoom> CellLeader::CandidatesWithTickets(
    const ReadyStep& ready,
    const std::vector<WorkerRoom*>& rooms) {
  const std::string step = StepName(*ready.job, ready.time, ready.step);
  std::vector<WorkerRoom> permitted = CopyCandidates(rooms);
  std::vector<std::string> without_ticket;
  for (WorkerRoom& room : permitted) {
    const std::string worker(room.id);
    if (room.open && tickets_.Find(step, worker).empty()) {
      room.open = false;
      without_ticket.push_back(worker);
    }
  }
  tickets_.RequestTickets(step, without_ticket);
  return permitted;
}

void CellLeader::PlaceStep(const ReadyStep& ready,
                           const std::vector<WorkerRoom*>& rooms) {
  const Queue* queue = QueueOf(*ready.job);
  const StepPlan& plan = ready.job->plan.steps[ready.step];
  auto& tasks = ready.job->times[ready.time].steps[ready.step].tasks;
  if (queue == nullptr) {
    return;
  }
  const bool advised = queue->advice.has_value();
  const uint64_t last_failed_pass =
      advised ? 0 : hopeless_.TriedIn(plan, queue->service);
  std::vector<WorkerRoom> permitted;
  if (advised) {
    permitted = CandidatesWithTickets(ready, rooms);
  }
  const std::vector<WorkerRoom*> permitted_rooms = PointersTo(&permitted);
  const std::vector<WorkerRoom*>& usable_rooms =
      advised ? permitted_rooms : rooms;
  std::string rack =
      plan.same_rack ? RackOfStep(*ready.job, ready.time, ready.step) : "";
  TaskNeed need{queue->service, interference_.Intern(plan.image), rack};
  StepPlaces places(plan, usable_rooms, interference_, options_.policy);
  EvaluateChangedPlaces(ready, need, usable_rooms, last_failed_pass, &places);
  const std::string step = StepName(*ready.job, ready.time, ready.step);
  for (Task& task : tasks) {
    if (!IsReady(task)) {
      continue;
    }
    const bool suspect = IsSuspect(task);
    const auto trial_place =
        suspect ? PlaceSuspect(ready, &task, need, usable_rooms, &places)
                : std::nullopt;
    if (suspect && !trial_place) {
      continue;
    }
    const int place = trial_place ? *trial_place : places.Best(task.failed_on);
    if (place == kNoWorker) {
      if (!advised) {
        hopeless_.Add(plan, queue->service, pass_);
      }
      if (ShouldLogWaitingStep(ready)) {
        // Unchanged workers have not been evaluated in this pass, but the log
        // line counts the problems of all workers.
        EvaluateChangedPlaces(ready, need, usable_rooms, /*pass=*/0, &places);
        LogWaitingStep(task, ready.rank, places.CountProblems());
      }
      return;  // The step's other tasks have the same size.
    }
    WorkerRoom* room = rooms[place];
    const std::string ticket =
        advised ? tickets_.Find(step, std::string(room->id)) : "";
    if (advised && ticket.empty()) {
      // The ticket expired while the worker was reserved.
      trials_.End(task.name());
      continue;
    }
    StartTask(&task, task.last_run + 1, room, ticket);
    if (suspect) {
      BeginTrial(task, cell_workers_.at(std::string(room->id)).session);
      room->open = false;
    }
    if (advised) {
      permitted[place] = *room;
    }
    if (plan.same_rack && rack.empty()) {
      rack = room->rack;
      need.rack = rack;
      EvaluateChangedPlaces(ready, need, usable_rooms, /*pass=*/0, &places);
    }
    EvaluatePlace(ready, need, *room, place, /*planned=*/0, &places);
  }
}

void CellLeader::PlaceGang(const ReadyStep& ready,
                           const std::vector<WorkerRoom*>& rooms) {
  const Queue* queue = QueueOf(*ready.job);
  const StepPlan& plan = ready.job->plan.steps[ready.step];
  auto& tasks = ready.job->times[ready.time].steps[ready.step].tasks;
  const bool all_ready =
      std::all_of(tasks.begin(), tasks.end(),
                  [this](const Task& task) { return IsReady(task); });
  if (queue == nullptr || !all_ready) {
    return;
  }
  // A gang is started as a whole or not at all, so its tasks are first placed
  // on a copy. All of them share one run number and one checkpoint.
  const bool advised = queue->advice.has_value();
  std::vector<WorkerRoom> planned_rooms =
      advised ? CandidatesWithTickets(ready, rooms) : CopyCandidates(rooms);
  const std::vector<WorkerRoom*> room_pointers = PointersTo(&planned_rooms);
  const std::string rack =
      plan.same_rack ? RackOfStep(*ready.job, ready.time, ready.step) : "";
  const TaskNeed need{queue->service, interference_.Intern(plan.image), rack};
  StepPlaces places(plan, room_pointers, interference_, options_.policy);
  std::vector<int> planned_counts(planned_rooms.size(), 0);
  const auto judge = [&](size_t place) {
    EvaluatePlace(ready, need, planned_rooms[place], place,
                  planned_counts[place], &places);
  };
  for (size_t place = 0; place < planned_rooms.size(); ++place) {
    judge(place);
  }
  const bool suspect = std::any_of(tasks.begin(), tasks.end(), IsSuspect);
  if (suspect && !CloseWorkersWithNewRuns(&tasks, &planned_rooms)) {
    return;
  }
  for (size_t place = 0; suspect && place < planned_rooms.size(); ++place) {
    judge(place);
  }
  std::vector<int> chosen;
  uint32_t run = 0;
  std::string checkpoint;
  for (Task& task : tasks) {
    const int place = places.Best(task.failed_on);
    if (place == kNoWorker) {
      if (ShouldLogWaitingStep(ready)) {
        LogWaitingStep(task, ready.rank, places.CountProblems());
      }
      return;
    }
    chosen.push_back(place);
    ++planned_counts[place];
    planned_rooms[place].reserved = planned_rooms[place].reserved + plan.size;
    judge(place);
    run = std::max(run, task.last_run);
    if (!task.checkpoint.empty()) {
      checkpoint = task.checkpoint;
    }
  }
  const std::string step = StepName(*ready.job, ready.time, ready.step);
  for (size_t i = 0; i < tasks.size(); ++i) {
    tasks[i].checkpoint = checkpoint;
    WorkerRoom* room = rooms[chosen[i]];
    StartTask(&tasks[i], run + 1, room,
              advised ? tickets_.Find(step, std::string(room->id)) : "");
    if (suspect) {
      BeginTrial(tasks[i], cell_workers_.at(std::string(room->id)).session);
      room->open = false;
    }
  }
}

bool CellLeader::CloseWorkersWithNewRuns(std::vector<Task>* gang,
                                         std::vector<WorkerRoom>* rooms) {
  for (Task& task : *gang) {
    if (NoteUnreportedCrash(&task)) {
      return false;
    }
  }
  const std::string service = QueueOf(*gang->front().job)->service;
  const bool likely = std::any_of(
      gang->begin(), gang->end(),
      [](const Task& task) { return IsLikelyCulprit(task.crashes); });
  if (!trials_.HasPlace(service, CountWorkersOfService(service), likely)) {
    return false;
  }
  for (WorkerRoom& room : *rooms) {
    const auto cell_worker = cell_workers_.find(std::string(room.id));
    room.open = room.open && !HasNewRuns(*cell_worker->second.session);
  }
  return true;
}

void CellLeader::StartTask(Task* task,
                           uint32_t number,
                           WorkerRoom* room,
                           const std::string& ticket) {
  const auto cell_worker = cell_workers_.find(std::string(room->id));
  const auto session = cell_worker->second.session;
  Run run = MakeRun(*task, number);
  run.image_id = interference_.Intern(task->plan().image);
  run.checkpoint = task->checkpoint;
  run.atypical_duration = !task->checkpoint.empty();
  run.start_deferred =
      run.long_running && !RequestPlacementRecord(task, cell_worker->first);
  task->last_run = number;
  JobTable::SetPlaced(task, true);
  task->job->begun = true;
  ++counters_.starts;
  trust_.OnStart(std::string(room->id), executor_.Now());
  room->open = trust_.Allows(std::string(room->id), executor_.Now());
  const auto waited =
      std::chrono::duration_cast<Millis>(executor_.Now() - task->ready_since);
  log_.Write(
      "info", "cell", "start ordered",
      {{"task", run.task},
       {"run", number},
       {"worker", room->id},
       {"epoch", epoch_},
       {"free_cpu", room->capacity.cpu_millis - room->reserved.cpu_millis -
                        room->best_effort_cpu},
       {"serving", room->serving},
       {"held", run.start_deferred},
       {"waited_ms", waited.count()}});
  session->Start(std::move(run), task->job->plan.payload, ticket);
  room->reserved = session->reserved();
  room->best_effort_cpu = session->best_effort_cpu();
  room->serving = session->serving_runs();
  room->serving_cpu = session->serving_cpu();
  room->strains = CollectUtilizations(*session);
}

}  // namespace doorwood
