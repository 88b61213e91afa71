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

}  // namespace

void CellLeader::EvacuateLeavingWorkers() {
  for (const auto& [id, cell_worker] : cell_workers_) {
    if (cell_worker.listed && cell_worker.session->incarnation().draining) {
      EvacuateDraining(id, cell_worker);
    } else if (!cell_worker.listed && !cell_worker.session->dead()) {
      EvacuateUnlisted(id, cell_worker);
    }
  }
}

void CellLeader::EvacuateDraining(const std::string& id,
                                  const CellWorker& cell_worker) {
  const auto& session = cell_worker.session;
  const Millis remaining = session->incarnation().min_time_to_leave;
  std::vector<std::string> to_move;
  for (const auto& [task, run] : session->runs()) {
    const Task* known_task = jobs_.FindTask(task);
    if (known_task == nullptr || run.phase != RunPhase::kRunning) {
      continue;
    }
    const auto time_left = run.estimate * (100 - run.progress) / 100;
    const bool has_checkpoints = known_task->plan().checkpoints;
    if (run.long_running || (has_checkpoints && time_left > remaining)) {
      to_move.push_back(task);
    }
  }
  StopRunsToMove(id, session, to_move, "the worker is leaving");
}

// Some workers leave without announcing it: their entry is removed, and they
// continue to run for an unknown time. Work that can continue elsewhere is
// therefore moved once the entry has been missing for `unlisted_grace`. After a
// partition, a worker answers the leader some time before its entry returns.
// The time before this answer therefore does not count.
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
    const Task* known_task = jobs_.FindTask(task);
    if (known_task != nullptr && run.phase == RunPhase::kRunning &&
        (run.long_running || known_task->plan().checkpoints)) {
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
  for (const std::string& task : tasks) {
    log_.Write(
        "info", "cell", "run is stopped to be moved off its worker",
        {{"task", task},
         {"worker", id},
         {"cause", cause},
         {"remaining_ms", session->incarnation().min_time_to_leave.count()}});
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

Occupancy CellLeader::EvacuateWorker(const std::string& worker) {
  const auto found = cell_workers_.find(worker);
  if (found == cell_workers_.end()) {
    return Occupancy::kEmpty;
  }
  CellWorker& cell_worker = found->second;
  cell_worker.evacuated_until = executor_.Now() + kEvacuationRequestLifetime;
  const auto session = cell_worker.session;
  Occupancy occupancy = Occupancy::kEmpty;
  std::vector<std::string> long_running;
  std::vector<std::string> with_checkpoints;
  for (const auto& [task, run] : session->runs()) {
    const Task* known_task = jobs_.FindTask(task);
    const bool is_running =
        known_task != nullptr && run.phase == RunPhase::kRunning;
    if (is_running && run.long_running) {
      long_running.push_back(task);
    } else if (is_running && known_task->plan().checkpoints) {
      with_checkpoints.push_back(task);
    }
    occupancy =
        std::max(occupancy, run.long_running && run.phase != RunPhase::kStopping
                                ? Occupancy::kMustNotStop
                                : Occupancy::kRestartable);
  }
  StopRunsToMove(worker, session, with_checkpoints,
                 "the worker's machine is needed for upkeep");
  // Checked one at a time: each task that is stopped adds to the number of
  // tasks of its step that are not ready.
  for (const std::string& task : long_running) {
    if (MayStopForUpkeep(*jobs_.FindTask(task))) {
      StopRunsToMove(worker, session, {task},
                     "the worker's machine is needed for upkeep");
    }
  }
  return occupancy;
}

}  // namespace doorwood
