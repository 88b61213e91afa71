// SPDX-License-Identifier: Apache-2.0

// Submission of jobs to a cell, admission of long-running jobs, and the cell's
// summary.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"
#include "doorwood/link_load.h"

namespace doorwood {
namespace {

// Share of the network link that starts can use beside polls and the list of
// workers.
constexpr double kStartLinkShare = 0.6;

}  // namespace

std::string_view ToString(JobPhase phase) {
  switch (phase) {
    case JobPhase::kQueued:
      return "queued";
    case JobPhase::kRunning:
      return "running";
    case JobPhase::kCompleted:
      return "completed";
    case JobPhase::kFailed:
      return "failed";
    case JobPhase::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

void CellLeader::Submit(JobPlan plan, SubmitCallback done) {
  if (!leading()) {
    done(CoreErrc::kNoOwner, {});
    return;
  }
  if (jobs_.Find(plan.id) != nullptr || ended_jobs_.Find(plan.id)) {
    done({}, AcceptOutcome::kAlreadyKnown);
    return;
  }
  // If the job is already being recorded, an earlier call for it may still
  // succeed, so this call is not refused for lack of capacity.
  if (!journal_.IsRecording(plan.id) &&
      (!HasMemoryFor(plan) || AreAllWorkersInClosedDataCentres(plan.queue) ||
       IsStartBacklogTooLong(plan) || !HasLongRunningCapacity(plan))) {
    // An ended job is known, and needs no capacity.
    ended_jobs_.Fetch(
        plan.id, [done = std::move(done)](std::error_code error,
                                          std::optional<JobOutcome> outcome) {
          const bool known = !error && outcome;
          done(known ? std::error_code() : CoreErrc::kNoCapacity,
               AcceptOutcome::kAlreadyKnown);
        });
    return;
  }
  if (const QueuePolicy* policy = known_queues_.FindPolicy(plan.queue)) {
    plan.policy = *policy;
  }
  plan.worker_group = ChooseGroup(plan);
  journal_.Accept(std::move(plan), std::move(done));
}

void CellLeader::AddWaitingStarts(const Job& job) {
  const Queue* queue = QueueOf(job);
  if (workers_.link_rate() <= 0 || queue == nullptr) {
    return;
  }
  size_t waiting = 0;
  for (const auto& [number, repetition] : job.repetitions) {
    for (const StepState& step : repetition.steps) {
      waiting += static_cast<size_t>(std::max(step.idle, 0));
    }
  }
  waiting_start_bytes_[queue->priority] +=
      waiting * (kStartOverheadBytes + job.plan.payload.size());
}

// Steps of a lower priority number go first, so only their starts and those of
// the same priority are ahead of the job's.
bool CellLeader::IsStartBacklogTooLong(const JobPlan& plan) const {
  const Queue* queue = known_queues_.Find(plan.queue);
  if (workers_.link_rate() <= 0 || queue == nullptr) {
    return false;
  }
  size_t ahead = 0;
  for (const auto& [priority, bytes] : waiting_start_bytes_) {
    ahead += priority <= queue->priority ? bytes : 0;
  }
  return IntervalForShare(workers_.link_rate(), ahead, kStartLinkShare) >
         ObjectiveOf(plan, *queue);
}

bool CellLeader::HasLongRunningCapacity(const JobPlan& plan) {
  const int64_t requested = LongRunningCpu(plan);
  const Queue* queue = known_queues_.Find(plan.queue);
  if (requested == 0 || queue == nullptr || workers_read_ == Instant{}) {
    return true;
  }
  const std::string& service = queue->service;
  int64_t capacity = 0;
  for (const auto& [id, cell_worker] : cell_workers_) {
    const WorkerIncarnation& incarnation = cell_worker.session->incarnation();
    const bool is_available = cell_worker.listed && !incarnation.draining &&
                              !IsInClosedDataCentre(cell_worker);
    capacity += is_available && incarnation.service == service
                    ? incarnation.capacity.cpu_millis
                    : 0;
  }
  int64_t reserved = 0;
  for (const Job* job : jobs_.OpenJobs()) {
    const Queue* other = QueueOf(*job);
    const bool is_same_service = other != nullptr && other->service == service;
    reserved += is_same_service ? LongRunningCpu(job->plan) : 0;
  }
  const LongRunningAdmission& admission = LongRunningAdmissionOf(service);
  const Instant now = executor_.Now();
  if (admission.Allows(requested, reserved, capacity, now)) {
    return true;
  }
  log_.Write("info", "cell",
             "long-running job refused: its service lacks capacity",
             {{"job", plan.id},
              {"asked_cpu", requested},
              {"lasting_cpu", reserved},
              {"capacity_cpu", capacity},
              {"use", admission.peak_use()},
              {"proved", admission.IsObservationTimeOver(now)}});
  return false;
}

LongRunningAdmission& CellLeader::LongRunningAdmissionOf(
    const std::string& service) {
  return long_running_admission_
      .try_emplace(service, options_.policy.long_running_admission)
      .first->second;
}

void CellLeader::ObserveLoads() {
  std::map<std::string, ServiceLoad> loads;
  for (const auto& [id, cell_worker] : cell_workers_) {
    const WorkerSession& session = *cell_worker.session;
    if (!cell_worker.listed) {
      continue;
    }
    ServiceLoad& load = loads[session.incarnation().service];
    const auto serving = static_cast<double>(session.serving_cpu());
    load.available +=
        static_cast<double>(session.incarnation().capacity.cpu_millis) -
        options_.policy.serving_cpu_use_ratio * serving;
    load.requested += static_cast<double>(session.reserved().cpu_millis +
                                          session.best_effort_cpu()) -
                      serving;
  }
  const int64_t now = unix_millis_();
  for (const Job* job : jobs_.OpenJobs()) {
    const Queue* queue = QueueOf(*job);
    if (queue != nullptr) {
      loads[queue->service].requested +=
          static_cast<double>(WaitingCpu(*job, now));
    }
  }
  for (const auto& [service, load] : loads) {
    LongRunningAdmissionOf(service).Observe(load, executor_.Now());
  }
}

void CellLeader::OnAccepted(const JobPlan& plan) {
  Job* job = jobs_.Add(plan);
  if (job == nullptr) {
    return;
  }
  ++counters_.accepted;
  ended_jobs_.Forget(plan.id);
  if (plan.policy) {
    known_queues_.AddRecorded(*plan.policy);
  }
  HoldNewJob(job);
  AddWaitingStarts(*job);
  log_.Write("info", "cell", "job accepted",
             {{"job", plan.id},
              {"queue", plan.queue},
              {"steps", plan.steps.size()},
              {"epoch", epoch_}});
  RequestSchedulingPass();
}

CellSummary CellLeader::Summarize() {
  CellSummary summary;
  waiting_start_bytes_.clear();
  summary.cell = options_.cell;
  summary.epoch = epoch_;
  summary.config_version = table_ ? table_->version() : 0;
  summary.revision = std::max(epoch_, journal_.newest_revision());
  for (const auto& [id, job] : jobs_.jobs()) {
    if (job->outcome != JobOutcome::kOpen) {
      continue;
    }
    AddWaitingStarts(*job);
    if (!job->started) {
      ++summary.pending[job->plan.queue];
    }
    for (size_t step = 0; step < job->plan.steps.size(); ++step) {
      const StepPlan& plan = job->plan.steps[step];
      if (plan.long_running) {
        continue;
      }
      int left = 0;
      for (const auto& [number, repetition] : job->repetitions) {
        left += plan.count - repetition.steps[step].done;
      }
      summary.waiting_work += left * static_cast<double>(plan.size.cpu_millis) /
                              1e3 * static_cast<double>(plan.estimate.count()) /
                              1e3;
    }
  }
  for (const auto& [id, cell_worker] : cell_workers_) {
    if (cell_worker.listed) {
      summary.cores +=
          static_cast<double>(
              cell_worker.session->incarnation().capacity.cpu_millis) /
          1e3;
    }
  }
  return summary;
}

}  // namespace doorwood
