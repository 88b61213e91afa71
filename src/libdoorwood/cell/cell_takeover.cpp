// SPDX-License-Identifier: Apache-2.0

// What earlier leaders may have left running, and until when a new one must
// reckon with it.

#include <algorithm>
#include <set>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Slack on the time after which an unheard worker's runs are over, for the last
// orders of the earlier leader.
constexpr Millis kLastOrders{500};

// While workers are unheard, for whom the leader waits is logged this often.
constexpr Millis kWaitTold{1000};
// Most workers that such a line names.
constexpr size_t kWorkersNamed = 8;

}  // namespace

Millis CellLeader::LongestPromise() const {
  return LongestOnOurClock(options_.sessions.run_lease) +
         options_.unsure_patience + kLastOrders;
}

// A report lists only so many ends: any task may be among the others.
bool CellLeader::HasMoreToTell(const Member& member) const {
  const WorkerSession& session = *member.session;
  return member.from_takeover && !accounted_ && session.fenced() &&
         !session.told_all() && !session.dead();
}

// A further leader may have adopted what is waited for since the proof, so only
// time up to it counts.
Millis CellLeader::WaitLeft(const Member& member) const {
  if (HasMoreToTell(member)) {
    const auto silent = std::chrono::duration_cast<Millis>(
        executor_.Now() - member.session->heard_at());
    return std::max(LongestPromise() - silent, Millis(0));
  }
  // Nothing runs on one that left with all its ends recorded.
  const bool is_empty = member.tasks_before && member.tasks_before->empty();
  if (!IsUnheard(member) || is_empty) {
    return Millis(0);
  }
  const auto proved =
      std::chrono::duration_cast<Millis>(proof_.stood_at() - led_since_);
  const Millis waited = member.unheard_before + proved;
  return std::max(LongestPromise() + Millis(1) - waited, Millis(0));
}

// A task is held back for as long as one of the workers that are waited for may
// run it. What may run on a worker that was leaving or gone is recorded; on any
// other, every task may.
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
  log_.Write("info", "cell", "all earlier runs are accounted for",
             {{"cell", options_.cell},
              {"epoch", epoch_},
              {"all_heard", all_heard},
              {"after_ms", LedFor().count()}});
}

void CellLeader::TellWait() {
  const Instant now = executor_.Now();
  if (now - wait_told_ < kWaitTold) {
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
    if (++count <= kWorkersNamed) {
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
  log_.Write("info", "cell", "waiting for unheard workers",
             {{"cell", options_.cell},
              {"epoch", epoch_},
              {"led_ms", LedFor().count()},
              {"unheard", count},
              {"held_tasks", held},
              {"workers", std::move(workers)}});
}

}  // namespace doorwood
