// SPDX-License-Identifier: Apache-2.0

/// \file
/// Speed limits for best-effort work beside serving tasks on one worker, as
/// pure functions of their inputs.

#ifndef DOORWOOD_PACING_H_
#define DOORWOOD_PACING_H_

#include <string>
#include <vector>

#include "doorwood/cell_policy.h"
#include "doorwood/interference.h"

namespace doorwood {

/// A serving task in a report.
struct PacedServingTask {
  ImageId image = 0;
  int64_t tail_latency_ms = 0;
  Millis target{0};
  /// How long the moving average of its delayed and noisy latency reports has
  /// been at or above `over_target_tail_share` of the target.
  Millis over_target_for{0};
};

/// A best-effort task in a report.
struct PacedBestEffortTask {
  std::string task;
  ImageId image = 0;
  /// Processors that the task would use at full speed.
  double full_cores = 0;
  /// Processors that the task uses, as last measured; until then `full_cores`.
  double cores = 0;
  /// Pace that was wanted so far, in percent of full speed.
  int pace = 100;
};

struct PaceDecision {
  std::string task;
  /// In percent of full speed.
  int pace = 100;
};

/// Returns new paces for the best-effort tasks whose pace should change. If a
/// tail latency is above `throttle_tail_share` of its target, tasks are slowed
/// down, those with the largest effect on the worst serving task first, until
/// the model expects its tail latency at `wanted_tail_share` of its target.
/// Otherwise tasks are sped up, those with the smallest effect per processor
/// first, each by at most `max_pace_increase`, if the model then expects no
/// tail latency above `wanted_tail_share` of its target. Once a serving task
/// has been over its target for `max_over_target_time`, or if the highest tail
/// latency, relative to its target, is above `stop_tail_share`, all best-effort
/// tasks stop, whatever the model expects.
std::vector<PaceDecision> DecidePaces(
    const std::vector<PacedServingTask>& serving,
    const std::vector<PacedBestEffortTask>& best_effort,
    const InterferenceModel& model,
    const PolicyOptions& options);

/// Processors to be counted for a best-effort task in addition to those in the
/// newest report. For a `fresh` task, whose load that report does not cover
/// yet, these are all of its processors. For other tasks, these are the
/// processors that the pace withholds. Withheld processors stay reserved for
/// the slowed task: they count as used when newer work is placed.
double PendingCores(double full_cores, bool fresh, int pace);

}  // namespace doorwood

#endif  // DOORWOOD_PACING_H_
