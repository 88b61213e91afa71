// SPDX-License-Identifier: Apache-2.0

// Tickets for the steps of queues with an adviser: which step asks for which
// workers, and on which workers a step may be placed.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"
#include "doorwood/step_room.h"

namespace doorwood {

bool CellLeader::AwaitsTickets(
    const ReadyStep& ready,
    const std::vector<CandidateWorker*>& candidates) {
  if (!QueueOf(*ready.job)->advice ||
      tickets_.HasTicket(StepName(*ready.job, ready.repetition, ready.step))) {
    return false;
  }
  if (NoteWaitingStep(ready)) {
    const auto& tasks =
        ready.job->repetitions.at(ready.repetition).steps[ready.step].tasks;
    const auto task = std::find_if(
        tasks.begin(), tasks.end(),
        [this](const Task& candidate) { return IsReady(candidate); });
    LogWaitingStep(
        task == tasks.end() ? tasks.front() : *task, ready.rank,
        {{PlaceProblem::kNoTicket, static_cast<int>(candidates.size())}});
  }
  return true;
}

void CellLeader::ForgetTicketsOfDoneStep(const Task& task) {
  const StepState& step =
      task.job->repetitions.at(task.repetition).steps[task.step];
  if (step.done == task.plan().count) {
    tickets_.ForgetStep(StepName(*task.job, task.repetition, task.step));
  }
}

void CellLeader::RequestTickets(
    const std::vector<ReadyStep>& ready,
    const std::map<WorkerGroup, std::vector<CandidateWorker*>>& by_group) {
  if (!tickets_.IsIdle()) {
    return;
  }
  std::vector<const ReadyStep*> advised;
  std::vector<std::string> names;
  for (const ReadyStep& step : ready) {
    const Queue* queue = QueueOf(*step.job);
    if (queue != nullptr && queue->advice) {
      advised.push_back(&step);
      names.push_back(StepName(*step.job, step.repetition, step.step));
    }
  }
  for (const auto& [index, in_turn] :
       ticket_turns_.Order(names, tickets_.counters().sent)) {
    const ReadyStep& step = *advised[index];
    if (in_turn) {
      ticket_turns_.OnConsidered(names[index]);
    }
    if (tickets_.Request(
            TicketDemandOf(step, CandidatesFor(*step.job, by_group)))) {
      return;
    }
  }
}

TicketDemand CellLeader::TicketDemandOf(
    const ReadyStep& ready,
    const std::vector<CandidateWorker*>& candidates) {
  const Queue& queue = *QueueOf(*ready.job);
  const StepPlan& plan = ready.job->plan.steps[ready.step];
  const auto& tasks =
      ready.job->repetitions.at(ready.repetition).steps[ready.step].tasks;
  const auto waiting = static_cast<int>(
      std::count_if(tasks.begin(), tasks.end(),
                    [this](const Task& task) { return IsReady(task); }));
  if (waiting == 0 || (plan.gang && waiting < plan.count)) {
    return {};
  }
  const std::string step = StepName(*ready.job, ready.repetition, ready.step);
  // A worker that is reserved for the trial of a task is closed to all others.
  std::vector<TicketCandidate> reserved;
  for (const Task& task : tasks) {
    const CrashTrials::Trial* trial = trials_.Find(task.name());
    if (trial != nullptr && !trial->started && IsReady(task) &&
        tickets_.Find(step, trial->worker).empty()) {
      reserved.push_back({trial->worker});
    }
  }
  StepPlacement placement = PlacementOf(ready, candidates);
  const RackSearch racks = SearchRacks(ready, candidates, waiting);
  racks.Apply(&placement.need);
  // Tickets for other racks are of use once the step may leave its rack.
  placement.need.rack_required = false;
  TicketDemand demand = FindTicketDemand(placement, waiting);
  demand.step = step;
  demand.policy = *queue.advice;
  // FindTicketDemand does not know of the reserved workers.
  demand.tasks = std::max(demand.tasks, static_cast<int>(reserved.size()));
  demand.candidates.insert(demand.candidates.begin(), reserved.begin(),
                           reserved.end());
  return demand;
}

}  // namespace doorwood
