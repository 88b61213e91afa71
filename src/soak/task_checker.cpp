// SPDX-License-Identifier: Apache-2.0

#include "soak/task_checker.h"

#include <algorithm>
#include <utility>

#include "standin/run_worker_model.h"

namespace doorwood::soak {
namespace {

// A task's name is JOB.REPETITION.STEP.INDEX.
constexpr char kFirstStep[] = ".0.0.";
constexpr char kSecondStep[] = ".0.1.";
// ms; see CheckLongRunning.
constexpr int64_t kMaxDowntime = 6000;
constexpr int64_t kLostGrace = 3000;
constexpr int64_t kFaultFreeBefore = 4000;

}  // namespace

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

std::string Describe(const ObservedRun& run) {
  std::string text = "run " + std::to_string(run.run) + " on " +
                     run.incarnation + " under token " +
                     std::to_string(run.token) + " from " +
                     std::to_string(run.from) + " ms";
  if (!run.active) {
    text += " to " + std::to_string(run.until) + " ms (" +
            std::string(ToString(run.end)) + ")";
  }
  return text;
}

void TaskChecker::ReportViolation(const std::string& sentence) {
  report_(sentence);
}

void TaskChecker::OnStarted(const std::string& incarnation,
                            const StartOrder& order,
                            int64_t at) {
  ++starts_;
  ObservedRun fresh;
  fresh.task = order.task;
  fresh.run = order.run;
  fresh.incarnation = incarnation;
  fresh.token = order.token;
  fresh.from = at;
  std::vector<ObservedRun>& earlier = runs_[order.task];
  for (const ObservedRun& run : earlier) {
    if (run.active) {
      ReportViolation("two runs at once of " + order.task + ": " +
                      Describe(run) + "; " + Describe(fresh));
    } else if (run.end == RunEnd::kDone && run.acknowledged) {
      ReportViolation("started after an acknowledged completion of " +
                      order.task + ": " + Describe(run) + "; " +
                      Describe(fresh));
    }
  }
  CheckStepOrder(order.task, fresh);
  CheckCrashes(order, fresh);
  earlier.push_back(std::move(fresh));
}

// The limit applies to tasks that crash their workers, not to other tasks that
// run on the same worker.
void TaskChecker::CheckCrashes(const StartOrder& order,
                               const ObservedRun& fresh) {
  if (!standin::CrashDelay(order)) {
    return;
  }
  const std::string& task = order.task;
  constexpr int kCrashLimit = 3;
  constexpr int kMoreStarts = 3;
  const auto crashed = worker_crashes_.find(task);
  if (crashed != worker_crashes_.end() && crashed->second >= kCrashLimit &&
      ++starts_after_third_crash_[task] == kMoreStarts) {
    ReportViolation(
        "started three more times after three workers had crashed while "
        "running " +
        task + ": " + Describe(fresh));
  }
}

void TaskChecker::CheckStepOrder(const std::string& task,
                                 const ObservedRun& fresh) {
  const std::string job = JobOf(task);
  const auto needed = first_tasks_.find(job);
  if (!task.starts_with(job + kSecondStep) || needed == first_tasks_.end()) {
    return;
  }
  const size_t done = CountDoneTasks(job + kFirstStep);
  if (done < static_cast<size_t>(needed->second)) {
    ReportViolation("started before the previous step completed: " + task +
                    ": " + Describe(fresh) + "; of the previous step, " +
                    std::to_string(done) + " tasks have completed");
  }
}

size_t TaskChecker::CountDoneTasks(const std::string& prefix) const {
  const auto is_done = [](const ObservedRun& run) {
    return !run.active && run.end == RunEnd::kDone;
  };
  size_t done = 0;
  for (auto it = runs_.lower_bound(prefix);
       it != runs_.end() && it->first.starts_with(prefix); ++it) {
    const bool any = std::any_of(it->second.begin(), it->second.end(), is_done);
    done += any ? 1 : 0;
  }
  return done;
}

ObservedRun* TaskChecker::Find(const std::string& incarnation,
                               const EndedRun& end) {
  std::vector<ObservedRun>& runs = runs_[end.task];
  const auto found = std::find_if(runs.begin(), runs.end(), [&](const auto& r) {
    return r.incarnation == incarnation && r.run == end.run;
  });
  return found == runs.end() ? nullptr : &*found;
}

void TaskChecker::OnEnded(const std::string& incarnation,
                          const EndedRun& end,
                          int64_t at) {
  if (ObservedRun* run = Find(incarnation, end)) {
    run->active = false;
    run->until = at;
    run->end = end.end;
  }
}

void TaskChecker::OnEndAcknowledged(const std::string& incarnation,
                                    const EndedRun& end) {
  ObservedRun* run = Find(incarnation, end);
  if (run == nullptr || run->acknowledged || !run->can_be_acknowledged) {
    return;
  }
  run->acknowledged = true;
  if (run->end != RunEnd::kDone) {
    return;
  }
  for (const ObservedRun& other : runs_[end.task]) {
    if (other.from > run->until) {
      ReportViolation("started between a completion of " + end.task +
                      " and its acknowledgement: " + Describe(*run) + "; " +
                      Describe(other));
    }
  }
}

void TaskChecker::OnLeaseExpired(const std::string& incarnation) {
  for (auto& [task, runs] : runs_) {
    for (ObservedRun& run : runs) {
      if (run.incarnation == incarnation && !run.active) {
        run.can_be_acknowledged = false;
      }
    }
  }
}

void TaskChecker::OnCrashed(const std::string& incarnation) {
  for (const auto& [task, runs] : runs_) {
    const bool was_running =
        std::any_of(runs.begin(), runs.end(), [&](const ObservedRun& run) {
          return run.incarnation == incarnation && run.active;
        });
    if (was_running) {
      ++worker_crashes_[task];
    }
  }
}

void TaskChecker::OnIncarnationEnded(const std::string& incarnation,
                                     int64_t at) {
  for (auto& [task, runs] : runs_) {
    for (ObservedRun& run : runs) {
      if (run.incarnation == incarnation && run.active) {
        run.active = false;
        run.until = at;
      }
    }
  }
}

void TaskChecker::OnSubmitAttempt(const std::string& job, bool rejected) {
  may_be_accepted_[job] = may_be_accepted_[job] || !rejected;
}

void TaskChecker::OnCompleted(const std::string& job, size_t tasks) {
  const size_t done = CountDoneTasks(job + ".");
  if (done < tasks) {
    ReportViolation("reported as completed: " + job + ", of whose " +
                    std::to_string(tasks) + " tasks " + std::to_string(done) +
                    " have completed");
  }
}

void TaskChecker::CheckRejected() {
  for (const auto& [task, runs] : runs_) {
    const auto known = may_be_accepted_.find(JobOf(task));
    if (known != may_be_accepted_.end() && !known->second && !runs.empty()) {
      ReportViolation("started although its job was rejected: " + task + ": " +
                      Describe(runs.front()));
    }
  }
}

void TaskChecker::OnFaultEnds(int64_t at) {
  --faults_;
  last_fault_ = at;
}

void TaskChecker::CheckLongRunning(int64_t now) {
  if (faults_ > 0) {
    last_fault_ = now;
  }
  if (now - last_fault_ <= kLostGrace + kFaultFreeBefore) {
    return;
  }
  for (const std::string& job : long_running_) {
    for (auto it = runs_.lower_bound(job);
         it != runs_.end() && JobOf(it->first) == job; ++it) {
      CheckDowntime(&it->second, now);
    }
  }
}

void TaskChecker::CheckDowntime(std::vector<ObservedRun>* runs, int64_t now) {
  ObservedRun* last = nullptr;
  for (ObservedRun& run : *runs) {
    if (run.active) {
      return;
    }
    last = last == nullptr || run.until > last->until ? &run : last;
  }
  if (last == nullptr) {
    return;
  }
  const int64_t downtime = now - last->until;
  longest_downtime_ = std::max(longest_downtime_, downtime);
  if (downtime > kMaxDowntime + kLostGrace && !last->reported_lost) {
    last->reported_lost = true;
    ReportViolation("runs nowhere for " + std::to_string(downtime) +
                    " ms: " + last->task + ", after " + Describe(*last));
  }
}

size_t TaskChecker::CountActiveTasks(const std::string& job) const {
  size_t active = 0;
  for (auto it = runs_.lower_bound(job);
       it != runs_.end() && JobOf(it->first) == job; ++it) {
    const auto& runs = it->second;
    active += std::any_of(runs.begin(), runs.end(),
                          [](const ObservedRun& run) { return run.active; })
                  ? 1
                  : 0;
  }
  return active;
}

}  // namespace doorwood::soak
