// SPDX-License-Identifier: Apache-2.0

#include "doorwood/step_room.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace doorwood {
namespace {

int64_t CountIn(int64_t room, int64_t size) {
  return size > 0 ? room / size : std::numeric_limits<int>::max();
}

Resources FreeOf(const CandidateWorker& worker) {
  return {worker.capacity.cpu_millis - worker.reserved.cpu_millis,
          worker.capacity.memory_mib - worker.reserved.memory_mib,
          worker.capacity.accelerators - worker.reserved.accelerators};
}

bool MayTakeNow(PlaceProblem problem) {
  return problem == PlaceProblem::kNone || problem == PlaceProblem::kNoTicket;
}

int CountInRoom(const Resources& room, const Resources& size, int most) {
  const int64_t count = std::min({CountIn(room.cpu_millis, size.cpu_millis),
                                  CountIn(room.memory_mib, size.memory_mib),
                                  CountIn(room.accelerators, size.accelerators),
                                  static_cast<int64_t>(most)});
  return static_cast<int>(std::max<int64_t>(count, 0));
}

int BoundByStep(const StepPlan& plan, int runs_on_worker, int most) {
  return plan.max_per_worker > 0
             ? std::clamp(plan.max_per_worker - runs_on_worker, 0, most)
             : most;
}

}  // namespace

int RunsOn(const StepPlacement& step, const CandidateWorker& worker) {
  return step.plan.max_per_worker > 0 || step.plan.same_rack
             ? step.runs_on(worker.id)
             : 0;
}

PlaceProblem FindProblemOf(const StepPlacement& step,
                           const TaskRequirements& need,
                           const CandidateWorker& worker,
                           int runs) {
  return FindPlaceProblem(step.plan, need, worker, runs, step.model,
                          step.options);
}

int CountFittingTasks(const StepPlan& plan,
                      const CandidateWorker& worker,
                      PlaceProblem problem,
                      int runs_on_worker,
                      int most) {
  if (!MayTakeNow(problem)) {
    return 0;
  }
  const int bound = BoundByStep(plan, runs_on_worker, most);
  return plan.best_effort ? std::min(bound, 1)
                          : CountInRoom(FreeOf(worker), plan.size, bound);
}

int CountFittingWhenEmpty(const StepPlan& plan,
                          const CandidateWorker& worker,
                          int runs_on_worker,
                          int most) {
  return CountInRoom(worker.capacity, plan.size,
                     BoundByStep(plan, runs_on_worker, most));
}

std::vector<CandidateWorker> MarkTickets(const StepPlacement& step) {
  std::vector<CandidateWorker> marked;
  marked.reserve(step.candidates.size());
  for (const CandidateWorker* candidate : step.candidates) {
    marked.push_back(*candidate);
    marked.back().has_ticket = step.has_ticket(candidate->id);
  }
  return marked;
}

TicketDemand FindTicketDemand(const StepPlacement& step, int tasks) {
  struct Scored {
    double score = 0;
    TicketCandidate candidate;
  };
  std::vector<Scored> scored;
  int with_ticket = 0;
  int without_ticket = 0;
  for (const CandidateWorker* worker : step.candidates) {
    const int runs = RunsOn(step, *worker);
    const PlaceProblem problem = FindProblemOf(step, step.need, *worker, runs);
    const int fitting =
        CountFittingTasks(step.plan, *worker, problem, runs, tasks);
    if (fitting == 0) {
      continue;
    }
    if (step.has_ticket(worker->id)) {
      with_ticket += fitting;
      continue;
    }
    without_ticket += fitting;
    scored.push_back({PlaceScore(step.plan, step.need, *worker, step.model),
                      {std::string(worker->id), fitting}});
  }
  TicketDemand demand;
  const bool can_start =
      !step.plan.gang || with_ticket + without_ticket >= tasks;
  demand.tasks = can_start ? std::max(0, tasks - with_ticket) : 0;
  if (demand.tasks == 0) {
    return demand;
  }
  std::stable_sort(
      scored.begin(), scored.end(),
      [](const Scored& a, const Scored& b) { return a.score > b.score; });
  for (Scored& entry : scored) {
    demand.candidates.push_back(std::move(entry.candidate));
  }
  return demand;
}

}  // namespace doorwood
