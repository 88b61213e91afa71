// SPDX-License-Identifier: Apache-2.0

// Runs that earlier leaders may have left active, and how long a new leader has
// to wait for them.

#include <algorithm>
#include <set>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Margin on the time after which the runs of a worker not yet contacted have
// ended, for the last orders of the earlier leader.
constexpr Millis kLastOrderMargin{500};

// Interval at which the workers that the leader waits for are logged.
constexpr Millis kWaitLogInterval{1000};
// Maximum number of workers named in such a line.
constexpr size_t kMaxWorkersLogged = 8;

}  // namespace

Millis CellLeader::LongestPromise() const {
  return LongestOnOurClock(options_.sessions.run_lease) +
         options_.unsure_patience + kLastOrderMargin;
}

// A report lists a limited number of ends: any task may be among the others.
bool CellLeader::HasMoreToTell(const Member& member) const {
  const WorkerSession& session = *member.session;
  return member.from_takeover && !accounted_ && session.fenced() &&
         !session.told_all() && !session.dead();
}

// After the last proof of the lead, another leader may have adopted the runs
// that are waited for, so only the time up to the proof counts.
Millis CellLeader::WaitLeft(const Member& member) const {
  if (HasMoreToTell(member)) {
    const auto silent = std::chrono::duration_cast<Millis>(
        executor_.Now() - member.session->heard_at());
    return std::max(LongestPromise() - silent, Millis(0));
  }
  // Nothing runs on a worker that left after all its ends were recorded.
  const bool is_empty = member.tasks_before && member.tasks_before->empty();
  if (!IsUnheard(member) || is_empty) {
    return Millis(0);
  }
  const auto proved =
      std::chrono::duration_cast<Millis>(proof_.stood_at() - led_since_);
  const Millis waited = member.unheard_before + proved;
  return std::max(LongestPromise() + Millis(1) - waited, Millis(0));
}

// A task is held back as long as any worker that is still waited for may run
// it. For a worker that was leaving or gone, the tasks that may run there are
// recorded; on any other, every task may run.
void CellLeader::ReleaseTasks() {
  UnheardWorkers unheard = FindUnheard();
  size_t freed = 0;
  size_t held = 0;
  for (Job* job : jobs_.OpenJobs()) {
    ForEachTask(job, [&](Task* task) {
      if (task->unaccounted) {
        task->unaccounted = MayBeThere(*task, unheard);
        ++(task->unaccounted ? held : freed);
      }
    });
  }
  const bool first = !released_ && !unheard.any_task;
  if (freed > 0 || first) {
    log_.Write("info", "cell", "tasks that unheard workers can't run are free",
               {{"cell", options_.cell},
                {"epoch", epoch_},
                {"after_ms", LedFor().count()},
                {"freed", freed},
                {"held", held}});
    WakeScheduler();
  }
  if (!unheard.any_task) {
    released_ = true;
    held_ = std::move(unheard.tasks);
  }
}

CellLeader::UnheardWorkers CellLeader::FindUnheard() const {
  UnheardWorkers unheard;
  for (const auto& [id, member] : members_) {
    if (WaitLeft(member) == Millis(0)) {
      continue;
    }
    AddUnheard(id, member, &unheard);
  }
  return unheard;
}

void CellLeader::AddUnheard(std::string_view worker,
                            const Member& member,
                            UnheardWorkers* unheard) {
  unheard->workers.insert(worker);
  if (member.tasks_before) {
    unheard->tasks.insert(member.tasks_before->begin(),
                          member.tasks_before->end());
  } else {
    unheard->any_task = true;
  }
}

bool CellLeader::MayBeThere(const Task& task,
                            const UnheardWorkers& unheard) const {
  const bool may_be = unheard.any_task || unheard.tasks.contains(task.name());
  const bool has_place = places_held_ && task.plan().lasting;
  return may_be && (!has_place || unheard.workers.contains(task.place));
}

bool CellLeader::MayRunUnheard(const Task& task) const {
  if (accounted_) {
    return false;
  }
  return !released_ || held_.contains(task.name());
}

void CellLeader::CheckTakeover() {
  if (accounted_ || workers_read_ == Instant{}) {
    return;
  }
  ReleaseTasks();
  const bool accounted = std::all_of(
      members_.begin(), members_.end(),
      [&](const auto& entry) { return WaitLeft(entry.second) == Millis(0); });
  if (!accounted) {
    TellWait();
    return;
  }
  const bool all_heard = std::none_of(
      members_.begin(), members_.end(),
      [this](const auto& entry) { return IsUnheard(entry.second); });
  accounted_ = true;
  held_.clear();
  log_.Write("info", "cell", "all runs of earlier leaders are accounted for",
             {{"cell", options_.cell},
              {"epoch", epoch_},
              {"all_heard", all_heard},
              {"after_ms", LedFor().count()}});
}

void CellLeader::TellWait() {
  const Instant now = executor_.Now();
  if (now - wait_told_ < kWaitLogInterval) {
    return;
  }
  wait_told_ = now;
  Json workers = Json::array();
  size_t count = 0;
  for (const auto& [id, member] : members_) {
    const Millis left = WaitLeft(member);
    if (left == Millis(0)) {
      continue;
    }
    if (++count <= kMaxWorkersLogged) {
      workers.push_back(
          {{"worker", id},
           {"listed", member.listed},
           {"unheard_before_ms", member.unheard_before.count()},
           {"may_run", member.tasks_before ? Json(member.tasks_before->size())
                                           : Json("anything")},
           {"left_ms", left.count()}});
    }
  }
  int held = 0;
  for (const Job* job : jobs_.OpenJobs()) {
    for (const TimeState& time : job->times) {
      for (const StepState& step : time.steps) {
        held += static_cast<int>(std::count_if(
            step.tasks.begin(), step.tasks.end(), [](const Task& task) {
              return task.unaccounted && !task.placed && !task.done;
            }));
      }
    }
  }
  log_.Write("info", "cell", "waiting for workers that are not yet contacted",
             {{"cell", options_.cell},
              {"epoch", epoch_},
              {"led_ms", LedFor().count()},
              {"unheard", count},
              {"held_tasks", held},
              {"workers", std::move(workers)}});
}

}  // namespace doorwood
