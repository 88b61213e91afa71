// SPDX-License-Identifier: Apache-2.0

// Cancellation of a cell's jobs, and withdrawal of jobs that the cell does not
// have.

#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {

void CellLeader::Cancel(const std::string& id, CancelCallback done) {
  const bool takes_calls = leading() && orders_ended_ == Instant{};
  if (!takes_calls) {
    done(CoreErrc::kNoOwner);
    return;
  }
  Job* job = jobs_.Find(id);
  if (job == nullptr) {
    ended_jobs_.Fetch(id, [this, id, done = std::move(done)](
                              std::error_code error,
                              std::optional<JobOutcome> outcome) mutable {
      if (error || outcome) {
        done(error);
      } else {
        WithdrawUnknownJob(id, std::move(done));
      }
    });
    return;
  }
  if (job->outcome_recorded) {
    done({});
    return;
  }
  cancel_waiters_.Add(id, std::move(done),
                      executor_.Now() + options_.journal.caller_timeout);
  CancelLoadedJob(job);
}

void CellLeader::CancelLoadedJob(Job* job) {
  if (jobs_.Finish(job, JobOutcome::kCancelled)) {
    log_.Write("info", "cell", "job cancelled", {{"job", job->plan.id}});
    OnJobEnded(job);
  }
}

void CellLeader::WithdrawUnknownJob(const std::string& id,
                                    CancelCallback done) {
  // The job may have been accepted while the archive was read.
  if (jobs_.Find(id) != nullptr) {
    Cancel(id, std::move(done));
    return;
  }
  const bool being_recorded = journal_.IsRecording(id);
  if (!being_recorded && ended_jobs_.IsWithdrawn(id)) {
    done(CoreErrc::kNotFound);
    return;
  }
  const std::error_code error = journal_.Withdraw(
      id, EncodeEndedJob({JobOutcome::kCancelled, "", unix_millis_(), true}));
  const int64_t second =
      std::chrono::floor<Seconds>(executor_.Now().time_since_epoch()).count();
  if (const auto left_out = withdrawal_lines_.Allow(second)) {
    log_.Write("info", "cell", "withdrawing a job that is not loaded",
               {{"job", id},
                {"being_recorded", being_recorded},
                {"epoch", epoch_},
                {"refused", error ? error.message() : ""},
                {"lines_left_out", *left_out}});
  }
  if (error) {
    done(error);
    return;
  }
  cancel_waiters_.Add(id, std::move(done),
                      executor_.Now() + options_.journal.caller_timeout);
}

void CellLeader::OnWithdrawn(const std::string& id) {
  ++counters_.jobs_withdrawn;
  ended_jobs_.Add(id, {JobOutcome::kCancelled, "", unix_millis_(), true});
  cancel_waiters_.Complete(id, CoreErrc::kNotFound);
}

void CellLeader::OnWithdrawalRefused(const std::string& id) {
  Job* job = jobs_.Find(id);
  log_.Write("info", "cell", "a job was recorded before its withdrawal",
             {{"job", id}, {"loaded", job != nullptr}, {"epoch", epoch_}});
  if (job == nullptr) {
    // Another cell has the job, or had it and has just archived it.
    cancel_waiters_.Complete(id, CoreErrc::kStoreUnavailable);
  } else if (job->outcome_recorded) {
    cancel_waiters_.Complete(id, {});
  } else {
    CancelLoadedJob(job);
  }
}

}  // namespace doorwood
