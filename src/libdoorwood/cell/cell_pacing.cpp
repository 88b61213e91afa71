// SPDX-License-Identifier: Apache-2.0

// What fills beside what serves: the facts for policy/ and the paces that
// follow.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// A worker's figures tell of the last half second, and a look may be as old.
constexpr Millis kFigureAge{900};
// Filling work that is held at this pace or below for so long is moved to
// another worker, where it saves its progress.
constexpr int kCrawlPace = 20;
constexpr Millis kCrawlToMove{900};
constexpr double kMillis = 1000.0;
// Weight of the newest figure in a serving task's mean.
constexpr double kNewestFigure = 0.5;

// How long the task has been over its target, with the figure just reported.
Millis NoteFigure(Run* run, Instant now, double tail_over) {
  const auto figure = static_cast<double>(run->figure);
  run->mean_figure =
      run->mean_figure < 0
          ? figure
          : kNewestFigure * figure + (1.0 - kNewestFigure) * run->mean_figure;
  const auto target = static_cast<double>(run->latency_target.count());
  if (run->mean_figure < tail_over * target) {
    run->over_since = Instant{};
    return Millis(0);
  }
  if (run->over_since == Instant{}) {
    run->over_since = now;
  }
  return std::chrono::duration_cast<Millis>(now - run->over_since);
}

}  // namespace

std::vector<ServingStrain> CellLeader::CollectStrains(
    const WorkerSession& session) const {
  std::vector<ServingStrain> strains;
  const Instant now = executor_.Now();
  for (const auto& [task, run] : session.runs()) {
    if (run.latency_target <= Millis(0)) {
      continue;
    }
    ServingStrain serving;
    serving.image = run.image;
    serving.wanted = interference_.StrainAt(run.image, run.latency_target,
                                            options_.policy.tail_wanted);
    serving.strain =
        run.figure > 0
            ? interference_.Strain(run.image, run.figure, run.latency_target)
            : options_.policy.interference.first_load;
    // A new task has not taken up its load yet.
    if (now - run.ordered < kFigureAge) {
      serving.strain =
          std::max(serving.strain, options_.policy.interference.first_load);
    }
    strains.push_back(serving);
  }
  for (const auto& [task, run] : session.runs()) {
    if (!run.fills) {
      continue;
    }
    const double full = static_cast<double>(run.size.cpu_millis) / kMillis;
    const bool fresh = now - run.ordered < kFigureAge;
    const double cores = CoresToCome(full, fresh, run.wanted_pace);
    for (ServingStrain& serving : strains) {
      serving.strain += interference_.Press(serving.image, run.image) * cores;
    }
  }
  return strains;
}

void CellLeader::PaceWorker(WorkerSession& session) {
  std::vector<PacedServing> serving;
  std::vector<PacedFill> fills;
  std::vector<FillLoad> loads;
  std::vector<std::string> observed;
  for (const auto& [task, run] : session.runs()) {
    if (run.latency_target > Millis(0) && run.figure > 0) {
      observed.push_back(task);
    }
    if (run.fills && run.phase == RunPhase::kRunning) {
      const double full = static_cast<double>(run.size.cpu_millis) / kMillis;
      const double used =
          run.figure >= 0 ? static_cast<double>(run.figure) / kMillis : full;
      fills.push_back({task, run.image, full, used, run.wanted_pace});
      loads.push_back({run.image, used});
    }
  }
  for (const std::string& task : observed) {
    Run* run = session.FindRun(task);
    serving.push_back(
        {run->image, run->figure, run->latency_target,
         NoteFigure(run, executor_.Now(), options_.policy.tail_over)});
    run->load = interference_.Observe(run->image, run->figure,
                                      run->latency_target, loads, run->load);
  }
  if (fills.empty()) {
    return;
  }
  for (const PaceDecision& decision :
       DecidePaces(serving, fills, interference_, options_.policy)) {
    ++counters_.paces;
    session.SetPace(decision.task, decision.pace);
  }
  MoveStuckFills(session);
}

void CellLeader::MoveStuckFills(WorkerSession& session) {
  const Instant now = executor_.Now();
  std::vector<std::string> stuck;
  for (const auto& [task, run] : session.runs()) {
    const bool slow =
        run.fills && !run.lasting && run.phase == RunPhase::kRunning &&
        run.wanted_pace <= kCrawlPace && run.paced_since != Instant{} &&
        now - run.paced_since > kCrawlToMove;
    const Task* known = slow ? jobs_.FindTask(task) : nullptr;
    if (known != nullptr && known->plan().checkpoints) {
      stuck.push_back(task);
    }
  }
  for (const std::string& task : stuck) {
    log_.Write("info", "cell", "filling work moved off",
               {{"task", task}, {"worker", session.life().id}});
    ++counters_.stops;
    jobs_.FindTask(task)->failed_on = session.life().id;
    session.Stop(task);
  }
}

}  // namespace doorwood
