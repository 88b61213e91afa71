// SPDX-License-Identifier: Apache-2.0

// Moves work off workers that leave, or whose machine is needed for upkeep.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// A worker gets no new work for this long after the latest request to evacuate
// it.
constexpr Millis kEvacuationRequestLifetime{1000};
// Progress, in percent, at which a long-running task is ready.
constexpr int kReadyProgress = 100;
// Time for a stop order to reach a worker, and for the answer to a poll with
// the end of the run to reach the leader.
constexpr Millis kOrderAndReport{100};

}  // namespace

void CellLeader::EvacuateDrainingWorkers() {
  for (const auto& [id, cell_worker] : cell_workers_) {
    if (cell_worker.listed && cell_worker.departure.announced()) {
      EvacuateDraining(id, cell_worker);
    }
  }
}

void CellLeader::EvacuateUnlistedWorkers() {
  for (const auto& [id, cell_worker] : cell_workers_) {
    if (!cell_worker.listed && !cell_worker.session->dead()) {
      EvacuateUnlisted(id, cell_worker);
    }
  }
}

// A worker answers a poll at once while it lists ends that are not recorded
// yet, so no poll waits there for the next end until these are recorded or
// `unrecorded_pause` has passed. An end in the last moments of a worker is
// therefore lost whatever the interval between polls is. The runs are stopped
// in time for their ends, `done` or not, to be listed and fetched before the
// worker may leave. A leader that shuts down does so at once, since nobody
// polls until its successor does.
bool CellLeader::MustBeEmptied(const CellWorker& cell_worker) const {
  const Millis lead_time = options_.longest_stop + options_.tick +
                           options_.sessions.unrecorded_pause + kOrderAndReport;
  return shutdown_since_ != Instant{} ||
         executor_.Now() + lead_time >= cell_worker.departure.stays_until();
}

void CellLeader::EvacuateDraining(const std::string& id,
                                  const CellWorker& cell_worker) {
  const auto& session = cell_worker.session;
  const Millis remaining = session->incarnation().min_time_to_leave;
  const bool must_be_emptied = MustBeEmptied(cell_worker);
  std::vector<std::string> to_move;
  for (const auto& [task, run] : session->runs()) {
    const Task* known_task = jobs_.FindTask(task);
    if (known_task == nullptr || run.phase != RunPhase::kRunning) {
      continue;
    }
    const auto time_left = run.estimate * (100 - run.progress) / 100;
    const bool has_checkpoints = known_task->plan().checkpoints;
    if (run.long_running || must_be_emptied ||
        (has_checkpoints && time_left > remaining)) {
      to_move.push_back(task);
    }
  }
  StopRunsToMove(id, session, to_move, "the worker is leaving");
}

// Some workers leave without announcing it: their entry is removed, and they
// continue to run for an unknown time, so the ends of runs there could be lost
// with them. All work is therefore moved once the entry has been missing for
// `unlisted_grace`. After a partition, a worker answers the leader some time
// before its entry returns. The time before this answer therefore does not
// count.
void CellLeader::EvacuateUnlisted(const std::string& id,
                                  const CellWorker& cell_worker) {
  const Instant since = std::max(cell_worker.unlisted_since,
                                 cell_worker.session->responsive_since());
  const bool gone = cell_worker.unlisted_since != Instant{} &&
                    executor_.Now() - since >= options_.unlisted_grace;
  if (!gone || !cell_worker.session->responsive()) {
    return;
  }
  std::vector<std::string> to_move;
  for (const auto& [task, run] : cell_worker.session->runs()) {
    if (jobs_.FindTask(task) != nullptr && run.phase == RunPhase::kRunning) {
      to_move.push_back(task);
    }
  }
  StopRunsToMove(id, cell_worker.session, to_move,
                 "the worker is no longer listed");
}

void CellLeader::StopRunsToMove(const std::string& id,
                                const std::shared_ptr<WorkerSession>& session,
                                const std::vector<std::string>& tasks,
                                std::string_view cause) {
  const auto cell_worker = cell_workers_.find(id);
  const Instant stays_until = cell_worker == cell_workers_.end()
                                  ? Instant{}
                                  : cell_worker->second.departure.stays_until();
  const Json stays = stays_until == Instant{}
                         ? Json()
                         : Json(std::chrono::duration_cast<Millis>(
                                    stays_until - executor_.Now())
                                    .count());
  for (const std::string& task : tasks) {
    log_.Write(
        "info", "cell", "run is stopped to be moved off its worker",
        {{"task", task},
         {"worker", id},
         {"cause", cause},
         {"remaining_ms", session->incarnation().min_time_to_leave.count()},
         {"stays_ms", stays}});
    ++counters_.stops;
    session->Stop(task);
  }
}

bool CellLeader::MayStopForUpkeep(const Task& task) const {
  const StepPlan& plan = task.plan();
  if (!plan.max_unavailable) {
    return true;
  }
  const std::string step = StepName(*task.job, task.repetition, task.step);
  int ready_others = 0;
  for (const auto& [id, cell_worker] : cell_workers_) {
    for (const auto& [name, run] : cell_worker.session->runs()) {
      const bool is_ready =
          run.phase == RunPhase::kRunning && run.progress >= kReadyProgress;
      ready_others +=
          run.step == step && name != task.name() && is_ready ? 1 : 0;
    }
  }
  const int others_not_ready = plan.count - 1 - ready_others;
  return others_not_ready < *plan.max_unavailable;
}

Occupancy CellLeader::EvacuateWorker(const std::string& worker,
                                     EvacuationScope scope) {
  const auto found = cell_workers_.find(worker);
  if (found == cell_workers_.end()) {
    return Occupancy::kEmpty;
  }
  CellWorker& cell_worker = found->second;
  cell_worker.evacuated_until = executor_.Now() + kEvacuationRequestLifetime;
  const auto session = cell_worker.session;
  Occupancy occupancy = session->has_unrecorded_ends() ? Occupancy::kRestartable
                                                       : Occupancy::kEmpty;
  std::vector<std::string> long_running;
  std::vector<std::string> movable;
  std::vector<std::string> others;
  for (const auto& [task, run] : session->runs()) {
    const Task* known_task = jobs_.FindTask(task);
    const bool is_running =
        known_task != nullptr && run.phase == RunPhase::kRunning;
    if (is_running && run.long_running) {
      long_running.push_back(task);
    } else if (is_running) {
      (known_task->plan().checkpoints ? movable : others).push_back(task);
    }
    occupancy =
        std::max(occupancy, run.long_running && run.phase != RunPhase::kStopping
                                ? Occupancy::kMustNotStop
                                : Occupancy::kRestartable);
  }
  constexpr std::string_view kCause =
      "the worker's machine is needed for upkeep";
  StopRunsToMove(worker, session, movable, kCause);
  if (scope == EvacuationScope::kAll && occupancy != Occupancy::kMustNotStop) {
    StopRunsToMove(worker, session, others, kCause);
  }
  // Checked one at a time: each task that is stopped adds to the number of
  // tasks of its step that are not ready.
  for (const std::string& task : long_running) {
    if (MayStopForUpkeep(*jobs_.FindTask(task))) {
      StopRunsToMove(worker, session, {task}, kCause);
    }
  }
  return occupancy;
}

}  // namespace doorwood
