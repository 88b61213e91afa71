// SPDX-License-Identifier: Apache-2.0

#include "doorwood/job_repetitions.h"

#include <algorithm>

namespace doorwood {
namespace {

bool IsOver(const Job& job, const RepetitionState& repetition) {
  return repetition.steps_done == static_cast<int>(job.plan.steps.size()) &&
         std::all_of(repetition.steps.begin(), repetition.steps.end(),
                     [](const StepState& step) {
                       return std::none_of(
                           step.tasks.begin(), step.tasks.end(),
                           [](const Task& task) { return task.placed; });
                     });
}

}  // namespace

int CountTasks(const JobPlan& plan) {
  int tasks = 0;
  for (const StepPlan& step : plan.steps) {
    tasks += step.count;
  }
  return tasks;
}

size_t EstimatePlanMemory(const JobPlan& plan) {
  size_t bytes = sizeof(Job) + plan.payload.size();
  for (const StepPlan& step : plan.steps) {
    bytes += sizeof(StepPlan) + step.depends_on.size() * sizeof(int) +
             step.image.size();
  }
  return bytes;
}

size_t EstimateRepetitionMemory(const JobPlan& plan) {
  return sizeof(RepetitionState) + plan.steps.size() * sizeof(StepState) +
         static_cast<size_t>(CountTasks(plan)) * sizeof(Task);
}

size_t EstimateMemory(const Job& job) {
  return EstimatePlanMemory(job.plan) +
         job.repetitions.size() * EstimateRepetitionMemory(job.plan);
}

RepetitionState* HoldRepetition(Job* job, int repetition) {
  const auto held = job->repetitions.find(repetition);
  if (held != job->repetitions.end()) {
    return &held->second;
  }
  if (repetition < 0 || repetition >= job->plan.repetitions() ||
      job->dropped_repetitions.Contains(repetition)) {
    return nullptr;
  }
  RepetitionState& state = job->repetitions[repetition];
  state.steps.resize(job->plan.steps.size());
  for (size_t step = 0; step < state.steps.size(); ++step) {
    std::vector<Task>& tasks = state.steps[step].tasks;
    tasks.resize(job->plan.steps[step].count);
    state.steps[step].idle = job->plan.steps[step].count;
    for (size_t index = 0; index < tasks.size(); ++index) {
      Task& task = tasks[index];
      task.job = job;
      task.repetition = repetition;
      task.step = static_cast<int>(step);
      task.index = static_cast<int>(index);
      task.last_run = job->first_last_run;
      task.may_still_run = job->new_tasks_may_still_run;
    }
  }
  return &state;
}

int CountDueRepetitions(const JobPlan& plan, int64_t now) {
  if (plan.repeat_count <= 0) {
    return 1;
  }
  if (now < plan.first_due) {
    return 0;
  }
  if (plan.interval <= Millis(0)) {
    return plan.repetitions();
  }
  const int64_t due = (now - plan.first_due) / plan.interval.count() + 1;
  return static_cast<int>(std::min<int64_t>(due, plan.repetitions()));
}

bool HoldDueRepetitions(Job* job,
                        int64_t now,
                        const JobMemoryLimits& limits,
                        size_t* used_bytes) {
  const int due = CountDueRepetitions(job->plan, now);
  if (job->next_repetition >= due) {
    return true;
  }
  const size_t tasks = static_cast<size_t>(CountTasks(job->plan));
  const size_t bytes = EstimateRepetitionMemory(job->plan);
  for (; job->next_repetition < due; ++job->next_repetition) {
    const int next = job->next_repetition;
    if (job->repetitions.contains(next) ||
        job->dropped_repetitions.Contains(next)) {
      continue;
    }
    const size_t held = job->repetitions.size();
    if (held > 0 &&
        (held + 1) * tasks > static_cast<size_t>(limits.tasks_per_job)) {
      return true;
    }
    if (*used_bytes + bytes > limits.bytes) {
      return false;
    }
    HoldRepetition(job, next);
    *used_bytes += bytes;
  }
  return true;
}

void DropDoneRepetitions(Job* job) {
  if (job->plan.repeat_count <= 0) {
    return;
  }
  std::erase_if(job->repetitions, [job](const auto& entry) {
    const bool is_over = IsOver(*job, entry.second);
    if (is_over) {
      job->dropped_repetitions.Add(entry.first);
    }
    return is_over;
  });
}

void RecountTasks(Job* job) {
  job->repetitions_done = job->dropped_repetitions.size();
  for (auto& [number, repetition] : job->repetitions) {
    repetition.steps_done = 0;
    for (size_t i = 0; i < repetition.steps.size(); ++i) {
      StepState& step = repetition.steps[i];
      step.done = static_cast<int>(
          std::count_if(step.tasks.begin(), step.tasks.end(),
                        [](const Task& task) { return task.done; }));
      step.idle = job->plan.steps[i].count - step.done;
      repetition.steps_done += step.idle == 0 ? 1 : 0;
    }
    const bool done =
        repetition.steps_done == static_cast<int>(repetition.steps.size());
    job->repetitions_done += done ? 1 : 0;
  }
}

}  // namespace doorwood
