// SPDX-License-Identifier: Apache-2.0

// Detection of runs that take far longer than expected. Logs what the leader
// knows about each and what its worker last reported.

#include <algorithm>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Minimum interval between searches for overdue runs, and between two log lines
// about the same run.
constexpr Millis kSearchInterval{1000};
constexpr Millis kLogInterval{5000};
// A run is overdue once the time since its start was ordered exceeds this
// multiple of its expected run time, and is at least kMinOverdueAge.
constexpr int kOverdueFactor = 4;
constexpr Millis kMinOverdueAge{4000};
// Maximum number of log lines per search.
constexpr int kMaxLogLines = 40;

Millis Elapsed(Instant from, Instant now) {
  return std::chrono::duration_cast<Millis>(now - from);
}

std::string_view ToString(RunPhase phase) {
  switch (phase) {
    case RunPhase::kStarting:
      return "starting";
    case RunPhase::kUnresolved:
      return "unresolved";
    case RunPhase::kRunning:
      return "running";
    case RunPhase::kStopping:
      return "stopping";
  }
  return "unknown";
}

}  // namespace

bool CellLeader::ShouldLogAsOverdue(const Run& run, Millis* expected) const {
  const Instant now = executor_.Now();
  if (run.long_running || now - run.ordered < kMinOverdueAge ||
      now - run.overdue_logged_at < kLogInterval) {
    return false;
  }
  const auto name = ParseTaskName(run.task);
  const auto job = jobs_.jobs().find(std::string(name->job));
  if (job == jobs_.jobs().end()) {
    return false;
  }
  *expected = ExpectedRunTimes(*job->second, name->repetition)[name->step];
  return now - run.ordered > *expected * kOverdueFactor;
}

void CellLeader::LogOverdueRunsOf(WorkerSession& session, int* lines) {
  const Instant now = executor_.Now();
  for (const auto& [task, known] : session.runs()) {
    Millis expected{0};
    if (*lines == 0 || !ShouldLogAsOverdue(known, &expected)) {
      continue;
    }
    Run& run = *session.FindRun(task);
    run.overdue_logged_at = now;
    ++counters_.overdue;
    --*lines;
    const bool paced = run.throttled_since != Instant{};
    log_.Write(
        "info", "cell", "a run takes far longer than expected",
        {{"task", task},
         {"run", run.number},
         {"worker", session.incarnation().id},
         {"phase", ToString(run.phase)},
         {"ordered_ms_ago", Elapsed(run.ordered, now).count()},
         {"expected_ms", expected.count()},
         {"progress", run.progress},
         {"figure", run.measurement},
         {"fills", run.best_effort},
         {"wanted_pace", run.wanted_pace},
         {"pace", run.pace},
         {"paced_ms", paced ? Elapsed(run.throttled_since, now).count() : 0},
         {"serving", session.serving_runs()},
         {"heard_ms_ago", Elapsed(session.last_response_at(), now).count()}});
  }
}

void CellLeader::LogOverdueRuns() {
  const Instant now = executor_.Now();
  if (now - overdue_searched_ < kSearchInterval) {
    return;
  }
  overdue_searched_ = now;
  int lines = kMaxLogLines;
  for (const auto& [id, cell_worker] : cell_workers_) {
    LogOverdueRunsOf(*cell_worker.session, &lines);
  }
}

}  // namespace doorwood
