// SPDX-License-Identifier: Apache-2.0

// Handles runs that end, starts that are refused, and reports of runs that this
// leader did not know.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Pause before a worker that refused a start gets another one.
constexpr Millis kRefusalPause{400};
// Longer pause after a refusal with RunErrc::kBusy, which a worker returns when
// it is overloaded or unhealthy.
constexpr Millis kBusyPause{1500};
constexpr int kUnknownPace = -1;
// Increase of a task's run number after a worker rejected one as too old.
constexpr uint32_t kRunNumberIncrease = 16;

}  // namespace

void CellLeader::JournalIfDirty(Job* job, bool urgent) {
  if (job->dirty) {
    journal_.MarkDirty(job->plan.id, urgent);
  }
}

void CellLeader::ApplyRunEnd(Task* task,
                             const WorkerSession& session,
                             uint32_t run,
                             RunEnd end,
                             const std::string& checkpoint,
                             uint32_t active_run) {
  Job* job = task->job;
  const bool was_open = job->outcome == JobOutcome::kOpen;
  const EndEffect effect = jobs_.ApplyRunEnd(task, run, end, checkpoint,
                                             MaxAttempts(*job), active_run);
  if (effect == EndEffect::kIgnored) {
    // A failure may have been counted nevertheless. A checkpoint that was kept
    // is recorded with the job's next change.
    JournalIfDirty(job, /*urgent=*/false);
    log_.Write("info", "cell",
               "late end of a run neither completes its task nor fails its job",
               {{"task", task->name()},
                {"run", run},
                {"counted_run", task->counted_run},
                {"last_run", task->last_run},
                {"placed", task->placed},
                {"task_done", task->done},
                {"worker", session.incarnation().id},
                {"end", ToString(end)},
                {"epoch", epoch_}});
    return;
  }
  log_.Write("info", "cell", "run ended",
             {{"task", task->name()},
              {"run", run},
              {"worker", session.incarnation().id},
              {"end", ToString(end)},
              {"failures", task->failed_runs.size()},
              {"epoch", epoch_}});
  if (end == RunEnd::kDone) {
    ++counters_.ends_done;
    quarantine_.OnSuccess(session.incarnation().id);
    reliability_.OnDone(session.incarnation().id, task->name(),
                        executor_.Now());
  } else if (end == RunEnd::kFailed) {
    ++counters_.ends_failed;
    quarantine_.OnFailure(session.incarnation().id, job->plan.id,
                          executor_.Now());
    reliability_.OnFailed(session.incarnation().id, task->name(),
                          executor_.Now());
    task->avoided_worker = session.incarnation().id;
  } else {
    ++counters_.ends_lost;
  }
  task->ready_since = executor_.Now();
  ForgetTicketsOfDoneStep(*task);
  const bool job_ended = was_open && job->outcome != JobOutcome::kOpen;
  if (job_ended) {
    OnJobEnded(job);
  } else {
    JournalIfDirty(job, /*urgent=*/false);
  }
}

void CellLeader::OnRunBegan(WorkerSession&, const Run& run) {
  if (Task* task = jobs_.FindTask(run.task)) {
    JobTable::NoteRunBegan(task, run.number);
  }
}

void CellLeader::OnRunEnded(WorkerSession& session,
                            const Run& run,
                            RunEnd end,
                            bool reported_by_worker) {
  Task* task = jobs_.FindTask(run.task);
  if (task == nullptr) {
    return;
  }
  // The end may be listed before the start is answered.
  if (reported_by_worker && !run.start_deferred) {
    JobTable::NoteListedEnd(task, end);
  }
  const uint32_t remaining = JobTable::EndPlacedRun(task, run.number);
  JobTable::RemoveTrialNote(task);
  starts_awaiting_record_.erase(run.task);
  unrecorded_placements_.erase(run.task);
  const bool was_done = task->done;
  const std::string checkpoint = CheckpointToKeep(task, run, remaining);
  if (!checkpoint.empty() && !was_done) {
    task->checkpoint = checkpoint;
  }
  if (run.refused_as_stale) {
    task->last_run = std::max(task->last_run, run.number + kRunNumberIncrease);
  }
  if (!reported_by_worker) {
    NoteLostRun(session, run);
  }
  if (end == RunEnd::kDone && !run.atypical_duration) {
    RecordRunTime(task, run, session.incarnation().id);
  }
  ApplyRunEnd(task, session, run.number, end, checkpoint, remaining);
  if (remaining != 0 && !was_done) {
    OnOneOfTwoRunsEnded(task, run, end, remaining);
  }
  RequestSchedulingPass();
}

void CellLeader::NoteLostRun(const WorkerSession& session, const Run& run) {
  const auto cell_worker = cell_workers_.find(session.incarnation().id);
  const bool listed =
      cell_worker != cell_workers_.end() && cell_worker->second.listed;
  const bool leaving = session.incarnation().draining;
  counters_.runs_lost_at_departure += leaving || !listed ? 1 : 0;
  const auto heard = executor_.Now() - session.last_response_at();
  log_.Write(
      "warn", "cell", "run ended without a report from the worker",
      {{"task", run.task},
       {"run", run.number},
       {"worker", session.incarnation().id},
       {"machine", session.incarnation().machine},
       {"worker_dead", session.dead()},
       {"listed", listed},
       {"leaving", leaving},
       {"stopping", run.phase == RunPhase::kStopping},
       {"heard_ms_ago", std::chrono::duration_cast<Millis>(heard).count()},
       {"runs_left", session.runs().size()},
       {"confirmed", run.confirmed != Instant{}},
       {"seen_at_work_ms", session.ObservedRunTime(run).count()}});
}

void CellLeader::RecordRunTime(Task* task,
                               const Run& run,
                               const std::string& worker) {
  const auto taken =
      std::chrono::duration_cast<Millis>(executor_.Now() - run.ordered);
  const StepPlan& plan = task->plan();
  reliability_.OnRunTime(
      worker, ExpectedRunTimes(*task->job, task->repetition)[task->step], taken,
      executor_.Now());
  StepState& step =
      task->job->repetitions.at(task->repetition).steps[task->step];
  step.total_run_time += taken;
  ++step.run_time_samples;
  if (AllowsCopies(plan)) {
    step.run_times.push_back(taken);
  }
  run_times_.Observe(task->job->plan.queue, plan.count, plan.estimate, taken);
}

std::vector<Millis> CellLeader::ExpectedRunTimes(const Job& job,
                                                 int repetition) const {
  std::vector<Millis> expected;
  for (size_t step = 0; step < job.plan.steps.size(); ++step) {
    const StepState& state = job.repetitions.at(repetition).steps[step];
    expected.push_back(
        state.run_time_samples > 0
            ? state.total_run_time / state.run_time_samples
            : run_times_.ExpectedRunTime(job.plan.queue,
                                         job.plan.steps[step].estimate));
  }
  return expected;
}

void CellLeader::OnUnknownEnd(WorkerSession& session, const EndedRun& end) {
  Task* task = jobs_.FindTask(end.task);
  if (task == nullptr) {
    return;
  }
  JobTable::NoteListedEnd(task, end.end);
  // Successive leaders that read the same records assign the same run numbers,
  // so this may be the end of a different run than the one that is placed now.
  // It is therefore counted under a lower number than that of the placed run.
  const auto placed = task->placed ? NumberOfPlacedRun(end.task) : std::nullopt;
  uint32_t number = placed && end.run >= *placed ? *placed - 1 : end.run;
  uint32_t active_run = 0;
  if (placed && AreCopiesEnabled() && AllowsCopies(task->plan()) &&
      FindPlacedRun(end.task, end.run) == nullptr) {
    // May be the end of a copy that was considered lost. If it failed, it
    // counts under its own number, as any other failure.
    number = end.run;
    active_run = *placed;
  }
  CountLateEnd(end.end);
  task->may_have_unconfirmed_crash = false;
  JobTable::RemoveUnconfirmedCrash(task, end.run);
  ApplyRunEnd(task, session, number, end.end, end.checkpoint, active_run);
  auto& reported_runs = task->reported_runs;
  if (!takeover_.finished() &&
      std::find(reported_runs.begin(), reported_runs.end(), end.run) ==
          reported_runs.end()) {
    reported_runs.push_back(end.run);
  }
  if (task->done) {
    StopRunsOfCompletedTask(*task);  // Another run of it may still be active.
  }
  RequestSchedulingPass();
}

void CellLeader::CountLateEnd(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      ++counters_.late_done;
      break;
    case RunEnd::kFailed:
      ++counters_.late_failed;
      break;
    default:
      ++counters_.late_other;
  }
}

std::optional<uint32_t> CellLeader::NumberOfPlacedRun(
    const std::string& task) const {
  std::optional<uint32_t> lowest;
  for (const auto& [id, cell_worker] : cell_workers_) {
    const Run* run = cell_worker.session->FindRun(task);
    if (run != nullptr && (!lowest || run->number < *lowest)) {
      lowest = run->number;
    }
  }
  return lowest;
}

std::optional<Run> CellLeader::OnUnknownRun(WorkerSession& session,
                                            const ActiveRun& active_run) {
  Task* task = jobs_.FindTask(active_run.task);
  // A run is adopted even if one of the same number has ended elsewhere: the
  // task must not be started again while this run is active.
  const bool is_second =
      task != nullptr && MayAdoptSecondRun(*task, active_run);
  const bool wanted = task != nullptr && !task->done &&
                      (!task->placed || is_second) &&
                      task->job->outcome == JobOutcome::kOpen;
  log_.Write("info", "cell",
             wanted ? "adopting a run" : "stopping an unwanted run",
             {{"task", active_run.task},
              {"run", active_run.run},
              {"worker", session.incarnation().id},
              {"epoch", epoch_}});
  if (!wanted) {
    ++counters_.stops;
    return std::nullopt;
  }
  JobTable::SetPlaced(task, true);
  if (task->plan().long_running) {
    RecordAdoptedPlacement(task, session.incarnation().id);
  }
  // With copies, another run of the task may be active on an unaccounted
  // worker.
  task->may_still_run =
      task->may_still_run && AreCopiesEnabled() && AllowsCopies(task->plan());
  if (is_second) {
    NoteSecondAdoptedRun(task, active_run.run);
  } else {
    task->adopted_run = takeover_.finished() ? 0 : active_run.run;
  }
  task->may_have_unconfirmed_crash = false;
  JobTable::RemoveUnconfirmedCrash(task, active_run.run);
  task->last_run = std::max(task->last_run, active_run.run);
  task->counted_run = std::min(task->counted_run, active_run.run - 1);
  const bool was_started = task->job->started;
  JobTable::NoteRunBegan(task, active_run.run);
  task->job->dirty = task->job->dirty || task->job->started != was_started;
  if (IsSuspect(*task)) {
    BeginTrial(*task, cell_workers_.at(session.incarnation().id).session);
  }
  Run run = MakeRun(*task, active_run.run);
  run.image_id = interference_.Intern(task->plan().image);
  run.phase = RunPhase::kRunning;
  run.ordered = executor_.Now();
  run.atypical_duration = true;
  run.adopted = true;
  run.is_copy = is_second && task->copy_run == active_run.run;
  run.checkpoint = active_run.checkpoint;
  // An earlier leader may have slowed it down, so the pace is sent again.
  run.pace = kUnknownPace;
  return run;
}

void CellLeader::OnStartRefused(WorkerSession& session,
                                const Run& run,
                                std::error_code error) {
  const bool not_sent = error == make_error_code(RunErrc::kNotSent);
  ++(not_sent ? counters_.starts_not_sent : counters_.starts_refused);
  log_.Write("warn", "cell", not_sent ? "start not sent" : "start refused",
             {{"task", run.task},
              {"run", run.number},
              {"worker", session.incarnation().id},
              {"error", error.message()}});
  const auto cell_worker = cell_workers_.find(session.incarnation().id);
  const bool invalid_ticket = error == make_error_code(RunErrc::kInvalidTicket);
  if (cell_worker != cell_workers_.end() && !not_sent && !invalid_ticket) {
    const bool busy = error == make_error_code(RunErrc::kBusy);
    cell_worker->second.backoff_until =
        executor_.Now() + (busy ? kBusyPause : kRefusalPause);
  }
  Task* task = jobs_.FindTask(run.task);
  if (task == nullptr) {
    return;
  }
  if (JobTable::EndPlacedRun(task, run.number) != 0) {
    task->no_copy_before = executor_.Now() + kRefusalPause;
  }
  unrecorded_placements_.erase(run.task);
  if (invalid_ticket) {
    tickets_.Drop(run.step, session.incarnation().id);
  } else if (!not_sent) {
    task->avoided_worker = session.incarnation().id;
  }
  RequestSchedulingPass();
}

void CellLeader::OnReport(WorkerSession& session) {
  SendFirstBatchIfDue();
  UpdatePaces(session);
  const auto cell_worker = cell_workers_.find(session.incarnation().id);
  if (cell_worker != cell_workers_.end() &&
      cell_worker->second.renewals_blocked &&
      !cell_worker->second.contact_record_pending) {
    cell_worker->second.contact_record_pending = true;
    RequestWorkersRecord();
  } else if (cell_worker != cell_workers_.end() &&
             cell_worker->second.starts_blocked &&
             HasUnrecordedTaskChanges(cell_worker->second)) {
    RecordTasksOfClosedWorkers();
  }
  // If the journal is idle, all changes of state are stored. The remaining ends
  // changed no state, so they need no record. Those of other workers follow
  // with their reports or in `Tick`: visiting all workers for each report would
  // make the cost of reports grow with the square of the number of workers.
  if (journal_.idle()) {
    session.MarkRecorded(session.last_end());
  }
}

// --- Ended jobs, and stops of runs that are no longer needed ---

void CellLeader::OnJobEnded(Job* job) {
  job->finished_at = unix_millis_();
  tickets_.ForgetSteps(job->plan.id + ".");
  StopRunsOfJob(*job);
  JournalIfDirty(job, /*urgent=*/true);
}

void CellLeader::StopRunsOfJob(const Job& job) {
  // The last task of most jobs ends where all others have ended before. Such a
  // job has no run, so the runs of all workers need not be searched for it.
  if (!HasPlacedTask(job)) {
    return;
  }
  const std::string prefix = job.plan.id + ".";
  for (const auto& [id, cell_worker] : cell_workers_) {
    const auto session = cell_worker.session;
    std::vector<std::string> tasks;
    for (const auto& [task, run] : session->runs()) {
      if (task.starts_with(prefix)) {
        tasks.push_back(task);
      }
    }
    for (const std::string& task : tasks) {
      ++counters_.stops;
      session->Stop(task);
    }
  }
}

void CellLeader::StopRunsOfCompletedTask(const Task& task) {
  // The completion of one task of a gang completes all tasks of the gang.
  std::vector<std::string> placed;
  for (const Task& member :
       task.job->repetitions.at(task.repetition).steps[task.step].tasks) {
    if (member.done && member.placed &&
        (&member == &task || task.plan().gang)) {
      placed.push_back(member.name());
    }
  }
  for (const std::string& name : placed) {
    StopRunsOfTask(name);
  }
}

void CellLeader::StopRunsOfTask(const std::string& task) {
  for (const auto& [id, cell_worker] : cell_workers_) {
    const auto session = cell_worker.session;
    if (session->FindRun(task) != nullptr) {
      ++counters_.stops;
      session->Stop(task);
    }
  }
}

// --- Records ---

std::string CellLeader::EncodeState(const std::string& id) {
  Job* job = jobs_.Find(id);
  if (job == nullptr) {
    return "";
  }
  job->dirty = false;
  if (job->spread == SpreadRecord::kRequested) {
    job->spread = SpreadRecord::kInFlight;
  }
  ForEachTask(job, [](Task* task) {
    if (task->assignment_record == AssignmentRecord::kChanged) {
      task->assignment_record = AssignmentRecord::kInFlight;
    }
  });
  std::string state = EncodeJobState(*job);
  if (state.size() > kMaxStoredValueBytes) {
    FailJobWithTooLargeState(job, state.size());
    job->dirty = false;
    state = EncodeJobState(*job);
  }
  return state;
}

EndNumbers CellLeader::HighestUnrecordedEnds() {
  EndNumbers ends;
  for (const auto& [id, cell_worker] : cell_workers_) {
    if (cell_worker.session->has_unrecorded_ends()) {
      ends[{id, cell_worker.session_number}] = cell_worker.session->last_end();
    }
  }
  return ends;
}

void CellLeader::OnEndsRecorded(const EndNumbers& ends) {
  for (const auto& [key, number] : ends) {
    const auto found = cell_workers_.find(key.worker);
    if (found != cell_workers_.end() &&
        found->second.session_number == key.session) {
      found->second.session->MarkRecorded(number);
    }
  }
}

void CellLeader::OnNewestStateStored(const std::string& id) {
  Job* job = jobs_.Find(id);
  if (job == nullptr || job->dirty) {
    return;
  }
  OnCrashesRecorded(job);
  if (job->outcome == JobOutcome::kOpen || job->outcome_recorded) {
    return;
  }
  job->outcome_recorded = true;
  to_archive_.push_back(id);
  cancel_waiters_.Complete(id, {});
}

}  // namespace doorwood
