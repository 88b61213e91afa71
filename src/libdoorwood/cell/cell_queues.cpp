// SPDX-License-Identifier: Apache-2.0

// Policies of queues. The operators may drop a queue while jobs of it are open.
// These still finish, also if every instance that has seen a table with the
// queue is gone: the policy is in the record of each job.

#include <algorithm>
#include <limits>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {

const Queue* CellLeader::QueueOf(const Job& job) const {
  return known_queues_.Find(job.plan.queue);
}

int CellLeader::MaxAttempts(const Job& job) const {
  const Queue* queue = QueueOf(job);
  return queue == nullptr ? std::numeric_limits<int>::max()
                          : queue->max_attempts;
}

void CellLeader::OnQueueTable(std::shared_ptr<const QueueTable> table) {
  table_ = std::move(table);
  const std::vector<std::string> added = known_queues_.Update(*table_);
  if (!leading()) {
    OnLiveChange();
    return;
  }
  FailJobsWithoutAttemptsLeft(added);
  RecordDroppedPolicies();
  RequestSchedulingPass();
}

void CellLeader::AddRecordedPolicies() {
  size_t without_policy = 0;
  std::string example;
  for (const Job* job : jobs_.OpenJobs()) {
    const auto& policy =
        job->dropped_policy ? job->dropped_policy : job->plan.policy;
    if (policy) {
      known_queues_.AddRecorded(*policy);
    } else if (QueueOf(*job) == nullptr) {
      ++without_policy;
      example = job->plan.id;
    }
  }
  if (without_policy > 0) {
    log_.Write("error", "cell",
               "jobs wait: neither the configuration nor their records have "
               "the policy of their queue",
               {{"jobs", without_policy},
                {"job", example},
                {"config_version", table_ ? table_->version() : 0},
                {"epoch", epoch_}});
  }
}

void CellLeader::RecordDroppedPolicies() {
  if (!table_) {
    return;
  }
  int recorded = 0;
  for (Job* job : jobs_.OpenJobs()) {
    const QueuePolicy* last = known_queues_.FindPolicy(job->plan.queue);
    if (last == nullptr || table_->FindByName(job->plan.queue) != nullptr) {
      continue;
    }
    const auto& known =
        job->dropped_policy ? job->dropped_policy : job->plan.policy;
    if (!known || !HaveSameEffect(*known, *last)) {
      job->dropped_policy = *last;
      job->dirty = true;
      JournalIfDirty(job, /*urgent=*/true);
      ++recorded;
    }
  }
  if (recorded > 0) {
    log_.Write("info", "cell",
               "recording the policies of dropped queues for their open jobs",
               {{"jobs", recorded},
                {"config_version", table_->version()},
                {"epoch", epoch_}});
  }
}

void CellLeader::FailJobsWithoutAttemptsLeft(
    const std::vector<std::string>& queues) {
  for (Job* job : std::vector<Job*>(jobs_.OpenJobs())) {
    if (std::find(queues.begin(), queues.end(), job->plan.queue) ==
        queues.end()) {
      continue;
    }
    const auto most = static_cast<size_t>(MaxAttempts(*job));
    bool used_up = false;
    ForEachTask(job, [&](const Task* task) {
      used_up = used_up || (!task->done && task->failed_runs.size() >= most);
    });
    if (used_up && jobs_.Finish(job, JobOutcome::kFailed)) {
      OnJobEnded(job);
    }
  }
}

}  // namespace doorwood
