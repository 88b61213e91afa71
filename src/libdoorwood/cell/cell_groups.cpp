// SPDX-License-Identifier: Apache-2.0

// Confines the jobs of a large cell to groups of its workers; see
// worker_groups.h.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Whether the plan's tasks can be placed as well on the workers of one group as
// on those of the whole cell. Long-running tasks have recorded placements
// instead.
bool MayBeConfined(const JobPlan& plan) {
  return plan.repeat_count == 0 &&
         std::none_of(
             plan.steps.begin(), plan.steps.end(), [](const StepPlan& step) {
               return step.gang || step.same_rack || step.long_running ||
                      !step.required_label.empty() || !step.data_rack.empty();
             });
}

int64_t WidestStepCpu(const JobPlan& plan) {
  int64_t widest = 0;
  for (const StepPlan& step : plan.steps) {
    widest = std::max(widest, step.count * step.size.cpu_millis);
  }
  return widest;
}

}  // namespace

WorkerGroup CellLeader::ChooseGroup(const JobPlan& plan) {
  const Queue* queue = known_queues_.Find(plan.queue);
  if (queue == nullptr || queue->advice || !MayBeConfined(plan)) {
    return 0;
  }
  return groups_.Choose(queue->service, WidestStepCpu(plan));
}

void CellLeader::UpdateGroupLoads() {
  if (groups_.size() == 0) {
    return;
  }
  std::map<WorkerGroup, WorkerGroups::Load> loads;
  for (const auto& [id, cell_worker] : cell_workers_) {
    const WorkerSession& session = *cell_worker.session;
    WorkerGroups::Load& load = loads[cell_worker.group];
    if (MayReceiveStarts(cell_worker)) {
      load.capacity += session.incarnation().capacity.cpu_millis;
    }
    load.used += session.reserved().cpu_millis + session.best_effort_cpu();
  }
  groups_.SetLoads(loads);
}

void CellLeader::SortForContact(std::vector<KnownWorker>* known) {
  std::map<WorkerGroup, size_t> waiting;
  for (Job* job : jobs_.OpenJobs()) {
    ForEachTask(job, [&](const Task* task) {
      const bool waits =
          task->may_still_run &&
          JobTable::IsUnblocked(*job, task->repetition, task->step);
      waiting[ConfinedTo(*task)] += waits ? 1 : 0;
    });
  }
  const auto tasks_waiting_for = [&](const KnownWorker& worker) {
    const auto found = waiting.find(worker.group);
    return worker.tasks || found == waiting.end() ? 0 : found->second;
  };
  std::stable_sort(known->begin(), known->end(),
                   [&](const KnownWorker& a, const KnownWorker& b) {
                     return std::pair(tasks_waiting_for(a), a.group) >
                            std::pair(tasks_waiting_for(b), b.group);
                   });
}

void CellLeader::SpreadJob(Job* job) {
  if (job->plan.worker_group == 0 || job->spread != SpreadRecord::kConfined) {
    return;
  }
  job->spread = SpreadRecord::kRequested;
  job->dirty = true;
  JournalIfDirty(job, /*urgent=*/true);
  log_.Write("info", "cell", "a job is opened to the workers of all groups",
             {{"job", job->plan.id},
              {"group", job->plan.worker_group},
              {"epoch", epoch_}});
}

std::map<WorkerGroup, std::vector<CandidateWorker*>>
CellLeader::CandidatesByGroup() {
  std::map<WorkerGroup, std::vector<CandidateWorker*>> by_group;
  by_group[0] = CollectCandidates();
  if (groups_.size() > 0) {
    for (auto& [id, cell_worker] : cell_workers_) {
      if (cell_worker.group != 0) {
        by_group[cell_worker.group].push_back(&cell_worker.candidate);
      }
    }
  }
  return by_group;
}

const std::vector<CandidateWorker*>& CellLeader::CandidatesFor(
    const Job& job,
    const std::map<WorkerGroup, std::vector<CandidateWorker*>>& by_group) {
  static const std::vector<CandidateWorker*> none;
  const auto found = by_group.find(MayStartIn(job));
  return found == by_group.end() ? none : found->second;
}

// Runs of an older version's leader may be anywhere. While jobs of its time are
// still confined in the store, a successor must not rely on their groups.
bool CellLeader::AreGroupsKept() {
  return groups_kept_at_takeover_ || jobs_to_spread_.empty();
}

}  // namespace doorwood
