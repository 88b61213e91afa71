// SPDX-License-Identifier: Apache-2.0

// Runs that earlier leaders may have left active, and how long a new leader has
// to wait for them.

#include <algorithm>
#include <set>
#include <utility>

#include "doorwood/cell_leader.h"
#include "doorwood/held_tasks.h"

namespace doorwood {
namespace {

// Interval at which the workers that the leader waits for are logged.
constexpr Millis kWaitLogInterval{1000};
// Maximum number of workers, and of held tasks, described in such a line.
constexpr size_t kMaxWorkersLogged = 8;
constexpr size_t kMaxTasksLogged = 24;

}  // namespace

// A task is held back as long as it may be active, or may have ended
// unreported, on a worker that is still waited for:
// - If the worker's record has a task list, only the listed tasks are held
//   back. Only workers that were closed to new work have such a list, and only
//   if the lists were not too long to record.
// - If the record has no task list, all tasks are held back that are not
//   confined to another group of workers.
// - If the recorded placements were valid at the takeover, a long-running task
//   is held back only for the worker that its placement names.
void CellLeader::ReleaseTasks() {
  UnaccountedWorkers unaccounted = takeover_.FindUnaccounted(
      cell_workers_, executor_.Now(), proof_.confirmed_at());
  size_t freed = 0;
  size_t held = 0;
  for (Job* job : jobs_.OpenJobs()) {
    ForEachTask(job, [&](Task* task) {
      if (task->may_still_run) {
        task->may_still_run = MayRunOn(*task, unaccounted);
        ++(task->may_still_run ? held : freed);
      }
    });
  }
  const bool first = (!unaccounted_ || unaccounted_->has_open_group()) &&
                     !unaccounted.has_open_group();
  if (freed > 0 || first) {
    log_.Write("info", "cell",
               "released tasks that cannot be running on workers not yet "
               "accounted for",
               {{"cell", options_.cell},
                {"epoch", epoch_},
                {"after_ms", takeover_.TimeLeading(executor_.Now()).count()},
                {"freed", freed},
                {"held", held}});
    RequestSchedulingPass();
  }
  unaccounted_ = std::move(unaccounted);
}

bool CellLeader::MayRunOn(const Task& task,
                          const UnaccountedWorkers& unaccounted) const {
  const bool has_recorded_placement =
      placements_valid_at_takeover_ && task.plan().long_running;
  return unaccounted.MayHave(task) &&
         (!has_recorded_placement ||
          unaccounted.Contains(task.assigned_worker));
}

bool CellLeader::MayRunOnUnaccountedWorker(const Task& task) const {
  return !takeover_.finished() &&
         (!unaccounted_ || unaccounted_->MayHave(task));
}

bool CellLeader::IsHeldBack(const std::string& job) {
  bool held = false;
  if (Job* found = jobs_.Find(job)) {
    ForEachTask(found, [&held](const Task* task) {
      held = held || (task->may_still_run && !task->placed && !task->done);
    });
  }
  return held;
}

void CellLeader::CheckTakeover() {
  if (takeover_.finished() || workers_read_ == Instant{}) {
    return;
  }
  ReleaseTasks();
  if (!unaccounted_->empty()) {
    RequestProofIfWaitServed();
    LogWait();
    return;
  }
  const bool all_contacted = std::none_of(
      cell_workers_.begin(), cell_workers_.end(), [this](const auto& entry) {
        return takeover_.IsUncontacted(entry.second);
      });
  takeover_.Finish();
  for (Job* job : jobs_.OpenJobs()) {
    job->new_tasks_may_still_run = false;
  }
  unaccounted_.reset();
  counters_.held_tasks = {};
  log_.Write("info", "cell", "all runs of earlier leaders are accounted for",
             {{"cell", options_.cell},
              {"epoch", epoch_},
              {"all_heard", all_contacted},
              {"after_ms", takeover_.TimeLeading(executor_.Now()).count()}});
}

void CellLeader::RequestProofIfWaitServed() {
  const auto unproved = std::chrono::duration_cast<Millis>(
      executor_.Now() - proof_.confirmed_at());
  const bool is_served = std::any_of(
      unaccounted_->workers().begin(), unaccounted_->workers().end(),
      [unproved](const auto& entry) {
        return entry.second.reason == WorkerWaitReason::kNotContacted &&
               entry.second.left <= unproved;
      });
  if (is_served) {
    takeover_awaits_proof_ = true;
    proof_.RequestRead();
  }
}

void CellLeader::LogWait() {
  const Instant now = executor_.Now();
  if (now - wait_logged_ < kWaitLogInterval) {
    return;
  }
  wait_logged_ = now;
  const HeldTasks held = CollectHeldTasks(
      jobs_, *unaccounted_, placements_valid_at_takeover_, kMaxTasksLogged);
  counters_.held_tasks = held.counts;
  log_.Write(
      "info", "cell",
      "waiting for workers whose runs are not yet accounted for",
      {{"cell", options_.cell},
       {"epoch", epoch_},
       {"led_ms", takeover_.TimeLeading(executor_.Now()).count()},
       {"unaccounted", unaccounted_->workers().size()},
       {"held_tasks", held.counts.all()},
       {"held_long_running", held.counts.long_running},
       {"longest_left_ms", held.counts.longest_left.count()},
       {"held", held.rows},
       {"placements_valid", placements_valid_at_takeover_},
       {"workers", DescribeWorkerWaits(*unaccounted_, kMaxWorkersLogged)}});
}

}  // namespace doorwood
