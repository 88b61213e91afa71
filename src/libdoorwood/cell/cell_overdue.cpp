// SPDX-License-Identifier: Apache-2.0

// Runs that take far longer than expected: what the leader believes of each,
// and what its worker lists.

#include <algorithm>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// How often such runs are looked for, and how often one is logged.
constexpr Millis kLookInterval{1000};
constexpr Millis kTellInterval{5000};
// A run is overdue past this multiple of what it was expected to take, and at
// least this long after its order.
constexpr int kOverdueFactor = 4;
constexpr Millis kOverdueAtLeast{4000};
// Most lines of one look.
constexpr int kMostLines = 40;

Millis Since(Instant from, Instant now) {
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

bool CellLeader::IsOverdue(const Run& run, Millis* expected) const {
  const Instant now = executor_.Now();
  if (run.lasting || now - run.ordered < kOverdueAtLeast ||
      now - run.overdue_told < kTellInterval) {
    return false;
  }
  const auto name = ParseTaskName(run.task);
  const auto job = jobs_.jobs().find(std::string(name->job));
  if (job == jobs_.jobs().end()) {
    return false;
  }
  *expected = ExpectRunTimes(*job->second, name->time)[name->step];
  return now - run.ordered > *expected * kOverdueFactor;
}

void CellLeader::TellOverdueAt(WorkerSession& session, int* lines) {
  const Instant now = executor_.Now();
  for (const auto& [task, known] : session.runs()) {
    Millis expected{0};
    if (*lines == 0 || !IsOverdue(known, &expected)) {
      continue;
    }
    Run& run = *session.FindRun(task);
    run.overdue_told = now;
    ++counters_.overdue;
    --*lines;
    const bool paced = run.paced_since != Instant{};
    log_.Write("info", "cell", "a run takes far longer than expected",
               {{"task", task},
                {"run", run.number},
                {"worker", session.life().id},
                {"phase", ToString(run.phase)},
                {"ordered_ms_ago", Since(run.ordered, now).count()},
                {"expected_ms", expected.count()},
                {"progress", run.progress},
                {"figure", run.figure},
                {"fills", run.fills},
                {"wanted_pace", run.wanted_pace},
                {"pace", run.pace},
                {"paced_ms", paced ? Since(run.paced_since, now).count() : 0},
                {"serving", session.serving()},
                {"heard_ms_ago", Since(session.heard_at(), now).count()}});
  }
}

void CellLeader::TellOverdue() {
  const Instant now = executor_.Now();
  if (now - overdue_looked_ < kLookInterval) {
    return;
  }
  overdue_looked_ = now;
  int lines = kMostLines;
  for (const auto& [id, member] : members_) {
    TellOverdueAt(*member.session, &lines);
  }
}

}  // namespace doorwood
