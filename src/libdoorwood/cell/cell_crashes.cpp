// SPDX-License-Identifier: Apache-2.0

// Worker crashes: how they are detected, which tasks may have caused them, and
// what is noted of those tasks.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// A worker that restarts or disappears before this much time has passed since
// `CellWorker::evacuated_until` is assumed to be down for its machine's
// upkeep, not crashed.
constexpr Millis kUpkeepStartWindow{10'000};
// A missing directory entry is evidence that a worker vanished only while the
// newest list of workers is younger than this.
constexpr Millis kMaxListAge{2000};
// Maximum number of suspects named in a log line.
constexpr size_t kMaxSuspectsLogged = 8;

}  // namespace

std::string CellLeader::MachineOf(const WorkerIncarnation& incarnation) {
  return incarnation.machine.empty() ? incarnation.id : incarnation.machine;
}

std::optional<CrashEvidence> CellLeader::DetectCrash(
    const WorkerSession& session) const {
  const auto found = cell_workers_.find(session.incarnation().id);
  if (found == cell_workers_.end()) {
    return std::nullopt;
  }
  const CellWorker& cell_worker = found->second;
  const Instant now = executor_.Now();
  const bool evacuated = cell_worker.evacuated_until != Instant{} &&
                         now - cell_worker.evacuated_until < kUpkeepStartWindow;
  if (evacuated) {
    return std::nullopt;
  }
  const bool leaving = session.incarnation().draining;
  if (session.dead()) {
    return leaving ? CrashEvidence::kVanished : CrashEvidence::kRestarted;
  }
  const bool vanished = !leaving && !cell_worker.listed &&
                        !cell_worker.entry_rejected &&
                        cell_worker.unlisted_since != Instant{} &&
                        now - workers_read_ < kMaxListAge;
  return vanished ? std::optional(CrashEvidence::kVanished) : std::nullopt;
}

std::vector<const Run*> CellLeader::RunsAtCrash(const WorkerSession& session) {
  std::vector<const Run*> runs;
  for (const auto& [name, run] : session.runs()) {
    const Task* task = jobs_.FindTask(name);
    // A worker that vanished may have become unreachable before it began the
    // run.
    const bool began =
        !run.start_deferred && (session.dead() || run.confirmed != Instant{});
    if (task != nullptr && began && task->job->outcome == JobOutcome::kOpen) {
      runs.push_back(&run);
    }
  }
  return runs;
}

std::vector<CellLeader::TaskCrashNote> CellLeader::AttributeCrash(
    const WorkerSession& session,
    CrashEvidence evidence) {
  const WorkerIncarnation& incarnation = session.incarnation();
  const std::vector<const Run*> runs = RunsAtCrash(session);
  std::vector<RunAtCrash> at_crash;
  for (const Run* run : runs) {
    const bool in_trial = run->confirmed != Instant{} && !run->adopted &&
                          trials_.IsInTrial(run->task, incarnation.id);
    at_crash.push_back({session.ObservedRunTime(*run), in_trial, run->adopted});
  }
  const std::vector<CrashRole> roles =
      ClassifyRuns(at_crash, options_.policy.crashes);
  std::vector<TaskCrashNote> notes;
  for (size_t i = 0; i < runs.size(); ++i) {
    if (roles[i] == CrashRole::kNone) {
      continue;
    }
    CrashNote note;
    note.run = runs[i]->number;
    note.machine = MachineOf(incarnation);
    note.worker = incarnation.id;
    note.evidence = evidence;
    note.suspect = roles[i] == CrashRole::kSuspect;
    note.in_trial = at_crash[i].in_trial;
    note.observed_running = at_crash[i].observed_running;
    notes.emplace_back(runs[i]->task, std::move(note));
  }
  return notes;
}

void CellLeader::OnWorkerLost(WorkerSession& session) {
  const auto evidence = DetectCrash(session);
  RemoveUnconfirmedCrashes(session);
  if (!evidence) {
    return;
  }
  ++counters_.worker_crashes;
  std::vector<TaskCrashNote> notes = AttributeCrash(session, *evidence);
  const bool in_trial = std::any_of(
      notes.begin(), notes.end(),
      [](const TaskCrashNote& note) { return note.second.in_trial; });
  // Crashes in trial runs are expected, so they don't indicate a common cause
  // with other crashes.
  const bool is_mass_crash = !in_trial && RecordForMassCrashDetection(notes);
  LogCrash(session, notes, is_mass_crash);
  for (auto& [name, note] : notes) {
    trials_.End(name);
    note.mass_crash = is_mass_crash;
    if (note.suspect || evidence == CrashEvidence::kRestarted) {
      NoteCrash(jobs_.FindTask(name), note);
    }
  }
}

// A crash is detected only once another incarnation of the worker answers, or
// the leases there have expired and the worker's directory entry has
// disappeared. The leader may fail before that, so it records for its successor
// which tasks would be suspects of that crash. A trial run that is already
// recorded needs no second note.
void CellLeader::OnPollFailed(WorkerSession& session) {
  if (session.incarnation().draining) {
    return;
  }
  for (auto& [name, note] :
       AttributeCrash(session, CrashEvidence::kUnconfirmed)) {
    Task* task = jobs_.FindTask(name);
    const bool is_trial = task->FindTrialNote(note.run) != nullptr;
    if (note.suspect && !is_trial &&
        JobTable::NoteCrash(task, std::move(note))) {
      JournalIfDirty(task->job, /*urgent=*/true);
    }
  }
}

void CellLeader::OnPollRecovered(WorkerSession& session) {
  RemoveUnconfirmedCrashes(session);
}

void CellLeader::RemoveUnconfirmedCrashes(const WorkerSession& session) {
  for (const auto& [name, run] : session.runs()) {
    Task* task = jobs_.FindTask(name);
    if (task != nullptr && JobTable::RemoveUnconfirmedCrash(task, run.number)) {
      JournalIfDirty(task->job, /*urgent=*/false);
    }
  }
}

// Must be called before any task that may have run on a dead worker is started
// again.
void CellLeader::HandleDeadWorkers() {
  std::vector<std::string> dead;
  for (auto& [id, cell_worker] : cell_workers_) {
    if (!cell_worker.death_processed && cell_worker.session->confirmed_dead()) {
      cell_worker.death_processed = true;
      dead.push_back(id);
    }
  }
  for (const std::string& worker : dead) {
    ConfirmCrashes(worker);
    NoteCrashBeforeContact(worker, cell_workers_.at(worker));
  }
}

std::vector<Task*> CellLeader::FindTasksOnWorkerEndedBeforeContact(
    const std::string& worker,
    const CellWorker& cell_worker) {
  std::vector<Task*> tasks;
  const int64_t now = unix_millis_();
  UnaccountedWorkers unaccounted;
  takeover_.AddTo(worker, cell_worker, executor_.Now(), proof_.confirmed_at(),
                  &unaccounted);
  for (Job* job : std::vector<Job*>(jobs_.OpenJobs())) {
    ForEachTask(job, [&](Task* task) {
      const bool may_run =
          task->may_still_run && !task->placed && !task->done &&
          IsDue(*job, task->repetition, now) &&
          JobTable::IsUnblocked(*job, task->repetition, task->step);
      if (may_run && MayRunOn(*task, unaccounted)) {
        tasks.push_back(task);
      }
    });
  }
  return tasks;
}

// The previous leader may have failed before it could record the crash, so it
// is not known what ran on the worker. Unless there are too many of them, the
// tasks that may have run there, and have no crash note that names the worker,
// are noted as bystanders; two such notes make a task a suspect. A task gets at
// most one such note per takeover, because the note refers to the task's newest
// run, and a task has one note per run.
void CellLeader::NoteCrashBeforeContact(const std::string& worker,
                                        const CellWorker& cell_worker) {
  if (!cell_worker.from_takeover || cell_worker.session->fenced()) {
    return;
  }
  std::vector<TaskCrashNote> notes;
  for (const Task* task :
       FindTasksOnWorkerEndedBeforeContact(worker, cell_worker)) {
    const bool known = std::any_of(
        task->crashes.begin(), task->crashes.end(),
        [&](const CrashNote& crash) { return crash.worker == worker; });
    if (!known) {
      CrashNote note;
      note.run = task->last_run;
      note.machine = worker;
      note.worker = worker;
      notes.emplace_back(task->name(), std::move(note));
    }
  }
  log_.Write(
      "warn", "cell", "a worker ended before this leader had contacted it",
      {{"worker", worker}, {"may_have_run", notes.size()}, {"epoch", epoch_}});
  const bool is_mass_crash = RecordForMassCrashDetection(notes);
  // If there are more such tasks than workers in the cell, notes none of them:
  // not all could get a trial run soon if they became suspects.
  if (notes.size() > cell_workers_.size()) {
    return;
  }
  for (auto& [name, note] : notes) {
    note.mass_crash = is_mass_crash;
    Task* task = jobs_.FindTask(name);
    NoteCrash(task, note);
    JournalIfDirty(task->job, /*urgent=*/true);
  }
}

// The notes may be from an earlier leader. They are confirmed now that the
// worker is known to have ended.
void CellLeader::ConfirmCrashes(const std::string& worker) {
  for (Job* job : std::vector<Job*>(jobs_.OpenJobs())) {
    ForEachTask(job, [&](Task* task) {
      for (const CrashNote& note : std::vector<CrashNote>(task->crashes)) {
        if (note.worker == worker &&
            note.evidence == CrashEvidence::kUnconfirmed) {
          CrashNote confirmed_note = note;
          confirmed_note.evidence = CrashEvidence::kRestarted;
          NoteCrash(task, confirmed_note);
        }
      }
    });
  }
}

bool CellLeader::RecordForMassCrashDetection(
    const std::vector<TaskCrashNote>& notes) {
  MassCrashDetector::Crash crash;
  crash.at = executor_.Now();
  for (const auto& [name, note] : notes) {
    crash.runs.emplace_back(name, note.run);
  }
  mass_crash_detector_.Add(std::move(crash));
  if (!mass_crash_detector_.IsMassCrash()) {
    return false;
  }
  for (const MassCrashDetector::Crash& earlier :
       mass_crash_detector_.crashes()) {
    for (const auto& [name, run] : earlier.runs) {
      MarkCrashNotesAsMassCrash(name, run);
    }
  }
  return true;
}

void CellLeader::MarkCrashNotesAsMassCrash(const std::string& task,
                                           uint32_t run) {
  Task* known_task = jobs_.FindTask(task);
  if (known_task == nullptr) {
    return;
  }
  for (CrashNote& note : known_task->crashes) {
    if (note.run == run && !note.mass_crash) {
      note.mass_crash = true;
      known_task->job->dirty = true;
    }
  }
  if (!IsLikelyCulprit(known_task->crashes)) {
    known_task->no_start_before = Instant{};
    known_task->crash_unrecorded = false;
  }
  JournalIfDirty(known_task->job, /*urgent=*/false);
}

void CellLeader::LogCrash(const WorkerSession& session,
                          const std::vector<TaskCrashNote>& notes,
                          bool mass_crash) const {
  Json suspects = Json::array();
  for (const auto& [name, note] : notes) {
    if (note.suspect && suspects.size() < kMaxSuspectsLogged) {
      suspects.push_back(name);
    }
  }
  log_.Write("warn", "cell", "a worker with runs crashed or disappeared",
             {{"worker", session.incarnation().id},
              {"machine", session.incarnation().machine},
              {"other_life", session.dead()},
              {"one_of_many", mass_crash},
              {"runs", session.runs().size()},
              {"suspects", std::move(suspects)},
              {"epoch", epoch_}});
}

double CellLeader::Jitter() {
  constexpr uint64_t kSteps = 1000;
  return static_cast<double>(executor_.Random() % kSteps) /
         static_cast<double>(kSteps);
}

void CellLeader::NoteCrash(Task* task, const CrashNote& crash) {
  Job* job = task->job;
  if (job->outcome != JobOutcome::kOpen || !JobTable::NoteCrash(task, crash)) {
    return;
  }
  const CrashVerdict verdict = AssessCrashes(task->crashes);
  const bool likely = IsLikelyCulprit(task->crashes);
  Millis pause{0};
  if (likely) {
    pause =
        RestartDelay(task->crashes.size(), Jitter(), options_.policy.crashes);
    task->no_start_before = executor_.Now() + pause;
  }
  if (likely || task->crashes.size() > 1) {
    task->crash_unrecorded = true;
    job->crash_unrecorded = true;
  }
  log_.Write("warn", "cell", "a crash or possible crash is noted for a task",
             {{"task", task->name()},
              {"run", crash.run},
              {"machine", crash.machine},
              {"suspect", crash.suspect},
              {"alone", crash.in_trial},
              {"one_of_many", crash.mass_crash},
              {"crashes", task->crashes.size()},
              {"verdict", ToString(verdict)},
              {"pause_ms", pause.count()},
              {"epoch", epoch_}});
  if (verdict == CrashVerdict::kGivenUp) {
    FailJobOfCrashingTask(task);
  } else {
    JournalIfDirty(job, /*urgent=*/task->crash_unrecorded);
  }
}

void CellLeader::FailJobOfCrashingTask(Task* task) {
  Job* job = task->job;
  if (!jobs_.Finish(job, JobOutcome::kFailed)) {
    return;
  }
  job->reason = task->name() + " takes down the workers that run it";
  ++counters_.jobs_given_up;
  log_.Write("warn", "cell", "job given up",
             {{"job", job->plan.id},
              {"reason", job->reason},
              {"crashes", task->crashes.size()},
              {"epoch", epoch_}});
  OnJobEnded(job);
}

}  // namespace doorwood
