// SPDX-License-Identifier: Apache-2.0

// Best-effort work next to latency-critical services: collects the inputs for
// policy/, sends the paces that policy/ decides on, and moves runs that stay
// throttled.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Age from which a run's measurements are taken to cover its load: a worker's
// measurements cover the last half second, and the report itself may be
// nearly as old.
constexpr Millis kMeasurementDelay{900};
// A best-effort run with checkpoints is moved to another worker if its wanted
// pace is at most kStuckPace percent and it has been below its full speed, at
// any pace, for longer than kStuckDuration.
constexpr int kStuckPace = 20;
constexpr Millis kStuckDuration{900};
constexpr double kMillisPerCore = 1000.0;
// Weight of the newest measurement in a serving task's moving average.
constexpr double kNewestMeasurementWeight = 0.5;

// Adds the reported measurement to the run's moving average. Returns for how
// long the average has been at or above `over_target_share` times the target;
// zero: it is below.
Millis UpdateTimeOverTarget(Run* run, Instant now, double over_target_share) {
  const auto measurement = static_cast<double>(run->measurement);
  run->mean_measurement =
      run->mean_measurement < 0
          ? measurement
          : kNewestMeasurementWeight * measurement +
                (1.0 - kNewestMeasurementWeight) * run->mean_measurement;
  const auto target = static_cast<double>(run->latency_target.count());
  if (run->mean_measurement < over_target_share * target) {
    run->above_target_since = Instant{};
    return Millis(0);
  }
  if (run->above_target_since == Instant{}) {
    run->above_target_since = now;
  }
  return std::chrono::duration_cast<Millis>(now - run->above_target_since);
}

}  // namespace

std::vector<ServingUtilization> CellLeader::CollectUtilizations(
    const WorkerSession& session) const {
  std::vector<ServingUtilization> utilizations;
  const Instant now = executor_.Now();
  for (const auto& [task, run] : session.runs()) {
    if (run.latency_target <= Millis(0)) {
      continue;
    }
    ServingUtilization serving;
    serving.image = run.image_id;
    serving.max_utilization = interference_.UtilizationAtShare(
        run.image_id, run.latency_target, options_.policy.wanted_tail_share);
    serving.utilization =
        run.measurement > 0
            ? interference_.Utilization(run.image_id, run.measurement,
                                        run.latency_target)
            : options_.policy.interference.initial_load;
    // The measurements of a new task don't show its full load yet.
    if (now - run.ordered < kMeasurementDelay) {
      serving.utilization = std::max(serving.utilization,
                                     options_.policy.interference.initial_load);
    }
    utilizations.push_back(serving);
  }
  for (const auto& [task, run] : session.runs()) {
    if (!run.best_effort) {
      continue;
    }
    const double full_cores =
        static_cast<double>(run.size.cpu_millis) / kMillisPerCore;
    const bool is_new = now - run.ordered < kMeasurementDelay;
    const double cores = PendingCores(full_cores, is_new, run.wanted_pace);
    for (ServingUtilization& serving : utilizations) {
      serving.utilization +=
          interference_.InterferencePerCore(serving.image, run.image_id) *
          cores;
    }
  }
  return utilizations;
}

void CellLeader::UpdatePaces(WorkerSession& session) {
  std::vector<PacedServingTask> serving;
  std::vector<PacedBestEffortTask> best_effort_runs;
  std::vector<BestEffortLoad> best_effort_loads;
  std::vector<std::string> observed;
  for (const auto& [task, run] : session.runs()) {
    if (run.latency_target > Millis(0) && run.measurement > 0) {
      observed.push_back(task);
    }
    if (run.best_effort && run.phase == RunPhase::kRunning) {
      const double full_cores =
          static_cast<double>(run.size.cpu_millis) / kMillisPerCore;
      const double used_cores =
          run.measurement >= 0
              ? static_cast<double>(run.measurement) / kMillisPerCore
              : full_cores;
      best_effort_runs.push_back(
          {task, run.image_id, full_cores, used_cores, run.wanted_pace});
      best_effort_loads.push_back({run.image_id, used_cores});
    }
  }
  for (const std::string& task : observed) {
    Run* run = session.FindRun(task);
    serving.push_back(
        {run->image_id, run->measurement, run->latency_target,
         UpdateTimeOverTarget(run, executor_.Now(),
                              options_.policy.over_target_tail_share)});
    run->load = interference_.Observe(run->image_id, run->measurement,
                                      run->latency_target, best_effort_loads,
                                      run->load);
  }
  if (best_effort_runs.empty()) {
    return;
  }
  for (const PaceDecision& decision :
       DecidePaces(serving, best_effort_runs, interference_, options_.policy)) {
    ++counters_.paces;
    session.SetPace(decision.task, decision.pace);
  }
  MoveStuckBestEffortRuns(session);
}

void CellLeader::MoveStuckBestEffortRuns(WorkerSession& session) {
  const Instant now = executor_.Now();
  std::vector<std::string> stuck;
  for (const auto& [task, run] : session.runs()) {
    const bool is_stuck = run.best_effort && !run.long_running &&
                          run.phase == RunPhase::kRunning &&
                          run.wanted_pace <= kStuckPace &&
                          run.throttled_since != Instant{} &&
                          now - run.throttled_since > kStuckDuration;
    const Task* known_task = is_stuck ? jobs_.FindTask(task) : nullptr;
    if (known_task != nullptr && known_task->plan().checkpoints) {
      stuck.push_back(task);
    }
  }
  for (const std::string& task : stuck) {
    log_.Write("info", "cell",
               "best-effort run is stopped to be moved to another worker",
               {{"task", task}, {"worker", session.incarnation().id}});
    ++counters_.stops;
    jobs_.FindTask(task)->avoided_worker = session.incarnation().id;
    session.Stop(task);
  }
}

}  // namespace doorwood
