// SPDX-License-Identifier: Apache-2.0

// Backup copies of slow runs, for steps that allow them: collects the inputs
// for policy/backup_runs, starts the copies, and handles tasks with two runs.

#include <algorithm>
#include <tuple>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

constexpr Millis kSearchInterval{100};
// Runs younger than this are not examined.
constexpr Millis kMinAge{200};
// Pause before the next copy of a task after one of its two runs has ended
// without completing it, or did not begin.
constexpr Millis kPauseAfterCopy{1000};
// Bounds of one search, so that it stays short.
constexpr int kMaxProgressPolls = 20;
constexpr size_t kMaxStartsPerSearch = 20;
// Number of run times of other tasks of a step that an estimate uses.
constexpr size_t kMaxEndedTimes = 64;
constexpr size_t kMaxActiveTimes = 32;

Millis Elapsed(Instant from, Instant now) {
  return std::chrono::duration_cast<Millis>(now - from);
}

std::optional<ProgressReport> ReportOf(const Run& run) {
  if (run.progress_at == Instant{}) {
    return std::nullopt;
  }
  return ProgressReport{run.progress, Elapsed(run.ordered, run.progress_at)};
}

// Whether a copy that takes longer in another rack still ends before the slow
// run.
bool IsWorthOtherRack(const BackupDecision& decision,
                      const PolicyOptions& options) {
  return static_cast<double>(decision.remaining.count()) >
         options.spread_run_time_factor *
             static_cast<double>(decision.copy_time.count());
}

// Steps that do not need `step` to be done.
std::vector<int> IndependentSteps(const JobPlan& plan, int step) {
  std::vector<bool> needs_step(plan.steps.size(), false);
  needs_step[step] = true;
  std::vector<int> independent;
  for (size_t other = 0; other < plan.steps.size(); ++other) {
    const auto& earlier = plan.steps[other].depends_on;
    needs_step[other] =
        needs_step[other] ||
        std::any_of(earlier.begin(), earlier.end(),
                    [&](int needed) { return needs_step[needed]; });
    if (!needs_step[other]) {
      independent.push_back(static_cast<int>(other));
    }
  }
  return independent;
}

}  // namespace

bool CellLeader::MayGetCopy(const Task& task) const {
  const Instant now = executor_.Now();
  return !task.done && task.placed && task.copy_run == 0 &&
         task.job->outcome == JobOutcome::kOpen && task.crashes.empty() &&
         !task.crash_unrecorded && !task.may_have_unconfirmed_crash &&
         !task.may_still_run && !MayRunOnUnaccountedWorker(task) &&
         now >= task.no_copy_before;
}

JobOutlook CellLeader::OutlookOf(const Job& job,
                                 const Queue& queue,
                                 int repetition,
                                 int step) const {
  const std::vector<Millis> run_times = ExpectedRunTimes(job, repetition);
  const double chain =
      static_cast<double>(CriticalPathLength(job.plan, run_times).count());
  JobOutlook outlook;
  outlook.since_due = Millis(unix_millis_() - DueAt(job, repetition));
  outlook.objective = Millis(static_cast<int64_t>(queue.max_slowdown * chain)) +
                      queue.latency_target;
  outlook.useful = Millis(
      static_cast<int64_t>(options_.policy.max_useful_time_factor *
                           static_cast<double>(outlook.objective.count())));
  outlook.after_step =
      RemainingCriticalPathLength(job.plan, step, run_times) - run_times[step];
  for (const int other : IndependentSteps(job.plan, step)) {
    const StepState& state = job.repetitions.at(repetition).steps[other];
    if (state.done < job.plan.steps[other].count) {
      outlook.other_steps =
          std::max(outlook.other_steps,
                   RemainingCriticalPathLength(job.plan, other, run_times));
    }
  }
  return outlook;
}

std::map<std::string, std::vector<CellLeader::PlacedRun>>
CellLeader::CollectRunsWithCopies(
    std::map<std::string, BackupRoom>* rooms) const {
  std::map<std::string, std::vector<PlacedRun>> by_step;
  for (const auto& [id, cell_worker] : cell_workers_) {
    const auto& session = cell_worker.session;
    for (const auto& [task, run] : session->runs()) {
      if (run.is_copy) {
        BackupRoom& room = (*rooms)[session->incarnation().service];
        ++room.copies;
        room.copies_cpu += run.size.cpu_millis;
      }
      // When an adopted run began is not known.
      if (run.copies_allowed && run.phase != RunPhase::kStopping &&
          !run.adopted && executor_.Now() - run.ordered >= kMinAge) {
        by_step[run.step].push_back({session, &run});
      }
    }
  }
  return by_step;
}

RunTimeEstimate CellLeader::EstimateRunTime(
    const Task& task,
    const WorkerSession& session,
    const std::vector<PlacedRun>& runs) const {
  const StepState& step =
      task.job->repetitions.at(task.repetition).steps[task.step];
  const size_t ended = std::min(step.run_times.size(), kMaxEndedTimes);
  std::vector<Millis> others(
      step.run_times.end() - static_cast<std::ptrdiff_t>(ended),
      step.run_times.end());
  for (const PlacedRun& other : runs) {
    if (others.size() >= ended + kMaxActiveTimes) {
      break;
    }
    const auto report = ReportOf(*other.run);
    // Runs on the same worker are slow if it is.
    const auto total = report && other.session.get() != &session
                           ? ProjectRunTime(*report)
                           : std::nullopt;
    if (total) {
      others.push_back(*total);
    }
  }
  const std::string& queue = task.job->plan.queue;
  return EstimateFromStep(
      others, {run_times_.ExpectedRunTime(queue, task.plan().estimate),
               run_times_.LogSpread(queue)});
}

void CellLeader::FindSlowRuns(const std::vector<PlacedRun>& runs,
                              int* progress_polls,
                              std::vector<SlowRun>* slow) {
  const Instant now = executor_.Now();
  std::optional<JobOutlook> outlook;
  for (const PlacedRun& placed : runs) {
    Task* task = jobs_.FindTask(placed.run->task);
    const Queue* queue = task == nullptr ? nullptr : QueueOf(*task->job);
    if (queue == nullptr || queue->advice || !MayGetCopy(*task)) {
      continue;
    }
    if (!outlook) {
      outlook = OutlookOf(*task->job, *queue, task->repetition, task->step);
    }
    Run& run = *placed.session->FindRun(placed.run->task);
    const bool unanswered =
        run.progress_asked > placed.session->last_response_at();
    BackupCandidate candidate;
    candidate.elapsed = Elapsed(run.ordered, now);
    candidate.report = ReportOf(run);
    candidate.unanswered =
        unanswered ? Elapsed(run.progress_asked, now) : Millis(0);
    candidate.estimate = EstimateRunTime(*task, *placed.session, runs);
    candidate.job = *outlook;
    candidate.failed_runs = static_cast<int>(task->failed_runs.size());
    candidate.max_attempts = queue->max_attempts;
    const BackupDecision decision =
        DecideBackup(candidate, options_.policy.backups);
    if (decision.verdict == BackupVerdict::kStart) {
      slow->push_back({task, placed.session, run.number, candidate, decision});
    } else if (decision.verdict == BackupVerdict::kAskProgress && !unanswered &&
               *progress_polls > 0) {
      --*progress_polls;
      run.progress_asked = now;
      placed.session->PollNow();
    }
  }
}

void CellLeader::StartCopies() {
  const Instant now = executor_.Now();
  if (!AreCopiesEnabled() || shutdown_since_ != Instant{} ||
      now - copies_searched_ < kSearchInterval) {
    return;
  }
  copies_searched_ = now;
  std::map<std::string, BackupRoom> rooms;
  std::vector<SlowRun> slow;
  int progress_polls = kMaxProgressPolls;
  for (const auto& [step, runs] : CollectRunsWithCopies(&rooms)) {
    FindSlowRuns(runs, &progress_polls, &slow);
  }
  if (slow.empty()) {
    return;
  }
  std::sort(slow.begin(), slow.end(), [](const SlowRun& a, const SlowRun& b) {
    return a.decision.gain > b.decision.gain;
  });
  slow.resize(std::min(slow.size(), kMaxStartsPerSearch));
  ++pass_;  // Candidates that have changed belong to a pass of their own.
  const auto by_group = CandidatesByGroup();
  for (const CandidateWorker* candidate : by_group.at(0)) {
    if (candidate->accepts_work) {
      BackupRoom& room = rooms[std::string(candidate->service)];
      room.capacity += candidate->capacity.cpu_millis;
      room.free += std::max<int64_t>(
          0, candidate->capacity.cpu_millis - candidate->reserved.cpu_millis);
    }
  }
  for (auto& [service, room] : rooms) {
    room.steps_wait = services_with_waiting_steps_.contains(service);
  }
  for (const SlowRun& run : slow) {
    StartCopy(run, slow, CandidatesFor(*run.task->job, by_group),
              &rooms[QueueOf(*run.task->job)->service]);
  }
}

// Another worker than that of any slow run: those may be slow now. Another rack
// is preferred, since what makes a worker slow may affect its rack; but where
// the step's tasks are to share a rack, that one is, and a copy in another must
// be worth the lower speed.
CandidateWorker* CellLeader::ChoosePlaceOfCopy(
    const SlowRun& slow,
    const std::vector<SlowRun>& all_slow,
    const std::vector<CandidateWorker*>& candidates) {
  const Task& task = *slow.task;
  const StepPlan& plan = task.plan();
  const ReadyStep step_of_task{{}, task.job, task.repetition, task.step};
  const RackSearch racks = SearchRacks(step_of_task, candidates, /*tasks=*/1);
  TaskRequirements need{QueueOf(*task.job)->service,
                        interference_.Intern(plan.image)};
  racks.Apply(&need);
  need.rack_required = plan.same_rack && !IsSpreadOverRacks(racks.racks()) &&
                       !IsWorthOtherRack(slow.decision, options_.policy);
  const std::string name = task.name();
  const std::string step = StepName(*task.job, task.repetition, task.step);
  const auto& labels = slow.session->incarnation().labels;
  const std::string_view slow_rack =
      labels.empty() ? std::string_view() : std::string_view(labels.back());
  CandidateWorker* best = nullptr;
  std::tuple<bool, bool, double> best_score;
  for (CandidateWorker* candidate : candidates) {
    const auto& session = cell_workers_.at(std::string(candidate->id)).session;
    const bool is_slow =
        std::any_of(all_slow.begin(), all_slow.end(),
                    [&](const SlowRun& run) { return run.session == session; });
    const int on_worker =
        plan.max_per_worker > 0 ? session->CountRunsOfStep(step) : 0;
    if (is_slow || candidate->id == task.avoided_worker ||
        session->FindRun(name) != nullptr ||
        FindPlaceProblem(plan, need, *candidate, on_worker, interference_,
                         options_.policy) != PlaceProblem::kNone) {
      continue;
    }
    const bool in_rack = !plan.same_rack || candidate->rack == need.rack;
    const std::tuple score(in_rack, candidate->rack != slow_rack,
                           PlaceScore(plan, need, *candidate, interference_));
    if (best == nullptr || score > best_score) {
      best = candidate;
      best_score = score;
    }
  }
  return best;
}

void CellLeader::StartCopy(const SlowRun& slow,
                           const std::vector<SlowRun>& all_slow,
                           const std::vector<CandidateWorker*>& candidates,
                           BackupRoom* room) {
  Task* task = slow.task;
  const int64_t cpu = task->plan().size.cpu_millis;
  Run* run = slow.session->FindRun(task->name());
  if (!IsWithinBudget(*room, cpu, options_.policy.backups)) {
    counters_.copies_over_budget +=
        std::exchange(run->copy_refused, true) ? 0 : 1;
    return;
  }
  CandidateWorker* place = ChoosePlaceOfCopy(slow, all_slow, candidates);
  if (place == nullptr) {
    return;
  }
  ++counters_.copies_started;
  log_.Write("info", "cell", "backup copy of a slow run is started",
             {{"task", task->name()},
              {"run", slow.number},
              {"copy", task->last_run + 1},
              {"worker", slow.session->incarnation().id},
              {"copy_worker", place->id},
              {"elapsed_ms", slow.candidate.elapsed.count()},
              {"progress", run->progress},
              {"silent_ms", slow.candidate.unanswered.count()},
              {"expected_ms", slow.candidate.estimate.expected.count()},
              {"log_spread", slow.candidate.estimate.log_spread},
              {"remaining_ms", slow.decision.remaining.count()},
              {"copy_ms", slow.decision.copy_time.count()},
              {"gain_ms", slow.decision.gain.count()},
              {"copies", room->copies},
              {"copies_cpu", room->copies_cpu},
              {"free_cpu", room->free}});
  ++room->copies;
  room->copies_cpu += cpu;
  room->free -= cpu;
  if (!run->checkpoint.empty() && run->progress >= task->checkpoint_progress) {
    task->checkpoint = run->checkpoint;
  }
  task->ready_since = executor_.Now();
  JobTable::BeginTwoRuns(task, slow.number, task->last_run + 1);
  StartTask(task, task->last_run + 1, place, /*ticket=*/"");
}

// --- Tasks with two runs ---

Run* CellLeader::FindPlacedRun(const std::string& task, uint32_t number) const {
  for (const auto& [id, cell_worker] : cell_workers_) {
    Run* run = cell_worker.session->FindRun(task);
    if (run != nullptr && run->number == number) {
      return run;
    }
  }
  return nullptr;
}

std::string CellLeader::CheckpointToKeep(Task* task,
                                         const Run& run,
                                         uint32_t remaining) const {
  if (remaining == 0) {
    const int kept = std::exchange(task->checkpoint_progress, 0);
    return run.progress >= kept ? run.checkpoint : "";
  }
  const Run* other = FindPlacedRun(run.task, remaining);
  if (run.checkpoint.empty() ||
      (other != nullptr && other->progress >= run.progress)) {
    return "";
  }
  task->checkpoint_progress = run.progress;
  return run.checkpoint;
}

void CellLeader::OnOneOfTwoRunsEnded(Task* task,
                                     const Run& run,
                                     RunEnd end,
                                     uint32_t remaining) {
  const bool is_copy = run.number > remaining;
  const bool has_won = task->done && end == RunEnd::kDone;
  if (has_won) {
    ++(is_copy ? counters_.copies_won : counters_.copies_stopped);
  } else {
    task->no_copy_before = executor_.Now() + kPauseAfterCopy;
  }
  log_.Write("info", "cell",
             has_won ? "first of two runs completed its task; the other is "
                       "stopped"
                     : "first of two runs ended without completing its task",
             {{"task", run.task},
              {"run", run.number},
              {"is_copy", is_copy},
              {"other_run", remaining},
              {"end", ToString(end)},
              {"ran_ms", Elapsed(run.ordered, executor_.Now()).count()}});
  if (task->done && task->job->outcome == JobOutcome::kOpen) {
    StopRunsOfTask(run.task);
  }
}

bool CellLeader::MayAdoptSecondRun(const Task& task,
                                   const ActiveRun& active_run) const {
  if (!AreCopiesEnabled() || !AllowsCopies(task.plan()) || !task.placed ||
      task.copy_run != 0 || !task.crashes.empty()) {
    return false;
  }
  const auto placed = NumberOfPlacedRun(task.name());
  return placed && *placed != active_run.run;
}

void CellLeader::NoteSecondAdoptedRun(Task* task, uint32_t run) {
  const uint32_t other = *NumberOfPlacedRun(task->name());
  JobTable::BeginTwoRuns(task, run, other);
  // The lower run is active, so it does not count as one that may have failed
  // without a report.
  task->reported_runs.push_back(task->backed_up_run);
  task->adopted_run =
      task->adopted_run == 0 ? 0 : std::max(task->adopted_run, run);
  if (task->copy_run == other) {
    FindPlacedRun(task->name(), other)->is_copy = true;
  }
}

}  // namespace doorwood
