// SPDX-License-Identifier: Apache-2.0

#include "doorwood/held_tasks.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace doorwood {
namespace {

uint64_t& CountOf(TaskWaitReason reason, HeldTaskCounts* counts) {
  switch (reason) {
    case TaskWaitReason::kRecordedPlacement:
      return counts->recorded_placement;
    case TaskWaitReason::kRecordedTask:
      return counts->recorded_task;
    case TaskWaitReason::kAnyTask:
      break;
  }
  return counts->any_task;
}

Json DescribeTask(const Task& task, const TaskWait& wait) {
  return {{"task", task.name()},
          {"long_running", task.plan().long_running},
          {"worker", wait.worker},
          {"waited_ms", wait.wait.waited.count()},
          {"left_ms", wait.wait.left.count()},
          {"worker_state", ToString(wait.wait.reason)},
          {"reason", ToString(wait.reason)}};
}

void AppendUpTo(size_t max_rows, Json rows, Json* all) {
  for (Json& row : rows) {
    if (all->size() == max_rows) {
      return;
    }
    all->push_back(std::move(row));
  }
}

}  // namespace

HeldTasks CollectHeldTasks(JobTable& jobs,
                           const UnaccountedWorkers& unaccounted,
                           bool placements_valid,
                           size_t max_rows) {
  HeldTasks held;
  Json others = Json::array();
  for (Job* job : jobs.OpenJobs()) {
    ForEachTask(job, [&](const Task* task) {
      if (!task->may_still_run || task->placed || task->done) {
        return;
      }
      const bool long_running = task->plan().long_running;
      const auto wait =
          unaccounted.FindWait(*task, placements_valid && long_running);
      if (!wait) {
        return;
      }
      ++CountOf(wait->reason, &held.counts);
      held.counts.long_running += long_running ? 1 : 0;
      held.counts.longest_left =
          std::max(held.counts.longest_left, wait->wait.left);
      Json& rows = long_running ? held.rows : others;
      if (rows.size() < max_rows) {
        rows.push_back(DescribeTask(*task, *wait));
      }
    });
  }
  AppendUpTo(max_rows, std::move(others), &held.rows);
  return held;
}

Json DescribeWorkerWaits(const UnaccountedWorkers& unaccounted,
                         size_t max_rows) {
  std::vector<std::pair<std::string_view, const WorkerWait*>> longest;
  for (const auto& [id, wait] : unaccounted.workers()) {
    longest.emplace_back(id, &wait);
  }
  const size_t rows = std::min(max_rows, longest.size());
  std::partial_sort(longest.begin(),
                    std::next(longest.begin(), static_cast<ptrdiff_t>(rows)),
                    longest.end(), [](const auto& a, const auto& b) {
                      return a.second->left > b.second->left;
                    });
  Json described = Json::array();
  for (size_t i = 0; i < rows; ++i) {
    const auto& [id, wait] = longest[i];
    described.push_back({{"worker", id},
                         {"state", ToString(wait->reason)},
                         {"waited_ms", wait->waited.count()},
                         {"left_ms", wait->left.count()}});
  }
  return described;
}

}  // namespace doorwood
