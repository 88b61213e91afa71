// SPDX-License-Identifier: Apache-2.0

// Limits on what a leader holds of jobs: their repetitions in memory, and their
// states in the store.

#include <utility>

#include "doorwood/cell_leader.h"
#include "doorwood/job_repetitions.h"

namespace doorwood {
namespace {

constexpr Millis kRefusalLogInterval{1000};

}  // namespace

void CellLeader::UpdateRepetitions() {
  for (Job* job : jobs_.OpenJobs()) {
    DropDoneRepetitions(job);
  }
  job_memory_ = jobs_.EstimateMemory();
  const int64_t now = unix_millis_();
  int waiting_jobs = 0;
  for (Job* job : jobs_.OpenJobs()) {
    const bool has_memory =
        HoldDueRepetitions(job, now, options_.job_memory, &job_memory_);
    waiting_jobs += has_memory ? 0 : 1;
  }
  counters_.job_memory_bytes = job_memory_;
  const bool wait = waiting_jobs > 0;
  if (wait != std::exchange(repetitions_wait_, wait)) {
    log_.Write("warn", "cell",
               wait ? "due repetitions of jobs wait for memory"
                    : "no due repetition of a job waits for memory any more",
               {{"cell", options_.cell},
                {"jobs", waiting_jobs},
                {"job_bytes", job_memory_},
                {"most_bytes", options_.job_memory.bytes},
                {"epoch", epoch_}});
  }
}

void CellLeader::HoldNewJob(Job* job) {
  job_memory_ += EstimateMemory(*job);
  HoldDueRepetitions(job, unix_millis_(), options_.job_memory, &job_memory_);
}

bool CellLeader::HasMemoryFor(const JobPlan& plan) {
  const JobMemoryLimits& limits = options_.job_memory;
  const size_t needed =
      EstimatePlanMemory(plan) + EstimateRepetitionMemory(plan);
  const double most = limits.accept_share * static_cast<double>(limits.bytes);
  if (static_cast<double>(job_memory_ + needed) <= most) {
    return true;
  }
  ++counters_.refused_for_memory;
  const Instant now = executor_.Now();
  if (now - memory_refusal_logged_ >= kRefusalLogInterval) {
    memory_refusal_logged_ = now;
    log_.Write("warn", "cell", "job refused: the jobs use too much memory",
               {{"job", plan.id},
                {"needed_bytes", needed},
                {"job_bytes", job_memory_},
                {"most_bytes", most},
                {"refused", counters_.refused_for_memory}});
  }
  return false;
}

// The store would refuse the whole batch, and each one that follows.
void CellLeader::FailJobWithTooLargeState(Job* job, size_t bytes) {
  jobs_.Finish(job, JobOutcome::kFailed);
  job->reason = "the state of the job is too large for the store";
  job->finished_at = unix_millis_();
  log_.Write("error", "cell", "job failed: its state is too large to be stored",
             {{"job", job->plan.id}, {"bytes", bytes}, {"epoch", epoch_}});
  StopRunsOfJob(*job);
}

}  // namespace doorwood
