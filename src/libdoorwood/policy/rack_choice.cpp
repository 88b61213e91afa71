// SPDX-License-Identifier: Apache-2.0

#include "doorwood/rack_choice.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace doorwood {
namespace {

// Whether only other work keeps the worker from taking a task.
bool MayTakeWhenEmpty(PlaceProblem problem) {
  switch (problem) {
    case PlaceProblem::kNone:
    case PlaceProblem::kNoTicket:
    case PlaceProblem::kNoCpu:
    case PlaceProblem::kNoMemory:
    case PlaceProblem::kNoAccelerators:
    case PlaceProblem::kDisturbs:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::vector<RackRoom> RankRacks(const StepPlacement& step, int tasks) {
  TaskRequirements need = step.need;
  need.rack = "";
  std::map<std::string_view, RackRoom> by_rack;
  for (const CandidateWorker* worker : step.candidates) {
    RackRoom& room = by_rack[worker->rack];
    const int runs = RunsOn(step, *worker);
    room.running += runs;
    const PlaceProblem problem = FindProblemOf(step, need, *worker, runs);
    const int fitting =
        CountFittingTasks(step.plan, *worker, problem, runs, tasks);
    if (fitting > 0) {
      const double score = PlaceScore(step.plan, need, *worker, step.model);
      room.best_score =
          room.fitting == 0 ? score : std::max(room.best_score, score);
    }
    room.fitting = std::min(tasks, room.fitting + fitting);
    if (MayTakeWhenEmpty(problem)) {
      room.fitting_when_empty = std::min(
          tasks, room.fitting_when_empty +
                     CountFittingWhenEmpty(step.plan, *worker, runs, tasks));
    }
  }
  std::vector<RackRoom> racks;
  for (auto& [name, room] : by_rack) {
    room.rack = name;
    racks.push_back(std::move(room));
  }
  std::stable_sort(racks.begin(), racks.end(),
                   [tasks](const RackRoom& a, const RackRoom& b) {
                     const bool a_takes_all = a.fitting >= tasks;
                     const bool b_takes_all = b.fitting >= tasks;
                     if (a.running != b.running) {
                       return a.running > b.running;
                     }
                     if (a_takes_all != b_takes_all) {
                       return a_takes_all;
                     }
                     return a_takes_all ? a.best_score > b.best_score
                                        : a.fitting > b.fitting;
                   });
  return racks;
}

bool IsSpreadOverRacks(std::span<const RackRoom> racks) {
  return std::count_if(racks.begin(), racks.end(), [](const RackRoom& room) {
           return room.running > 0;
         }) > 1;
}

bool MaySpreadOverRacks(const StepPlan& plan,
                        std::span<const RackRoom> racks,
                        int tasks,
                        Millis run_time,
                        Millis waited,
                        const PolicyOptions& options) {
  if (plan.long_running || racks.empty() || IsSpreadOverRacks(racks)) {
    return true;
  }
  // Once a rack has runs of the step, the other tasks join them there.
  const auto usable = racks.front().running > 0 ? racks.first(1) : racks;
  const bool may_find_room =
      std::any_of(usable.begin(), usable.end(), [tasks](const RackRoom& room) {
        return room.fitting_when_empty >= tasks;
      });
  const Millis cost(
      static_cast<int64_t>(static_cast<double>(run_time.count()) *
                           (options.spread_run_time_factor - 1.0)));
  return !may_find_room || waited >= std::min(cost, options.longest_rack_wait);
}

void RackSearch::Apply(TaskRequirements* need) const {
  need->rack = racks_.empty() ? std::string_view() : racks_[current_].rack;
  need->rack_required = !may_spread_;
}

bool RackSearch::MoveOnFrom(std::string_view rack) {
  if (racks_.empty() || rack == racks_[current_].rack) {
    return false;
  }
  const auto next =
      std::find_if(racks_.begin() + static_cast<std::ptrdiff_t>(current_) + 1,
                   racks_.end(), [rack](const RackRoom& room) {
                     return room.fitting > 0 || room.rack == rack;
                   });
  if (next == racks_.end()) {
    return false;
  }
  current_ = static_cast<size_t>(next - racks_.begin());
  return true;
}

bool RackSearch::HasRoomElsewhere(const StepPlan& plan, int tasks) const {
  if (!plan.same_rack || racks_.empty()) {
    return false;
  }
  int all = 0;
  for (const RackRoom& room : racks_) {
    all += room.fitting;
  }
  return plan.gang ? all >= tasks : all > racks_.front().fitting;
}

}  // namespace doorwood
