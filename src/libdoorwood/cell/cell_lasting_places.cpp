// SPDX-License-Identifier: Apache-2.0

// Records on which worker a long-running task may run. This is recorded before
// the start is ordered, so that a successor that cannot reach other workers
// need not assume that the task may be running on one of them.

#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {

bool CellLeader::ClaimPlace(Task* task, const std::string& worker) {
  const std::string name = task->name();
  if (!JobTable::SetPlace(task, worker)) {
    return true;
  }
  MarkDirty(task->job, /*urgent=*/true);
  if (MayStartUnrecorded()) {
    unrecorded_places_.insert(name);
    return true;
  }
  held_starts_.insert(name);
  return false;
}

void CellLeader::NotePlace(Task* task, const std::string& worker) {
  if (JobTable::SetPlace(task, worker)) {
    unrecorded_places_.insert(task->name());
    MarkDirty(task->job, /*urgent=*/true);
  }
}

bool CellLeader::MayStartUnrecorded() const {
  return executor_.Now() < live_.AgreedUntil();
}

bool CellLeader::MayReleaseTo(const Member& member) const {
  return MayOrder() && IsServing(member);
}

void CellLeader::ReleaseStarts() {
  const bool unrecorded = MayStartUnrecorded();
  for (const std::string& name : std::set<std::string>(held_starts_)) {
    Task* task = jobs_.FindTask(name);
    const auto member =
        task == nullptr ? members_.end() : members_.find(task->place);
    if (member == members_.end()) {
      held_starts_.erase(name);
      continue;
    }
    const auto session = member->second.session;
    const bool recorded = task->place_record == PlaceRecord::kRecorded;
    if (!MayReleaseTo(member->second)) {
      held_starts_.erase(name);
      session->Stop(name);
    } else if (recorded || unrecorded) {
      held_starts_.erase(name);
      if (!recorded) {
        unrecorded_places_.insert(name);
      }
      session->Release(name);
    }
  }
  live_.SetNeedsAgreement(!held_starts_.empty());
}

bool CellLeader::KnowsPlaces() const {
  return (places_held_ || accounted_) && unrecorded_places_.empty();
}

// Once an instance may rely on the recorded placements, it may continue to do
// so: this leader records where it starts long-running tasks, or it asks the
// instance to agree to unrecorded starts, after which the instance no longer
// relies on them.
int64_t CellLeader::PlacesHoldTo() {
  if (KnowsPlaces()) {
    places_hold_to_ = live_.at();
  }
  return places_hold_to_;
}

void CellLeader::TellPlacesHold() {
  if (KnowsPlaces() && live_.NewestAgreeingSince() > places_hold_to_ &&
      IsSure()) {
    journal_.Touch();
  }
}

void CellLeader::OnStateWritten(const std::string& id) {
  Job* job = jobs_.Find(id);
  if (job == nullptr) {
    return;
  }
  bool newly_recorded = false;
  ForEachTask(job, [&](Task* task) {
    if (task->place_record == PlaceRecord::kWritten) {
      task->place_record = PlaceRecord::kRecorded;
      unrecorded_places_.erase(task->name());
      newly_recorded = true;
    }
  });
  if (newly_recorded) {
    ReleaseStarts();
  }
}

bool CellLeader::AgreeToUnrecordedStarts() {
  const bool may_lead = stage_ != Stage::kStandby && stage_ != Stage::kLeft;
  return !may_lead && live_.Agree();
}

}  // namespace doorwood
