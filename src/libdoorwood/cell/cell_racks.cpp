// SPDX-License-Identifier: Apache-2.0

// Racks of steps whose tasks are slow unless they share one: collects the
// inputs for policy/rack_choice, and logs what was decided.

#include <chrono>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {

StepState& CellLeader::StateOf(const ReadyStep& ready) {
  return ready.job->repetitions.at(ready.repetition).steps[ready.step];
}

StepPlacement CellLeader::PlacementOf(
    const ReadyStep& ready,
    const std::vector<CandidateWorker*>& candidates) {
  const StepPlan& plan = ready.job->plan.steps[ready.step];
  std::string step = StepName(*ready.job, ready.repetition, ready.step);
  return {plan,
          {QueueOf(*ready.job)->service, interference_.Intern(plan.image)},
          candidates,
          [this, step](std::string_view worker) {
            return cell_workers_.at(std::string(worker))
                .session->CountRunsOfStep(step);
          },
          [this, step](std::string_view worker) {
            return !tickets_.Find(step, worker).empty();
          },
          interference_,
          options_.policy};
}

RackSearch CellLeader::SearchRacks(
    const ReadyStep& ready,
    const std::vector<CandidateWorker*>& candidates,
    int tasks) {
  const StepPlan& plan = ready.job->plan.steps[ready.step];
  if (!plan.same_rack) {
    return {};
  }
  const Millis waited = StateOf(ready).rack_wait.Waited(executor_.Now());
  const Millis run_time =
      ExpectedRunTimes(*ready.job, ready.repetition)[ready.step];
  std::vector<RackRoom> racks =
      RankRacks(PlacementOf(ready, candidates), tasks);
  const bool may_spread =
      MaySpreadOverRacks(plan, racks, tasks, run_time, waited, options_.policy);
  return {std::move(racks), may_spread};
}

void CellLeader::LogSpreadStep(const Task& task,
                               const RackSearch& racks) const {
  Json rooms = Json::array();
  for (const RackRoom& room : racks.racks()) {
    rooms.push_back(
        {room.rack, room.running, room.fitting, room.fitting_when_empty});
  }
  const auto waited =
      std::chrono::duration_cast<Millis>(executor_.Now() - task.ready_since);
  log_.Write("info", "cell", "tasks of a step are spread over racks",
             {{"task", task.name()},
              {"long_running", task.plan().long_running},
              {"waited_ms", waited.count()},
              {"racks", std::move(rooms)}});
}

}  // namespace doorwood
