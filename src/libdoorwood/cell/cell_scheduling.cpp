// SPDX-License-Identifier: Apache-2.0

// Starting and moving a cell's work. What is decided lies in policy/; here are
// the facts it is given and the orders that follow.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Gathers what happens in one moment into one pass.
constexpr Millis kScheduleDelay{2};
// After a pass that took so long, the next one waits this many times as long,
// so that passes take at most a fifth of the processor; at most kLongestPause.
constexpr int kPauseOfPass = 4;
constexpr Millis kLongestPause{80};

std::vector<WorkerRoom> Copies(const std::vector<WorkerRoom*>& rooms) {
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

void CellLeader::WakeScheduler() {
  if (schedule_posted_ || !leading()) {
    return;
  }
  schedule_posted_ = true;
  const auto pause = std::chrono::ceil<Millis>(next_pass_ - executor_.Now());
  executor_.Schedule(std::max(kScheduleDelay, pause), [this] {
    schedule_posted_ = false;
    if (!MayOrder() || closed_read_ == Instant{} || IsHandingOver()) {
      return;
    }
    const Instant begin = executor_.Now();
    Schedule();
    const Instant end = executor_.Now();
    next_pass_ = end + std::min<Instant::duration>((end - begin) * kPauseOfPass,
                                                   kLongestPause);
  });
}

bool CellLeader::IsReady(const Task& task) const {
  return !task.done && !task.placed && !task.unaccounted &&
         !task.crash_unrecorded && executor_.Now() >= task.rests_until &&
         !MayBeAtLastAttempt(task);
}

// Failures that the earlier leader heard of, but could not record, are listed
// by workers that a successor may not reach yet: until it has heard them, or
// their leases are over, or their records don't name the task, each such run
// counts as a failure.
bool CellLeader::MayBeAtLastAttempt(const Task& task) const {
  const uint32_t unheard = MayRunUnheard(task) ? task.UnheardEnds() : 0;
  if (unheard == 0 || task.plan().lasting) {
    return false;
  }
  const Task& counter =
      task.plan().gang
          ? task.job->times[task.time].steps[task.step].tasks.front()
          : task;
  return counter.failed_runs.size() + unheard >=
         static_cast<size_t>(MaxAttempts(*task.job));
}

std::vector<CellLeader::ReadyStep> CellLeader::CollectReady() {
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

void CellLeader::RankReady(std::vector<ReadyStep>* ready) const {
  const int64_t now = unix_millis_();
  for (ReadyStep& step : *ready) {
    const Queue* queue = QueueOf(*step.job);
    if (queue != nullptr) {
      const auto run_times = ExpectRunTimes(*step.job, step.time);
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

void CellLeader::NoteReadySince(const std::vector<ReadyStep>& ready) {
  const Instant now = executor_.Now();
  for (const ReadyStep& step : ready) {
    for (Task& task : step.job->times[step.time].steps[step.step].tasks) {
      if (task.ready_since == Instant{}) {
        task.ready_since = now;
      }
    }
  }
}

void CellLeader::Schedule() {
  std::vector<ReadyStep> ready = CollectReady();
  if (ready.empty()) {
    return;
  }
  ++pass_;
  NoteReadySince(ready);
  RankReady(&ready);
  waiting_steps_ = 0;
  const std::vector<WorkerRoom*> rooms = CollectRooms();
  for (const ReadyStep& step : ready) {
    if (step.job->plan.steps[step.step].gang) {
      PlaceGang(step, rooms);
    } else {
      PlaceStep(step, rooms);
    }
  }
}

std::vector<WorkerRoom> CellLeader::PermittedRooms(
    const ReadyStep& ready,
    const std::vector<WorkerRoom*>& rooms) {
  const std::string step = StepName(*ready.job, ready.time, ready.step);
  std::vector<WorkerRoom> permitted = Copies(rooms);
  std::vector<std::string> unasked;
  for (WorkerRoom& room : permitted) {
    const std::string worker(room.id);
    if (room.open && tickets_.Find(step, worker).empty()) {
      room.open = false;
      unasked.push_back(worker);
    }
  }
  tickets_.Want(step, unasked);
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
  const uint64_t tried = advised ? 0 : hopeless_.TriedIn(plan, queue->service);
  std::vector<WorkerRoom> permitted;
  if (advised) {
    permitted = PermittedRooms(ready, rooms);
  }
  const std::vector<WorkerRoom*> ticketed = PointersTo(&permitted);
  const std::vector<WorkerRoom*>& seen = advised ? ticketed : rooms;
  std::string rack =
      plan.same_rack ? RackOfStep(*ready.job, ready.time, ready.step) : "";
  TaskNeed need{queue->service, interference_.Intern(plan.image), rack};
  StepPlaces places(plan, seen, interference_, options_.policy);
  JudgeChanged(ready, need, seen, tried, &places);
  const std::string step = StepName(*ready.job, ready.time, ready.step);
  for (Task& task : tasks) {
    if (!IsReady(task)) {
      continue;
    }
    const bool suspect = IsSuspect(task);
    const auto trial = suspect ? PlaceSuspect(ready, &task, need, seen, &places)
                               : std::nullopt;
    if (suspect && !trial) {
      continue;
    }
    const int place = trial ? *trial : places.Best(task.failed_on);
    if (place == kNoWorker) {
      if (!advised) {
        hopeless_.Add(plan, queue->service, pass_);
      }
      if (IsTimeToTell(ready)) {
        // Workers that have not changed were not judged in this pass.
        JudgeChanged(ready, need, seen, /*pass=*/0, &places);
        TellWaiting(task, ready.rank, places.CountProblems());
      }
      return;  // the step's other tasks are of the same size
    }
    WorkerRoom* room = rooms[place];
    const std::string ticket =
        advised ? tickets_.Find(step, std::string(room->id)) : "";
    if (advised && ticket.empty()) {
      trials_.End(task.name());  // it ran out while the worker was kept
      continue;
    }
    StartTask(&task, task.last_run + 1, room, ticket);
    if (suspect) {
      BeginTrial(task, members_.at(std::string(room->id)).session);
      room->open = false;
    }
    if (advised) {
      permitted[place] = *room;
    }
    if (plan.same_rack && rack.empty()) {
      rack = room->rack;
      need.rack = rack;
      JudgeChanged(ready, need, seen, /*pass=*/0, &places);
    }
    JudgePlace(ready, need, *room, place, /*planned=*/0, &places);
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
  // Place on a copy first: all or none. A member's run and saved text are
  // those of the whole gang.
  const bool advised = queue->advice.has_value();
  std::vector<WorkerRoom> trial =
      advised ? PermittedRooms(ready, rooms) : Copies(rooms);
  const std::vector<WorkerRoom*> seen = PointersTo(&trial);
  const std::string rack =
      plan.same_rack ? RackOfStep(*ready.job, ready.time, ready.step) : "";
  const TaskNeed need{queue->service, interference_.Intern(plan.image), rack};
  StepPlaces places(plan, seen, interference_, options_.policy);
  std::vector<int> planned(trial.size(), 0);
  const auto judge = [&](size_t place) {
    JudgePlace(ready, need, trial[place], place, planned[place], &places);
  };
  for (size_t place = 0; place < trial.size(); ++place) {
    judge(place);
  }
  const bool suspect = std::any_of(tasks.begin(), tasks.end(), IsSuspect);
  if (suspect && !KeepNewRunsApart(&tasks, &trial)) {
    return;
  }
  for (size_t place = 0; suspect && place < trial.size(); ++place) {
    judge(place);
  }
  std::vector<int> chosen;
  uint32_t run = 0;
  std::string checkpoint;
  for (Task& task : tasks) {
    const int place = places.Best(task.failed_on);
    if (place == kNoWorker) {
      if (IsTimeToTell(ready)) {
        TellWaiting(task, ready.rank, places.CountProblems());
      }
      return;
    }
    chosen.push_back(place);
    ++planned[place];
    trial[place].reserved = trial[place].reserved + plan.size;
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
      BeginTrial(tasks[i], members_.at(std::string(room->id)).session);
      room->open = false;
    }
  }
}

bool CellLeader::KeepNewRunsApart(std::vector<Task>* gang,
                                  std::vector<WorkerRoom>* rooms) {
  for (Task& task : *gang) {
    if (NoteUntold(&task)) {
      return false;
    }
  }
  const std::string service = QueueOf(*gang->front().job)->service;
  const bool likely = std::any_of(
      gang->begin(), gang->end(),
      [](const Task& task) { return IsLikelyCulprit(task.crashes); });
  if (!trials_.HasPlace(service, CountWorkersOf(service), likely)) {
    return false;
  }
  for (WorkerRoom& room : *rooms) {
    const auto member = members_.find(std::string(room.id));
    room.open = room.open && !HasNewRuns(*member->second.session);
  }
  return true;
}

void CellLeader::StartTask(Task* task,
                           uint32_t number,
                           WorkerRoom* room,
                           const std::string& ticket) {
  const auto member = members_.find(std::string(room->id));
  const auto session = member->second.session;
  Run run = MakeRun(*task, number);
  run.image = interference_.Intern(task->plan().image);
  run.checkpoint = task->checkpoint;
  run.odd_time = !task->checkpoint.empty();
  run.held = run.lasting && !ClaimPlace(task, member->first);
  task->last_run = number;
  JobTable::SetPlaced(task, true);
  task->job->begun = true;
  ++counters_.starts;
  trust_.OnStart(std::string(room->id), executor_.Now());
  room->open = trust_.Allows(std::string(room->id), executor_.Now());
  const auto waited =
      std::chrono::duration_cast<Millis>(executor_.Now() - task->ready_since);
  log_.Write("info", "cell", "start ordered",
             {{"task", run.task},
              {"run", number},
              {"worker", room->id},
              {"epoch", epoch_},
              {"free_cpu", room->capacity.cpu_millis -
                               room->reserved.cpu_millis - room->fill_cpu},
              {"serving", room->serving},
              {"held", run.held},
              {"waited_ms", waited.count()}});
  session->Start(std::move(run), task->job->plan.payload, ticket);
  room->reserved = session->reserved();
  room->fill_cpu = session->fill_cpu();
  room->serving = session->serving();
  room->serving_cpu = session->serving_cpu();
  room->strains = CollectStrains(*session);
}

}  // namespace doorwood
