// SPDX-License-Identifier: Apache-2.0

/// \file
/// How fast filling work may go beside serving work on one worker, as a pure
/// function of one report.

#ifndef DOORWOOD_PACING_H_
#define DOORWOOD_PACING_H_

#include <string>
#include <vector>

#include "doorwood/cell_policy.h"
#include "doorwood/interference.h"

namespace doorwood {

/// A serving task, from a report.
struct PacedServing {
  ImageId image = 0;
  int64_t figure = 0;
  Millis target{0};
  /// How long its tail has been at or above the target, on the mean of its
  /// late and rough figures.
  Millis over_for{0};
};

/// A filling task, from a report.
struct PacedFill {
  std::string task;
  ImageId image = 0;
  /// Processors it would use at full speed.
  double full_cores = 0;
  /// Processors it uses now.
  double cores = 0;
  int pace = 100;
};

struct PaceDecision {
  std::string task;
  int pace = 100;
};

/// New paces of the fills whose pace should change. Where a tail is too high,
/// those that press most on the worst task are slowed down first, until the
/// model expects it at the wanted share of the target; where all tails are
/// low, those that press least are let go first, a step each. Where a task has
/// been over its target for long, everything beside it stops, whatever the
/// model thinks.
std::vector<PaceDecision> DecidePaces(const std::vector<PacedServing>& serving,
                                      const std::vector<PacedFill>& fills,
                                      const InterferenceModel& model,
                                      const PolicyOptions& options);

/// Processors that a fill will take beyond what the newest figures show: all of
/// a `fresh` one's, whose figures are still to come, and what one is held back
/// from, which goes before newer work.
double CoresToCome(double full_cores, bool fresh, int pace);

}  // namespace doorwood

#endif  // DOORWOOD_PACING_H_
