// SPDX-License-Identifier: Apache-2.0

#include "doorwood/job_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

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
  for (int repetition = 0; repetition < job.plan.repetitions(); ++repetition) {
    if (!IsDue(job, repetition, now)) {
      break;
    }
    for (int step = 0; step < static_cast<int>(job.plan.steps.size()); ++step) {
      const StepPlan& plan = job.plan.steps[step];
      const int idle = job.repetitions[repetition].steps[step].idle;
      if (idle > 0 && !plan.long_running &&
          JobTable::IsUnblocked(job, repetition, step)) {
        cpu += idle * plan.size.cpu_millis;
      }
    }
  }
  return cpu;
}

bool HasPlacedTask(const Job& job) {
  for (const RepetitionState& repetition : job.repetitions) {
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
  for (RepetitionState& repetition : job->repetitions) {
    for (StepState& step : repetition.steps) {
      for (Task& task : step.tasks) {
        each(&task);
      }
    }
  }
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
  for (int repetition = 0; repetition < job->plan.repetitions(); ++repetition) {
    RepetitionState& state = job->repetitions.emplace_back();
    state.steps.resize(job->plan.steps.size());
    for (size_t step = 0; step < state.steps.size(); ++step) {
      std::vector<Task>& tasks = state.steps[step].tasks;
      tasks.resize(job->plan.steps[step].count);
      state.steps[step].idle = job->plan.steps[step].count;
      for (size_t index = 0; index < tasks.size(); ++index) {
        tasks[index].job = job.get();
        tasks[index].repetition = repetition;
        tasks[index].step = static_cast<int>(step);
        tasks[index].index = static_cast<int>(index);
      }
    }
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

void JobTable::SetPlaced(Task* task, bool placed) {
  if (task->placed == placed) {
    return;
  }
  task->placed = placed;
  if (!task->done) {
    task->job->repetitions[task->repetition].steps[task->step].idle +=
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
  if (job == nullptr || parsed->repetition < 0 || parsed->step < 0 ||
      parsed->index < 0 ||
      static_cast<size_t>(parsed->repetition) >= job->repetitions.size()) {
    return nullptr;
  }
  auto& steps = job->repetitions[parsed->repetition].steps;
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
  const RepetitionState& state = job.repetitions[repetition];
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
  RepetitionState& repetition = job->repetitions[task->repetition];
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
       task->job->repetitions[task->repetition].steps[task->step].tasks) {
    MarkTaskDone(&member);
  }
}

bool JobTable::AddFailedRun(Task* task, uint32_t run, int max_attempts) {
  Task* counter = task;
  if (task->plan().gang) {
    counter = &task->job->repetitions[task->repetition]
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

bool JobTable::Finish(Job* job, JobOutcome outcome) {
  if (job->outcome != JobOutcome::kOpen) {
    return false;
  }
  job->outcome = outcome;
  job->dirty = true;
  return true;
}

namespace {

constexpr std::array<std::pair<JobOutcome, char>, 4> kOutcomeLetters = {
    {{JobOutcome::kOpen, 'o'},
     {JobOutcome::kCompleted, 'd'},
     {JobOutcome::kFailed, 'f'},
     {JobOutcome::kCancelled, 'c'}}};

bool HasStateToStore(const Task& task) {
  return task.done || task.last_run > 0;
}

constexpr size_t kCrashesColumn = 8;
constexpr size_t kAssignedWorkerColumn = 9;

// [run, machine, worker, evidence, suspect, in trial, mass crash, observed
// running (ms)]
Json EncodeCrash(const CrashNote& crash) {
  return Json::array({crash.run, crash.machine, crash.worker,
                      static_cast<int>(crash.evidence), crash.suspect ? 1 : 0,
                      crash.in_trial ? 1 : 0, crash.mass_crash ? 1 : 0,
                      crash.observed_running.count()});
}

CrashNote DecodeCrash(const Json& row) {
  CrashNote crash;
  row.at(0).get_to(crash.run);
  row.at(1).get_to(crash.machine);
  row.at(2).get_to(crash.worker);
  const int evidence = row.at(3).get<int>();
  crash.evidence = CrashEvidence::kUnconfirmed;
  for (const auto known :
       {CrashEvidence::kRestarted, CrashEvidence::kVanished}) {
    if (evidence == static_cast<int>(known)) {
      crash.evidence = known;
    }
  }
  crash.suspect = row.at(4).get<int>() != 0;
  crash.in_trial = row.at(5).get<int>() != 0;
  crash.mass_crash = row.at(6).get<int>() != 0;
  crash.observed_running = Millis(row.at(7).get<int64_t>());
  return crash;
}

// [repetition, step, index, last run, counted run, failed runs, checkpoint,
// done], followed by the crashes if there are crashes or an assigned worker,
// and by the assigned worker if there is one. Older versions ignore these extra
// columns.
Json EncodeTask(const Task& task) {
  Json row = Json::array({task.repetition, task.step, task.index, task.last_run,
                          task.counted_run, task.failed_runs, task.checkpoint,
                          task.done ? 1 : 0});
  const bool has_crashes = !task.crashes.empty() && !task.done;
  if (has_crashes || !task.assigned_worker.empty()) {
    Json crashes = Json::array();
    for (const CrashNote& crash : task.crashes) {
      crashes.push_back(EncodeCrash(crash));
    }
    row.push_back(std::move(crashes));
  }
  if (!task.assigned_worker.empty()) {
    row.push_back(task.assigned_worker);
  }
  return row;
}

}  // namespace

std::string EncodeJobState(const Job& job) {
  Json tasks = Json::array();
  // The tasks of a finished job are no longer needed.
  if (job.outcome == JobOutcome::kOpen) {
    for (const RepetitionState& repetition : job.repetitions) {
      for (const StepState& step : repetition.steps) {
        for (const Task& task : step.tasks) {
          if (HasStateToStore(task)) {
            tasks.push_back(EncodeTask(task));
          }
        }
      }
    }
  }
  char letter = 'o';
  for (const auto& [outcome, known] : kOutcomeLetters) {
    if (outcome == job.outcome) {
      letter = known;
    }
  }
  Json state{{"outcome", std::string(1, letter)},
             {"finished_at", job.finished_at},
             {"begun", job.started},
             {"tasks", std::move(tasks)}};
  if (!job.reason.empty()) {
    state["reason"] = job.reason;
  }
  if (job.spread != SpreadRecord::kConfined) {
    state["spread"] = true;
  }
  return state.dump();
}

bool DecodeJobState(std::string_view text, Job* job) {
  const auto json = ParseJson(text);
  if (!json) {
    return false;
  }
  bool valid = true;
  try {
    const std::string letter = json->at("outcome").get<std::string>();
    job->finished_at = json->at("finished_at").get<int64_t>();
    job->started = json->at("begun").get<bool>();
    if (json->contains("reason")) {
      job->reason = json->at("reason").get<std::string>();
    }
    if (json->value("spread", false)) {
      job->spread = SpreadRecord::kRecorded;
      job->was_spread = true;
    }
    for (const Json& row : json->at("tasks")) {
      const size_t repetition = row.at(0).get<size_t>();
      const size_t step = row.at(1).get<size_t>();
      const size_t index = row.at(2).get<size_t>();
      Task& task =
          job->repetitions.at(repetition).steps.at(step).tasks.at(index);
      row.at(3).get_to(task.last_run);
      row.at(4).get_to(task.counted_run);
      row.at(5).get_to(task.failed_runs);
      row.at(6).get_to(task.checkpoint);
      task.done = row.at(7).get<int>() != 0;
      if (row.size() > kCrashesColumn) {
        for (const Json& crash : row.at(kCrashesColumn)) {
          task.crashes.push_back(DecodeCrash(crash));
        }
      }
      if (row.size() > kAssignedWorkerColumn) {
        row.at(kAssignedWorkerColumn).get_to(task.assigned_worker);
      }
    }
    for (const auto& [outcome, known] : kOutcomeLetters) {
      if (letter.size() == 1 && letter[0] == known) {
        job->outcome = outcome;
      }
    }
  } catch (const std::exception&) {
    valid = false;  // keeps what was read before the fault
  }
  job->repetitions_done = 0;
  for (RepetitionState& repetition : job->repetitions) {
    repetition.steps_done = 0;
    for (size_t step = 0; step < repetition.steps.size(); ++step) {
      const auto& tasks = repetition.steps[step].tasks;
      repetition.steps[step].done = static_cast<int>(
          std::count_if(tasks.begin(), tasks.end(),
                        [](const Task& task) { return task.done; }));
      repetition.steps[step].idle =
          job->plan.steps[step].count - repetition.steps[step].done;
      if (repetition.steps[step].done == job->plan.steps[step].count) {
        ++repetition.steps_done;
      }
    }
    if (repetition.steps_done == static_cast<int>(repetition.steps.size())) {
      ++job->repetitions_done;
    }
  }
  job->outcome_recorded = job->outcome != JobOutcome::kOpen;
  return valid;
}

}  // namespace doorwood
