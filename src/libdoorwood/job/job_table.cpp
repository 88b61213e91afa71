// SPDX-License-Identifier: Apache-2.0

#include "doorwood/job_table.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "doorwood/job_repetitions.h"

namespace doorwood {

const CrashNote* Task::FindTrialNote(uint32_t run) const {
  const auto found = std::find_if(
      crashes.begin(), crashes.end(), [run](const CrashNote& crash) {
        return crash.evidence == CrashEvidence::kTrial && crash.run == run;
      });
  return found == crashes.end() ? nullptr : &*found;
}

const StepPlan& Task::plan() const {
  return job->plan.steps[step];
}

uint32_t Task::CountRunsWithoutReportedEnd() const {
  if (adopted_run <= recorded_run) {
    return 0;
  }
  const auto reported = std::count_if(
      reported_runs.begin(), reported_runs.end(),
      [this](uint32_t run) { return run > recorded_run && run < adopted_run; });
  return adopted_run - recorded_run - 1 - static_cast<uint32_t>(reported);
}

std::string Task::name() const {
  return StepName(*job, repetition, step) + "." + std::to_string(index);
}

WorkerGroup ConfinedTo(const Task& task) {
  const bool confined = !task.job->was_spread && !task.plan().long_running;
  return confined ? task.job->plan.worker_group : 0;
}

WorkerGroup MayStartIn(const Job& job) {
  return job.spread == SpreadRecord::kRecorded ? 0 : job.plan.worker_group;
}

std::string StepName(const Job& job, int repetition, int step) {
  return job.plan.id + "." + std::to_string(repetition) + "." +
         std::to_string(step);
}

int64_t DueAt(const Job& job, int repetition) {
  return job.plan.repeat_count > 0
             ? job.plan.first_due + repetition * job.plan.interval.count()
             : job.plan.accepted_at;
}

bool IsDue(const Job& job, int repetition, int64_t now) {
  return job.plan.repeat_count <= 0 || now >= DueAt(job, repetition);
}

int64_t WaitingCpu(const Job& job, int64_t now) {
  int64_t cpu = 0;
  for (const auto& [repetition, state] : job.repetitions) {
    if (!IsDue(job, repetition, now)) {
      break;
    }
    for (int step = 0; step < static_cast<int>(job.plan.steps.size()); ++step) {
      const StepPlan& plan = job.plan.steps[step];
      const int idle = state.steps[step].idle;
      if (idle > 0 && !plan.long_running &&
          JobTable::IsUnblocked(job, repetition, step)) {
        cpu += idle * plan.size.cpu_millis;
      }
    }
  }
  return cpu;
}

bool HasPlacedTask(const Job& job) {
  for (const auto& [number, repetition] : job.repetitions) {
    for (const StepState& step : repetition.steps) {
      if (std::any_of(step.tasks.begin(), step.tasks.end(),
                      [](const Task& task) { return task.placed; })) {
        return true;
      }
    }
  }
  return false;
}

void ForEachTask(Job* job, const std::function<void(Task*)>& each) {
  for (auto& [number, repetition] : job->repetitions) {
    for (StepState& step : repetition.steps) {
      for (Task& task : step.tasks) {
        each(&task);
      }
    }
  }
}

bool IsOtherLife(const WorkerLife& life, int64_t started_at, int64_t clock) {
  if (life.started_at != 0 && started_at != 0) {
    return started_at != life.started_at;
  }
  return clock != 0 && clock < life.clock;
}

std::string_view ToString(PollFailure failure) {
  switch (failure) {
    case PollFailure::kNone:
      return "none";
    case PollFailure::kNotSent:
      return "not_sent";
    case PollFailure::kNoResponse:
      return "no_response";
    case PollFailure::kRefused:
      return "refused";
    case PollFailure::kUnreadable:
      return "unreadable";
  }
  return "unknown";
}

std::string_view ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lapsed";
    case RunEnd::kGangMemberEnded:
      return "broken";
    case RunEnd::kGangIncomplete:
      return "alone";
  }
  return "unknown";
}

std::optional<TaskName> ParseTaskName(std::string_view name) {
  TaskName parsed;
  size_t dot = name.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  parsed.job = name.substr(0, dot);
  for (int* part : {&parsed.repetition, &parsed.step, &parsed.index}) {
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    const size_t next = name.find('.', dot + 1);
    const std::string_view digits = name.substr(
        dot + 1, next == std::string_view::npos ? next : next - dot - 1);
    const auto result =
        std::from_chars(digits.data(), digits.data() + digits.size(), *part);
    if (result.ec != std::errc() ||
        result.ptr != digits.data() + digits.size()) {
      return std::nullopt;
    }
    dot = next;
  }
  return parsed;
}

Job* JobTable::Add(JobPlan plan) {
  auto job = std::make_unique<Job>();
  job->plan = std::move(plan);
  if (job->plan.repeat_count <= 0) {
    HoldRepetition(job.get(), 0);
  }
  const std::string id = job->plan.id;
  const auto [entry, added] = jobs_.try_emplace(id, std::move(job));
  if (!added) {
    return nullptr;
  }
  open_.push_back(entry->second.get());
  return open_.back();
}

const std::vector<Job*>& JobTable::OpenJobs() {
  std::erase_if(
      open_, [](const Job* job) { return job->outcome != JobOutcome::kOpen; });
  return open_;
}

void JobTable::NoteRunBegan(Task* task, uint32_t run) {
  Job* job = task->job;
  if (job->started) {
    return;
  }
  StepState& step = job->repetitions.at(task->repetition).steps[task->step];
  if (task->plan().gang) {
    if (step.gang_run != run) {
      step.gang_run = run;
      step.begun_members.clear();
    }
    step.begun_members.insert(task->index);
    if (static_cast<int>(step.begun_members.size()) < task->plan().count) {
      return;
    }
    step.begun_members.clear();
  }
  job->started = true;
}

void JobTable::NoteListedEnd(Task* task, RunEnd end) {
  const bool shows_begin = end == RunEnd::kDone || end == RunEnd::kFailed ||
                           (end == RunEnd::kLeaseExpired && !task->plan().gang);
  task->job->started = task->job->started || shows_begin;
}

void JobTable::SetPlaced(Task* task, bool placed) {
  if (task->placed == placed) {
    return;
  }
  task->placed = placed;
  if (!task->done) {
    task->job->repetitions.at(task->repetition).steps[task->step].idle +=
        placed ? -1 : 1;
  }
}

void JobTable::BeginTwoRuns(Task* task, uint32_t run, uint32_t other_run) {
  task->backed_up_run = std::min(run, other_run);
  task->copy_run = std::max(run, other_run);
}

uint32_t JobTable::EndPlacedRun(Task* task, uint32_t run) {
  if (task->copy_run == 0) {
    SetPlaced(task, false);
    return 0;
  }
  const uint32_t remaining =
      run == task->copy_run ? task->backed_up_run : task->copy_run;
  task->backed_up_run = 0;
  task->copy_run = 0;
  return remaining;
}

Job* JobTable::Find(std::string_view id) {
  const auto found = jobs_.find(std::string(id));
  return found == jobs_.end() ? nullptr : found->second.get();
}

Task* JobTable::FindTask(std::string_view name) {
  const auto parsed = ParseTaskName(name);
  if (!parsed) {
    return nullptr;
  }
  Job* job = Find(parsed->job);
  if (job == nullptr || parsed->step < 0 || parsed->index < 0) {
    return nullptr;
  }
  RepetitionState* repetition = HoldRepetition(job, parsed->repetition);
  if (repetition == nullptr) {
    return nullptr;
  }
  auto& steps = repetition->steps;
  if (static_cast<size_t>(parsed->step) >= steps.size()) {
    return nullptr;
  }
  auto& tasks = steps[parsed->step].tasks;
  if (static_cast<size_t>(parsed->index) >= tasks.size()) {
    return nullptr;
  }
  return &tasks[parsed->index];
}

void JobTable::Remove(const std::string& id) {
  const Job* job = Find(id);
  std::erase(open_, job);
  jobs_.erase(id);
}

void JobTable::Clear() {
  open_.clear();
  jobs_.clear();
}

bool JobTable::IsUnblocked(const Job& job, int repetition, int step) {
  const RepetitionState& state = job.repetitions.at(repetition);
  const auto& earlier = job.plan.steps[step].depends_on;
  return std::all_of(earlier.begin(), earlier.end(), [&](int needed) {
    return state.steps[needed].done == job.plan.steps[needed].count;
  });
}

void JobTable::MarkTaskDone(Task* task) {
  if (task->done) {
    return;
  }
  task->done = true;
  task->checkpoint.clear();
  Job* job = task->job;
  RepetitionState& repetition = job->repetitions.at(task->repetition);
  StepState& step = repetition.steps[task->step];
  ++step.done;
  step.idle -= task->placed ? 0 : 1;
  if (step.done < task->plan().count) {
    return;
  }
  ++repetition.steps_done;
  if (repetition.steps_done < static_cast<int>(job->plan.steps.size())) {
    return;
  }
  ++job->repetitions_done;
  if (job->repetitions_done == job->plan.repetitions()) {
    Finish(job, JobOutcome::kCompleted);
  }
}

void JobTable::MarkTaskOrGangDone(Task* task) {
  if (!task->plan().gang) {
    MarkTaskDone(task);
    return;
  }
  for (Task& member :
       task->job->repetitions.at(task->repetition).steps[task->step].tasks) {
    MarkTaskDone(&member);
  }
}

bool JobTable::AddFailedRun(Task* task, uint32_t run, int max_attempts) {
  Task* counter = task;
  if (task->plan().gang) {
    counter = &task->job->repetitions.at(task->repetition)
                   .steps[task->step]
                   .tasks.front();
  }
  auto& failed = counter->failed_runs;
  if (std::find(failed.begin(), failed.end(), run) == failed.end()) {
    failed.push_back(run);
  }
  return static_cast<int>(failed.size()) >= max_attempts;
}

EndEffect JobTable::ApplyRunEnd(Task* task,
                                uint32_t run,
                                RunEnd end,
                                const std::string& checkpoint,
                                int max_attempts,
                                uint32_t active_run) {
  task->last_run = std::max(task->last_run, run);
  Job* job = task->job;
  const bool counts_as_failure =
      end == RunEnd::kFailed && !task->plan().long_running && !task->done;
  if (counts_as_failure) {
    job->dirty = true;
    if (AddFailedRun(task, run, max_attempts) &&
        Finish(job, JobOutcome::kFailed)) {
      task->counted_run = std::max(task->counted_run, run);
      return EndEffect::kJobFailed;
    }
  }
  if (task->done) {
    return EndEffect::kIgnored;
  }
  const bool given_up = run <= task->counted_run;
  const uint32_t counted =
      active_run == 0 ? run : std::min(run, active_run - 1);
  task->counted_run = std::max(task->counted_run, counted);
  // A run that was given up without a report also completes the task: the
  // worker completed the run within the lease, so the result is valid even if
  // further runs were ordered since. Without this rule 3,400 to 4,681 tasks
  // were started again within 80 s of an overload with unreachable workers
  // (five simulated runs, counted in the leader's log).
  if (end == RunEnd::kDone && !task->plan().long_running) {
    job->dirty = true;
    MarkTaskOrGangDone(task);
    return EndEffect::kDone;
  }
  const bool no_later_run = run == task->counted_run && !task->placed;
  if (!checkpoint.empty() && (!given_up || no_later_run)) {
    task->checkpoint = checkpoint;
  }
  return given_up ? EndEffect::kIgnored : EndEffect::kRetry;
}

bool JobTable::NoteCrash(Task* task, CrashNote crash) {
  if (task->done) {
    return false;
  }
  const auto known = std::find_if(
      task->crashes.begin(), task->crashes.end(),
      [&](const CrashNote& other) { return other.run == crash.run; });
  if (known == task->crashes.end()) {
    task->crashes.push_back(std::move(crash));
  } else if (*known == crash ||
             (known->evidence != CrashEvidence::kUnconfirmed &&
              known->evidence != CrashEvidence::kTrial)) {
    return false;
  } else {
    *known = std::move(crash);
  }
  task->job->dirty = true;
  return true;
}

bool JobTable::RemoveUnconfirmedCrash(Task* task, uint32_t run) {
  const auto dropped =
      std::erase_if(task->crashes, [run](const CrashNote& crash) {
        return crash.run == run &&
               crash.evidence == CrashEvidence::kUnconfirmed;
      });
  if (dropped > 0) {
    task->job->dirty = true;
  }
  return dropped > 0;
}

void JobTable::NoteTrial(Task* task, CrashNote trial) {
  RemoveTrialNote(task);
  task->crashes.push_back(std::move(trial));
  task->job->dirty = true;
}

bool JobTable::RemoveTrialNote(Task* task) {
  const auto dropped = std::erase_if(task->crashes, [](const CrashNote& crash) {
    return crash.evidence == CrashEvidence::kTrial;
  });
  if (dropped > 0) {
    task->job->dirty = true;
  }
  return dropped > 0;
}

bool JobTable::SetAssignedWorker(Task* task, const std::string& worker) {
  if (task->assigned_worker == worker) {
    return task->assignment_record != AssignmentRecord::kRecorded;
  }
  task->assigned_worker = worker;
  task->assignment_record = AssignmentRecord::kChanged;
  task->job->dirty = true;
  return true;
}

size_t JobTable::EstimateMemory() const {
  size_t bytes = 0;
  for (const auto& [id, job] : jobs_) {
    bytes += doorwood::EstimateMemory(*job);
  }
  return bytes;
}

bool JobTable::Finish(Job* job, JobOutcome outcome) {
  if (job->outcome != JobOutcome::kOpen) {
    return false;
  }
  job->outcome = outcome;
  job->dirty = true;
  return true;
}

}  // namespace doorwood
