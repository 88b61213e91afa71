// SPDX-License-Identifier: Apache-2.0

// Archive of the cell's ended jobs, and its use for calls about them.

#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

JobPhase PhaseOf(JobOutcome outcome) {
  switch (outcome) {
    case JobOutcome::kCompleted:
      return JobPhase::kCompleted;
    case JobOutcome::kFailed:
      return JobPhase::kFailed;
    case JobOutcome::kCancelled:
      return JobPhase::kCancelled;
    case JobOutcome::kOpen:
      break;
  }
  return JobPhase::kRunning;
}

}  // namespace

EndedJob CellLeader::ToEndedJob(const Job& job) {
  return {job.outcome, job.reason, job.finished_at};
}

void CellLeader::ArchiveEndedJobs() {
  std::erase_if(to_archive_, [this](const std::string& id) {
    const Job* job = jobs_.Find(id);
    if (job != nullptr && HasPlacedTask(*job)) {
      return false;
    }
    if (job != nullptr) {
      journal_.Archive(id, EncodeEndedJob(ToEndedJob(*job)));
    }
    return true;
  });
}

void CellLeader::OnArchived(const std::string& id) {
  const Job* job = jobs_.Find(id);
  if (job == nullptr) {
    return;
  }
  ++counters_.jobs_archived;
  ended_jobs_.Add(id, ToEndedJob(*job));
  jobs_.Remove(id);
}

void CellLeader::RemoveOldJobs() {
  const int64_t finished_before =
      unix_millis_() - options_.finished_job_retention.count();
  for (const std::string& id : ended_jobs_.TakeOld(finished_before)) {
    // A withdrawn job may have been accepted while the archive was read.
    if (jobs_.Find(id) == nullptr) {
      journal_.RemoveArchivedJob(id);
    }
  }
}

std::optional<JobPhase> CellLeader::FindJobPhase(const std::string& id) const {
  if (!leading()) {
    return std::nullopt;
  }
  const auto found = jobs_.jobs().find(id);
  if (found == jobs_.jobs().end()) {
    const auto outcome = ended_jobs_.Find(id);
    return outcome ? std::optional(PhaseOf(*outcome)) : std::nullopt;
  }
  const Job& job = *found->second;
  if (job.outcome_recorded) {
    return PhaseOf(job.outcome);
  }
  return job.started ? JobPhase::kRunning : JobPhase::kQueued;
}

void CellLeader::FetchJobPhase(const std::string& id, PhaseCallback done) {
  const auto phase = FindJobPhase(id);
  if (!leading() || phase) {
    done(phase ? std::error_code() : CoreErrc::kNoOwner,
         phase.value_or(JobPhase::kQueued));
    return;
  }
  if (journal_.IsRecording(id)) {
    done(CoreErrc::kStoreUnavailable, {});
    return;
  }
  ended_jobs_.Fetch(
      id, [done = std::move(done)](std::error_code error,
                                   std::optional<JobOutcome> outcome) {
        if (error || !outcome) {
          done(error ? error : CoreErrc::kNotFound, {});
          return;
        }
        done({}, PhaseOf(*outcome));
      });
}

}  // namespace doorwood
