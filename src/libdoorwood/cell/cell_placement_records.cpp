// SPDX-License-Identifier: Apache-2.0

// Records, for each long-running task, the worker on which it may run. The
// worker is recorded before the start is ordered, so that a successor that
// cannot reach other workers need not assume that the task may be running on
// one of them. Only while all other instances agree to unrecorded starts may
// the start be ordered first.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {

bool CellLeader::RequestPlacementRecord(Task* task, const std::string& worker) {
  const std::string name = task->name();
  if (!JobTable::SetAssignedWorker(task, worker)) {
    return true;
  }
  JournalIfDirty(task->job, /*urgent=*/true);
  if (MayStartUnrecorded()) {
    unrecorded_placements_.insert(name);
    // This instance may succeed itself.
    live_.AgreeToUnrecordedStarts();
    return true;
  }
  starts_awaiting_record_.insert(name);
  return false;
}

void CellLeader::RecordAdoptedPlacement(Task* task, const std::string& worker) {
  if (JobTable::SetAssignedWorker(task, worker)) {
    unrecorded_placements_.insert(task->name());
    JournalIfDirty(task->job, /*urgent=*/true);
  }
}

bool CellLeader::MayStartUnrecorded() const {
  return executor_.Now() < live_.UnrecordedStartsAgreedUntil();
}

bool CellLeader::MaySendDeferredStart(const CellWorker& cell_worker) const {
  return MayOrderStarts() && MayReceiveStarts(cell_worker);
}

void CellLeader::SendDeferredStarts() {
  const bool unrecorded = MayStartUnrecorded();
  for (const std::string& name :
       std::set<std::string>(starts_awaiting_record_)) {
    Task* task = jobs_.FindTask(name);
    const auto cell_worker = task == nullptr
                                 ? cell_workers_.end()
                                 : cell_workers_.find(task->assigned_worker);
    if (cell_worker == cell_workers_.end()) {
      starts_awaiting_record_.erase(name);
      continue;
    }
    const auto session = cell_worker->second.session;
    const bool recorded =
        task->assignment_record == AssignmentRecord::kRecorded;
    if (!MaySendDeferredStart(cell_worker->second)) {
      starts_awaiting_record_.erase(name);
      session->Stop(name);
    } else if (recorded || unrecorded) {
      starts_awaiting_record_.erase(name);
      if (!recorded) {
        unrecorded_placements_.insert(name);
        live_.AgreeToUnrecordedStarts();
      }
      session->SendDeferredStart(name);
    }
  }
  live_.set_needs_agreement(!starts_awaiting_record_.empty());
}

bool CellLeader::ArePlacementsRecorded() const {
  return (placements_valid_at_takeover_ || takeover_.finished()) &&
         unrecorded_placements_.empty();
}

// The value stays unchanged while not all placements are recorded. An instance
// that may rely on the recorded placements may do so until it agrees to
// unrecorded starts: without the agreement of all instances, this leader
// records the placement of a long-running task before it orders the start.
int64_t CellLeader::PlacementsValidTo() {
  if (ArePlacementsRecorded()) {
    placements_valid_to_ = std::max(placements_valid_to_, live_.revision());
  }
  return placements_valid_to_;
}

void CellLeader::PublishRecordedPlacements() {
  if (ArePlacementsRecorded() &&
      live_.NewestNoAgreementSince() > placements_valid_to_ &&
      IsLeadConfirmed()) {
    journal_.RequestCommit();
  }
}

void CellLeader::OnEncodedStateStored(const std::string& id) {
  Job* job = jobs_.Find(id);
  if (job == nullptr) {
    return;
  }
  if (job->spread == SpreadRecord::kInFlight) {
    job->spread = SpreadRecord::kRecorded;
    jobs_to_spread_.erase(id);
    RequestSchedulingPass();
  }
  bool newly_recorded = false;
  ForEachTask(job, [&](Task* task) {
    if (task->assignment_record == AssignmentRecord::kInFlight) {
      task->assignment_record = AssignmentRecord::kRecorded;
      unrecorded_placements_.erase(task->name());
      newly_recorded = true;
    }
  });
  if (newly_recorded) {
    SendDeferredStarts();
  }
}

bool CellLeader::AgreeToUnrecordedStarts() {
  const bool may_lead = stage_ != Stage::kStandby && stage_ != Stage::kShutDown;
  return !may_lead && live_.AgreeToUnrecordedStarts();
}

}  // namespace doorwood
