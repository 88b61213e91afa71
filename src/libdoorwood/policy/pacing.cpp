// SPDX-License-Identifier: Apache-2.0

#include "doorwood/pacing.h"

#include <algorithm>
#include <utility>

namespace doorwood {
namespace {

constexpr int kFullPace = 100;

double ShareOfTarget(const PacedServing& task) {
  return static_cast<double>(task.figure) /
         static_cast<double>(std::max<int64_t>(1, task.target.count()));
}

// Strain left until the wanted one, at the task that has least of it.
double Headroom(const std::vector<PacedServing>& serving,
                const InterferenceModel& model,
                const PolicyOptions& options) {
  double least = 1.0;
  for (const PacedServing& task : serving) {
    const double wanted =
        model.StrainAt(task.image, task.target, options.tail_wanted);
    least = std::min(
        least, wanted - model.Strain(task.image, task.figure, task.target));
  }
  return least;
}

double WorstPress(const std::vector<PacedServing>& serving,
                  const PacedFill& fill,
                  const InterferenceModel& model) {
  double worst = 0;
  for (const PacedServing& task : serving) {
    worst = std::max(worst, model.Press(task.image, fill.image));
  }
  return worst;
}

std::vector<PaceDecision> SlowDown(const PacedServing& worst,
                                   std::vector<PacedFill> fills,
                                   const InterferenceModel& model,
                                   const PolicyOptions& options) {
  std::sort(fills.begin(), fills.end(),
            [&](const PacedFill& a, const PacedFill& b) {
              return model.Press(worst.image, a.image) * a.cores >
                     model.Press(worst.image, b.image) * b.cores;
            });
  // Far above its target, or over it for long, the model tells little:
  // everything stops.
  const bool far = ShareOfTarget(worst) > options.tail_hopeless ||
                   worst.over_for >= options.over_patience;
  double excess =
      model.Strain(worst.image, worst.figure, worst.target) -
      model.StrainAt(worst.image, worst.target, options.tail_wanted);
  std::vector<PaceDecision> decisions;
  for (const PacedFill& fill : fills) {
    if (excess <= 0 && !far) {
      break;
    }
    if (fill.pace == 0) {
      continue;
    }
    const double relief = model.Press(worst.image, fill.image) * fill.cores;
    // What is left of it if only the excess goes; all of it is not enough for
    // a larger excess.
    const double kept = !far && relief > excess ? 1.0 - excess / relief : 0.0;
    decisions.push_back({fill.task, static_cast<int>(fill.pace * kept)});
    excess -= relief;
  }
  return decisions;
}

std::vector<PaceDecision> LetGo(const std::vector<PacedServing>& serving,
                                std::vector<PacedFill> fills,
                                const InterferenceModel& model,
                                const PolicyOptions& options) {
  std::sort(
      fills.begin(), fills.end(), [&](const PacedFill& a, const PacedFill& b) {
        return WorstPress(serving, a, model) < WorstPress(serving, b, model);
      });
  double headroom = Headroom(serving, model, options);
  std::vector<PaceDecision> decisions;
  for (const PacedFill& fill : fills) {
    if (fill.pace >= kFullPace) {
      continue;
    }
    const int pace = std::min(kFullPace, fill.pace + options.pace_step);
    const double cores = fill.full_cores * (pace - fill.pace) / kFullPace;
    const double added = WorstPress(serving, fill, model) * cores;
    if (added > headroom) {
      continue;
    }
    headroom -= added;
    decisions.push_back({fill.task, pace});
  }
  return decisions;
}

}  // namespace

std::vector<PaceDecision> DecidePaces(const std::vector<PacedServing>& serving,
                                      const std::vector<PacedFill>& fills,
                                      const InterferenceModel& model,
                                      const PolicyOptions& options) {
  const auto worst =
      std::max_element(serving.begin(), serving.end(),
                       [](const PacedServing& a, const PacedServing& b) {
                         return ShareOfTarget(a) < ShareOfTarget(b);
                       });
  const auto longest =
      std::max_element(serving.begin(), serving.end(),
                       [](const PacedServing& a, const PacedServing& b) {
                         return a.over_for < b.over_for;
                       });
  if (longest != serving.end() && longest->over_for >= options.over_patience) {
    return SlowDown(*longest, fills, model, options);
  }
  if (worst != serving.end() && ShareOfTarget(*worst) > options.tail_high) {
    return SlowDown(*worst, fills, model, options);
  }
  return LetGo(serving, fills, model, options);
}

// What is held presses on nobody just then, but its place is not free: newer
// work kept it waiting for up to 20 s. The share served of the shifted work
// rose by 0.008, 0.018 and 0.019 on three days, one play each.
double CoresToCome(double full_cores, bool fresh, int pace) {
  return fresh ? full_cores : full_cores * (kFullPace - pace) / kFullPace;
}

}  // namespace doorwood
