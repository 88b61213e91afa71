// SPDX-License-Identifier: Apache-2.0

#include "doorwood/pacing.h"

#include <algorithm>
#include <utility>

namespace doorwood {
namespace {

constexpr int kFullPace = 100;

double ShareOfTarget(const PacedServingTask& task) {
  return static_cast<double>(task.tail_latency_ms) /
         static_cast<double>(std::max<int64_t>(1, task.target.count()));
}

// Smallest difference between wanted and current utilization, over all serving
// tasks; 1 if there are none.
double Headroom(const std::vector<PacedServingTask>& serving,
                const InterferenceModel& model,
                const PolicyOptions& options) {
  double least = 1.0;
  for (const PacedServingTask& task : serving) {
    const double wanted = model.UtilizationAtShare(task.image, task.target,
                                                   options.wanted_tail_share);
    least = std::min(
        least, wanted - model.Utilization(task.image, task.tail_latency_ms,
                                          task.target));
  }
  return least;
}

// Highest utilization that a core of the best-effort task adds to any of the
// serving tasks.
double WorstInterference(const std::vector<PacedServingTask>& serving,
                         const PacedBestEffortTask& best_effort_task,
                         const InterferenceModel& model) {
  double worst = 0;
  for (const PacedServingTask& task : serving) {
    worst = std::max(
        worst, model.InterferencePerCore(task.image, best_effort_task.image));
  }
  return worst;
}

std::vector<PaceDecision> SlowDown(const PacedServingTask& serving_task,
                                   std::vector<PacedBestEffortTask> best_effort,
                                   const InterferenceModel& model,
                                   const PolicyOptions& options) {
  std::sort(best_effort.begin(), best_effort.end(),
            [&](const PacedBestEffortTask& a, const PacedBestEffortTask& b) {
              return model.InterferencePerCore(serving_task.image, a.image) *
                         a.cores >
                     model.InterferencePerCore(serving_task.image, b.image) *
                         b.cores;
            });
  // If the tail latency is far above its target (`stop_tail_share`), or has
  // been over the target for `max_over_target_time`, the model is unreliable,
  // so all best-effort tasks stop.
  const bool stop_all =
      ShareOfTarget(serving_task) > options.stop_tail_share ||
      serving_task.over_target_for >= options.max_over_target_time;
  double excess =
      model.Utilization(serving_task.image, serving_task.tail_latency_ms,
                        serving_task.target) -
      model.UtilizationAtShare(serving_task.image, serving_task.target,
                               options.wanted_tail_share);
  std::vector<PaceDecision> decisions;
  for (const PacedBestEffortTask& best_effort_task : best_effort) {
    if (excess <= 0 && !stop_all) {
      break;
    }
    if (best_effort_task.pace == 0) {
      continue;
    }
    const double relief =
        model.InterferencePerCore(serving_task.image, best_effort_task.image) *
        best_effort_task.cores;
    // Share of the pace that remains if only the excess utilization is removed;
    // 0 if stopping the task does not remove all of the excess.
    const double remaining =
        !stop_all && relief > excess ? 1.0 - excess / relief : 0.0;
    decisions.push_back({best_effort_task.task,
                         static_cast<int>(best_effort_task.pace * remaining)});
    excess -= relief;
  }
  return decisions;
}

std::vector<PaceDecision> SpeedUp(const std::vector<PacedServingTask>& serving,
                                  std::vector<PacedBestEffortTask> best_effort,
                                  const InterferenceModel& model,
                                  const PolicyOptions& options) {
  std::sort(best_effort.begin(), best_effort.end(),
            [&](const PacedBestEffortTask& a, const PacedBestEffortTask& b) {
              return WorstInterference(serving, a, model) <
                     WorstInterference(serving, b, model);
            });
  double headroom = Headroom(serving, model, options);
  std::vector<PaceDecision> decisions;
  for (const PacedBestEffortTask& best_effort_task : best_effort) {
    if (best_effort_task.pace >= kFullPace) {
      continue;
    }
    const int pace =
        std::min(kFullPace, best_effort_task.pace + options.max_pace_increase);
    const double cores = best_effort_task.full_cores *
                         (pace - best_effort_task.pace) / kFullPace;
    const double added =
        WorstInterference(serving, best_effort_task, model) * cores;
    if (added > headroom) {
      continue;
    }
    headroom -= added;
    decisions.push_back({best_effort_task.task, pace});
  }
  return decisions;
}

}  // namespace

std::vector<PaceDecision> DecidePaces(
    const std::vector<PacedServingTask>& serving,
    const std::vector<PacedBestEffortTask>& best_effort,
    const InterferenceModel& model,
    const PolicyOptions& options) {
  const auto worst = std::max_element(
      serving.begin(), serving.end(),
      [](const PacedServingTask& a, const PacedServingTask& b) {
        return ShareOfTarget(a) < ShareOfTarget(b);
      });
  const auto longest = std::max_element(
      serving.begin(), serving.end(),
      [](const PacedServingTask& a, const PacedServingTask& b) {
        return a.over_target_for < b.over_target_for;
      });
  if (longest != serving.end() &&
      longest->over_target_for >= options.max_over_target_time) {
    return SlowDown(*longest, best_effort, model, options);
  }
  if (worst != serving.end() &&
      ShareOfTarget(*worst) > options.throttle_tail_share) {
    return SlowDown(*worst, best_effort, model, options);
  }
  return SpeedUp(serving, best_effort, model, options);
}

// A paused task does not disturb others at the moment, but its processors are
// not free. When they counted as free, newer work on the same worker kept the
// task waiting for up to 20 s. With these processors counted, the served share
// of the callers' work rose by 0.008, 0.018 and 0.019 on three simulated days,
// run once each, with the load of docs/design/shifted-work.md.
double PendingCores(double full_cores, bool fresh, int pace) {
  return fresh ? full_cores : full_cores * (kFullPace - pace) / kFullPace;
}

}  // namespace doorwood
