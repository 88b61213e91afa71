// SPDX-License-Identifier: Apache-2.0

// Workers that go down: how that is known, which tasks may have caused it, and
// what is noted of them.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// A machine that was emptied so lately goes down for its upkeep.
constexpr Millis kUpkeepBegins{10'000};
// The list tells that a worker is gone only if it was read so lately.
constexpr Millis kListIsFresh{2000};
// Most suspects that a line of the log names.
constexpr size_t kSuspectsNamed = 8;

}  // namespace

std::string CellLeader::MachineOf(const WorkerLife& life) {
  return life.machine.empty() ? life.id : life.machine;
}

std::optional<CrashEvidence> CellLeader::EvidenceOfCrash(
    const WorkerSession& session) const {
  const auto found = members_.find(session.life().id);
  if (found == members_.end()) {
    return std::nullopt;
  }
  const Member& member = found->second;
  const Instant now = executor_.Now();
  const bool emptied = member.emptied_until != Instant{} &&
                       now - member.emptied_until < kUpkeepBegins;
  if (emptied) {
    return std::nullopt;
  }
  const bool leaving = session.life().draining;
  if (session.dead()) {
    return leaving ? CrashEvidence::kVanished : CrashEvidence::kOtherLife;
  }
  const bool vanished = !leaving && !member.listed && !member.doubted &&
                        member.unlisted_since != Instant{} &&
                        now - workers_read_ < kListIsFresh;
  return vanished ? std::optional(CrashEvidence::kVanished) : std::nullopt;
}

std::vector<const Run*> CellLeader::RunsAtCrash(const WorkerSession& session) {
  std::vector<const Run*> runs;
  for (const auto& [name, run] : session.runs()) {
    const Task* task = jobs_.FindTask(name);
    // What vanished may have been cut off before it began the run.
    const bool began =
        !run.held && (session.dead() || run.confirmed != Instant{});
    if (task != nullptr && began && task->job->outcome == JobOutcome::kOpen) {
      runs.push_back(&run);
    }
  }
  return runs;
}

std::vector<CellLeader::CrashOfRun> CellLeader::BlameRuns(
    const WorkerSession& session,
    CrashEvidence evidence) {
  const WorkerLife& life = session.life();
  const std::vector<const Run*> runs = RunsAtCrash(session);
  std::vector<RunAtCrash> at_crash;
  for (const Run* run : runs) {
    const bool tried = run->confirmed != Instant{} && !run->adopted &&
                       trials_.IsTrying(run->task, life.id);
    at_crash.push_back({session.SeenAtWork(*run), tried, run->adopted});
  }
  const std::vector<Blame> blames =
      BlameCrash(at_crash, options_.policy.crashes);
  std::vector<CrashOfRun> notes;
  for (size_t i = 0; i < runs.size(); ++i) {
    if (blames[i] == Blame::kNone) {
      continue;
    }
    CrashNote note;
    note.run = runs[i]->number;
    note.machine = MachineOf(life);
    note.worker = life.id;
    note.evidence = evidence;
    note.suspect = blames[i] == Blame::kSuspect;
    note.alone = at_crash[i].tried;
    note.at_work = at_crash[i].at_work;
    notes.emplace_back(runs[i]->task, std::move(note));
  }
  return notes;
}

void CellLeader::OnWorkerLost(WorkerSession& session) {
  const auto evidence = EvidenceOfCrash(session);
  DropUntold(session);
  if (!evidence) {
    return;
  }
  ++counters_.worker_crashes;
  std::vector<CrashOfRun> notes = BlameRuns(session, *evidence);
  const bool tried =
      std::any_of(notes.begin(), notes.end(),
                  [](const CrashOfRun& note) { return note.second.alone; });
  // Crashes in trials are expected, and tell nothing of the others.
  const bool many = !tried && JoinWave(notes);
  TellCrash(session, notes, many);
  for (auto& [name, note] : notes) {
    trials_.End(name);
    note.one_of_many = many;
    if (note.suspect || evidence == CrashEvidence::kOtherLife) {
      NoteCrash(jobs_.FindTask(name), note);
    }
  }
}

// The leader may be lost before the worker is proved to have crashed, which
// takes until another life answers: its successor is to know which tasks were
// new there.
void CellLeader::OnLookFailed(WorkerSession& session) {
  if (session.life().draining) {
    return;
  }
  for (auto& [name, note] : BlameRuns(session, CrashEvidence::kUntold)) {
    Task* task = jobs_.FindTask(name);
    const bool is_trial = task->FindTrial(note.run) != nullptr;
    if (note.suspect && !is_trial &&
        JobTable::NoteCrash(task, std::move(note))) {
      MarkDirty(task->job, /*urgent=*/true);
    }
  }
}

void CellLeader::OnAnswersAgain(WorkerSession& session) {
  DropUntold(session);
}

void CellLeader::DropUntold(const WorkerSession& session) {
  for (const auto& [name, run] : session.runs()) {
    Task* task = jobs_.FindTask(name);
    if (task != nullptr && JobTable::DropUntold(task, run.number)) {
      MarkDirty(task->job, /*urgent=*/false);
    }
  }
}

// Before anything that may have run there is started again.
void CellLeader::NoteDeaths() {
  std::vector<std::string> dead;
  for (auto& [id, member] : members_) {
    if (!member.death_noted && member.session->proved_dead()) {
      member.death_noted = true;
      dead.push_back(id);
    }
  }
  for (const std::string& worker : dead) {
    ConfirmUntold(worker);
    NoteUnheardDeath(worker, members_.at(worker));
  }
}

std::vector<Task*> CellLeader::FindTasksUnheardOn(const std::string& worker,
                                                  const Member& member) {
  std::vector<Task*> tasks;
  const int64_t now = unix_millis_();
  UnheardWorkers unheard;
  AddUnheard(worker, member, &unheard);
  for (Job* job : std::vector<Job*>(jobs_.OpenJobs())) {
    ForEachTask(job, [&](Task* task) {
      const bool may_run = task->unaccounted && !task->placed && !task->done &&
                           IsDue(*job, task->time, now) &&
                           JobTable::IsUnblocked(*job, task->time, task->step);
      if (may_run && MayBeThere(*task, unheard)) {
        tasks.push_back(task);
      }
    });
  }
  return tasks;
}

// Its earlier leader was lost before it could tell of the crash, so this one
// counts as a bystander whatever may have been there: twice so is a suspect.
// Once in a takeover, since each note is of the task's newest run.
void CellLeader::NoteUnheardDeath(const std::string& worker,
                                  const Member& member) {
  if (!member.from_takeover || member.session->fenced()) {
    return;
  }
  std::vector<CrashOfRun> notes;
  for (const Task* task : FindTasksUnheardOn(worker, member)) {
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
      "warn", "cell", "a worker went down before it was heard",
      {{"worker", worker}, {"may_have_run", notes.size()}, {"epoch", epoch_}});
  // No more than can soon be tried, should they become suspects.
  if (notes.size() > members_.size()) {
    return;
  }
  for (const auto& [name, note] : notes) {
    Task* task = jobs_.FindTask(name);
    NoteCrash(task, note);
    MarkDirty(task->job, /*urgent=*/true);
  }
}

// What an earlier leader noted untold of a worker that proves to be over.
void CellLeader::ConfirmUntold(const std::string& worker) {
  for (Job* job : std::vector<Job*>(jobs_.OpenJobs())) {
    ForEachTask(job, [&](Task* task) {
      for (const CrashNote& note : std::vector<CrashNote>(task->crashes)) {
        if (note.worker == worker && note.evidence == CrashEvidence::kUntold) {
          CrashNote sure = note;
          sure.evidence = CrashEvidence::kOtherLife;
          NoteCrash(task, sure);
        }
      }
    });
  }
}

bool CellLeader::JoinWave(const std::vector<CrashOfRun>& notes) {
  CrashWave::Crash crash;
  crash.at = executor_.Now();
  for (const auto& [name, note] : notes) {
    crash.blamed.emplace_back(name, note.run);
  }
  wave_.Add(std::move(crash));
  if (!wave_.IsOneOfMany()) {
    return false;
  }
  for (const CrashWave::Crash& earlier : wave_.crashes()) {
    for (const auto& [name, run] : earlier.blamed) {
      MarkOneOfMany(name, run);
    }
  }
  return true;
}

void CellLeader::MarkOneOfMany(const std::string& name, uint32_t run) {
  Task* task = jobs_.FindTask(name);
  if (task == nullptr) {
    return;
  }
  for (CrashNote& note : task->crashes) {
    if (note.run == run && !note.one_of_many) {
      note.one_of_many = true;
      task->job->dirty = true;
    }
  }
  if (!IsLikelyCulprit(task->crashes)) {
    task->rests_until = Instant{};
    task->crash_unrecorded = false;
  }
  MarkDirty(task->job, /*urgent=*/false);
}

void CellLeader::TellCrash(const WorkerSession& session,
                           const std::vector<CrashOfRun>& notes,
                           bool many) const {
  Json suspects = Json::array();
  for (const auto& [name, note] : notes) {
    if (note.suspect && suspects.size() < kSuspectsNamed) {
      suspects.push_back(name);
    }
  }
  log_.Write("warn", "cell", "a worker went down",
             {{"worker", session.life().id},
              {"machine", session.life().machine},
              {"other_life", session.dead()},
              {"one_of_many", many},
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
  const CrashVerdict verdict = JudgeCrashes(task->crashes);
  const bool likely = IsLikelyCulprit(task->crashes);
  Millis pause{0};
  if (likely) {
    pause = PauseAfterCrashes(task->crashes.size(), Jitter(),
                              options_.policy.crashes);
    task->rests_until = executor_.Now() + pause;
  }
  if (likely || task->crashes.size() > 1) {
    task->crash_unrecorded = true;
    job->crash_unrecorded = true;
  }
  log_.Write("warn", "cell", "a crash is noted of a task",
             {{"task", task->name()},
              {"run", crash.run},
              {"machine", crash.machine},
              {"suspect", crash.suspect},
              {"alone", crash.alone},
              {"one_of_many", crash.one_of_many},
              {"crashes", task->crashes.size()},
              {"verdict", ToString(verdict)},
              {"pause_ms", pause.count()},
              {"epoch", epoch_}});
  if (verdict == CrashVerdict::kGivenUp) {
    GiveUp(task);
  } else {
    MarkDirty(job, /*urgent=*/task->crash_unrecorded);
  }
}

void CellLeader::GiveUp(Task* task) {
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
  OnJobOver(job);
}

}  // namespace doorwood
