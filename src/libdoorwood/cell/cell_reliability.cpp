// SPDX-License-Identifier: Apache-2.0

// Workers that fail or slow their runs: which of them are set aside, and what a
// successor learns of it.

#include <vector>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Percentages in log lines.
constexpr double kPercent = 100;

int64_t Percent(double share) {
  return static_cast<int64_t>(share * kPercent);
}

}  // namespace

void CellLeader::UpdateReliability() {
  std::vector<ServiceWorker> workers;
  workers.reserve(cell_workers_.size());
  for (const auto& [id, cell_worker] : cell_workers_) {
    const WorkerIncarnation& incarnation = cell_worker.session->incarnation();
    if (cell_worker.listed && !incarnation.draining) {
      workers.push_back({id, incarnation.service});
    }
  }
  const auto changes = reliability_.Update(workers, executor_.Now());
  for (const SetAsideChange& change : changes) {
    counters_.workers_set_aside += change.set_aside ? 1 : 0;
    log_.Write(change.set_aside ? "warn" : "info", "cell",
               change.set_aside ? "setting a worker aside"
                                : "worker is no longer set aside",
               {{"worker", change.worker},
                {"runs", static_cast<int64_t>(change.evidence.runs)},
                {"failed", static_cast<int64_t>(change.evidence.failures)},
                {"timed", static_cast<int64_t>(change.evidence.timed)},
                {"failed_at_least_pct", Percent(change.failure_rate)},
                {"service_failed_pct", Percent(change.service_failure_rate)},
                {"slower_at_least_pct", Percent(change.slowdown)},
                {"set_aside", reliability_.set_aside()}});
  }
  if (!changes.empty()) {
    reliability_unrecorded_ = true;
    RequestSchedulingPass();
  }
  // Not urgent: without the record a successor collects the evidence anew.
  if (reliability_unrecorded_ && IsLeadConfirmed() &&
      executor_.Now() >= next_tasks_record_) {
    reliability_unrecorded_ = false;
    RecordWorkers();
  }
}

void CellLeader::RestoreReliability(const std::vector<KnownWorker>& known) {
  reliability_.Clear();
  reliability_unrecorded_ = false;
  for (const KnownWorker& worker : known) {
    if (worker.evidence) {
      reliability_.Restore(worker.id, *worker.evidence, executor_.Now());
    }
  }
}

}  // namespace doorwood
