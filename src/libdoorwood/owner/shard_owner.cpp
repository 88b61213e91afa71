// SPDX-License-Identifier: Apache-2.0

#include "doorwood/shard_owner.h"

#include <algorithm>
#include <tuple>

#include "doorwood/error.h"

namespace doorwood {
namespace {

constexpr size_t kMaxDecisionsPerTask = 20;
constexpr size_t kMaxTasksWithDecisions = 5000;

}  // namespace

// --- Lifecycle ---

ShardOwner::ShardOwner(const OwnerOptions& options,
                       const ShardId& shard,
                       std::string instance,
                       uint64_t incarnation,
                       Executor& executor,
                       KvStore& kv,
                       OwnerEnvironment& environment)
    : options_(options),
      shard_(shard),
      instance_(instance),
      executor_(executor),
      environment_(environment),
      log_(std::make_shared<ShardLog>(options.log,
                                      shard,
                                      std::move(instance),
                                      incarnation,
                                      executor,
                                      kv)) {}

void ShardOwner::Open(Done done) {
  log_->Open([self = shared_from_this(), done](std::error_code error) {
    if (error) {
      done(error);
      return;
    }
    self->active_ = true;
    self->opened_ = self->executor_.Now();
    self->log_->set_on_applied(
        [weak = self->weak_from_this()](const LogRecord& record) {
          if (const auto owner = weak.lock()) {
            owner->OnApplied(record);
          }
        });
    self->LoadOpenTasks();
    self->ScheduleCensus(Millis(0));
    done(error);
  });
}

void ShardOwner::Close(Done done) {
  active_ = false;
  log_->Close([self = shared_from_this(), done](std::error_code error) {
    if (error) {
      self->active_ = true;
      self->ScheduleCensus(Millis(0));
    }
    done(error);
  });
}

void ShardOwner::StopImmediately() {
  active_ = false;
}

void ShardOwner::set_on_fenced(std::function<void()> on_fenced) {
  log_->set_on_fenced(std::move(on_fenced));
}

void ShardOwner::set_lease_valid(std::function<bool()> lease_valid) {
  log_->set_lease_valid(std::move(lease_valid));
}

void ShardOwner::LoadOpenTasks() {
  for (const auto& [id, job] : log_->state().jobs()) {
    for (const auto& [name, task] : job.tasks) {
      if (task.phase == TaskPhase::kOpen) {
        AddTask(job, task, Stage::kUnresolved);
      }
    }
  }
}

void ShardOwner::AddTask(const JobState& job,
                         const TaskState& task,
                         Stage stage) {
  Task item;
  item.id = {job.job.id, task.spec.name};
  item.stage = stage;
  item.sequence = ++last_sequence_;
  item.retry_delay = options_.retry_first;
  tasks_.emplace(item.id, std::move(item));
}

ShardOwner::Task* ShardOwner::Find(const TaskId& id) {
  const auto task = tasks_.find(id);
  return task == tasks_.end() ? nullptr : &task->second;
}

const TaskSpec& ShardOwner::SpecOf(const Task& task) const {
  return log_->state().FindTask(task.id)->spec;
}

bool ShardOwner::IsCancelled(const Task& task) const {
  const JobState* job = log_->state().FindJob(task.id.job);
  return job != nullptr && job->cancelled;
}

AttemptId ShardOwner::NextAttempt() {
  return {log_->epoch(), ++last_attempt_counter_};
}

// --- Requests ---

void ShardOwner::Submit(const JobSpec& job, Done done) {
  if (log_->state().FindJob(job.id) != nullptr) {
    done(std::error_code());
    return;
  }
  log_->Append(AcceptRecord{job}, /*refusable=*/true, std::move(done));
}

// Updates the open tasks for an applied record. The callbacks of `Append`
// cannot do this: they may already have been called with kOutcomeUnknown.
void ShardOwner::OnApplied(const LogRecord& record) {
  if (const auto* accept = std::get_if<AcceptRecord>(&record)) {
    ++counters_.accepted;
    const JobState* job = log_->state().FindJob(accept->job.id);
    for (const auto& [name, task] : job->tasks) {
      const bool known = tasks_.contains({job->job.id, name});
      if (!known && task.phase == TaskPhase::kOpen) {
        AddTask(*job, task, Stage::kQueued);
      }
    }
    SchedulePlacement(Millis(0));
  } else if (std::holds_alternative<CancelRecord>(record)) {
    StopCancelled();
  }
}

void ShardOwner::Cancel(const std::string& job, Done done) {
  const JobState* state = log_->state().FindJob(job);
  if (state == nullptr) {
    // A batch of the log that is not confirmed may accept the job. Records take
    // effect in order, so that the job is known once this one has.
    log_->Append(CancelRecord{job}, /*refusable=*/true,
                 [self = shared_from_this(), job, done](std::error_code error) {
                   const bool known =
                       self->log_->state().FindJob(job) != nullptr;
                   done(error || known ? error : CoreErrc::kNotFound);
                 });
    return;
  }
  if (state->cancelled || state->finished()) {
    done(std::error_code());
    return;
  }
  log_->Append(CancelRecord{job}, /*refusable=*/true, std::move(done));
}

void ShardOwner::ClaimIdempotencyKey(const std::string& key,
                                     const std::string& request,
                                     Done done) {
  const std::string claimed = log_->state().ClaimedBy(key);
  if (!claimed.empty()) {
    done(CoreErrc::kConflict);
    return;
  }
  // Two claims of one key can be in the same batch. Only the first one in the
  // log is valid, so the state is checked after the append.
  log_->Append(
      ClaimRecord{key, request}, /*refusable=*/true,
      [self = shared_from_this(), key, request, done](std::error_code error) {
        if (error) {
          done(error);
          return;
        }
        const bool won = self->log_->state().ClaimedBy(key) == request;
        done(won ? std::error_code() : make_error_code(CoreErrc::kConflict));
      });
}

void ShardOwner::ReleaseIdempotencyKey(const std::string& key,
                                       const std::string& request) {
  log_->Append(UnclaimRecord{key, request}, /*refusable=*/false, nullptr);
}

// Ends the queued tasks of cancelled jobs, usually in one batch of the log, and
// stops the running ones, whose ends are logged once they are reported.
void ShardOwner::StopCancelled() {
  std::vector<TaskId> queued;
  for (auto& [id, task] : tasks_) {
    if (!IsCancelled(task)) {
      continue;
    }
    if (task.stage == Stage::kQueued) {
      queued.push_back(id);
    } else if (task.stage == Stage::kRunning) {
      StopTask(task);
    }
  }
  for (const TaskId& id : queued) {
    Task& task = *Find(id);
    LogEnd(task, NextAttempt(), AttemptEnd::kNotStarted, "", nullptr);
  }
}

void ShardOwner::StopTask(Task& task) {
  const TaskId id = task.id;
  const AttemptId attempt = task.attempt;
  RecordDecision(id, "stop", "the job was cancelled");
  environment_.CallInstance(
      task.holder, StopRequest{shard_, attempt, /*take_checkpoint=*/false},
      options_.call_timeout,
      [self = shared_from_this(), id, attempt](std::error_code error,
                                               const PeerReply&) {
        Task* found = self->Find(id);
        const bool again = error && self->active_ && found != nullptr &&
                           found->attempt == attempt &&
                           found->stage == Stage::kRunning;
        if (!again) {
          return;
        }
        self->executor_.Schedule(self->options_.retry_longest, [self, id]() {
          Task* later = self->Find(id);
          const bool still_running = self->active_ && later != nullptr &&
                                     later->stage == Stage::kRunning;
          if (still_running) {
            self->StopTask(*later);
          }
        });
      });
}

// --- Ends of attempts ---

void ShardOwner::LogEnd(Task& task,
                        const AttemptId& attempt,
                        AttemptEnd end,
                        const std::string& checkpoint,
                        std::function<void(bool)> done) {
  task.stage = Stage::kEnding;
  const TaskId id = task.id;
  log_->Append(
      EndRecord{id, attempt, end, checkpoint}, /*refusable=*/false,
      [self = shared_from_this(), id, end, done](std::error_code error) {
        if (!error) {
          self->HandleAttemptEnd(id, end);
        }
        if (done) {
          done(!error);
        }
      });
}

void ShardOwner::HandleAttemptEnd(const TaskId& id, AttemptEnd end) {
  ++counters_.ended;
  Task* task = Find(id);
  const TaskState* state = log_->state().FindTask(id);
  RecordDecision(id, "ended", std::string(ToString(end)));
  if (task == nullptr) {
    return;
  }
  const bool open = state != nullptr && state->phase == TaskPhase::kOpen;
  if (!open) {
    tasks_.erase(id);
    return;
  }
  Millis backoff(0);
  if (end == AttemptEnd::kFailed) {
    backoff = options_.failure_backoff * (1 << std::min(state->failures, 6));
    const auto spread = static_cast<uint64_t>(backoff.count() / 2 + 1);
    backoff += Millis(static_cast<int64_t>(executor_.Random() % spread));
  }
  Requeue(
      *task, backoff,
      "queued again; the last attempt ended as: " + std::string(ToString(end)));
}

void ShardOwner::OnEndReport(const EndReport& report,
                             std::function<void(EndReply)> reply) {
  struct Progress {
    size_t outstanding = 1;
    EndReply reply;
  };
  auto progress = std::make_shared<Progress>();
  const auto finish = [progress, reply]() {
    if (--progress->outstanding == 0) {
      reply(progress->reply);
    }
  };
  for (const AttemptReport& ended : report.ended) {
    const TaskState* state = log_->state().FindTask(ended.task);
    const bool settled = state == nullptr || state->phase != TaskPhase::kOpen ||
                         ended.attempt <= state->last_ended;
    if (settled) {
      progress->reply.logged.push_back(ended.attempt);
      continue;
    }
    Task* task = Find(ended.task);
    const bool logging = task == nullptr || task->stage == Stage::kEnding;
    if (logging || !active_) {
      continue;
    }
    // Right after a takeover the newest attempt is not known, and the reported
    // one may be an older one of which a holder still has a record. The report
    // is ignored until a census has determined the newest attempt; the holder
    // repeats the report.
    const bool newest_unknown =
        task->stage == Stage::kUnresolved && task->attempt.counter == 0;
    if (newest_unknown) {
      continue;
    }
    if (ended.attempt < task->attempt) {
      // A newer attempt is started only after the reported one is known to have
      // ended.
      progress->reply.logged.push_back(ended.attempt);
      continue;
    }
    ++progress->outstanding;
    LogEnd(*task, ended.attempt, ended.end, ended.checkpoint,
           [progress, finish, attempt = ended.attempt](bool logged) {
             if (logged) {
               progress->reply.logged.push_back(attempt);
             }
             finish();
           });
  }
  finish();
}

// --- For operators ---

std::string_view ShardOwner::StageName(Stage stage) {
  switch (stage) {
    case Stage::kQueued:
      return "queued";
    case Stage::kLoggingIntent:
    case Stage::kPlacing:
      return "placing";
    case Stage::kRunning:
      return "running";
    case Stage::kUnresolved:
      return "unresolved";
    case Stage::kEnding:
      return "ending";
  }
  return "queued";
}

Json ShardOwner::TaskJson(const JobState& job, const TaskState& task) const {
  Json json{{"name", task.spec.name},
            {"class", ToString(task.spec.work_class)},
            {"phase", ToString(task.phase)},
            {"failures", task.failures},
            {"evictions", task.evictions},
            {"checkpoint", task.checkpoint}};
  const auto open_task = tasks_.find({job.job.id, task.spec.name});
  if (open_task != tasks_.end()) {
    json["phase"] = StageName(open_task->second.stage);
    json["worker"] = open_task->second.worker;
    json["reason"] = open_task->second.reason;
  }
  return json;
}

Json ShardOwner::JobJson(const std::string& job) const {
  const JobState* state = log_->state().FindJob(job);
  if (state == nullptr) {
    return Json();
  }
  Json tasks = Json::array();
  bool all_succeeded = true;
  for (const auto& [name, task] : state->tasks) {
    tasks.push_back(TaskJson(*state, task));
    all_succeeded = all_succeeded && task.phase == TaskPhase::kSucceeded;
  }
  std::string phase = "open";
  if (state->finished()) {
    phase = all_succeeded ? "succeeded" : "failed";
    if (state->cancelled) {
      phase = "cancelled";
    }
  }
  return Json{{"id", job},
              {"member", state->job.member},
              {"home", state->job.home},
              {"phase", phase},
              {"tasks", std::move(tasks)}};
}

Json ShardOwner::JobsJson(const std::string& member) const {
  Json jobs = Json::array();
  for (const auto& [id, job] : log_->state().jobs()) {
    if (!member.empty() && job.job.member != member) {
      continue;
    }
    Json json = JobJson(id);
    json["tasks"] = json["tasks"].size();
    jobs.push_back(std::move(json));
  }
  return jobs;
}

std::vector<DecisionRecord> ShardOwner::Explain(const TaskId& task) const {
  const auto records = decisions_.find(task);
  return records == decisions_.end() ? std::vector<DecisionRecord>()
                                     : records->second;
}

void ShardOwner::RecordDecision(const TaskId& task,
                                std::string what,
                                std::string detail) {
  environment_.LogDecision(what, task, detail);
  if (decisions_.size() >= kMaxTasksWithDecisions &&
      !decisions_.contains(task)) {
    decisions_.erase(decisions_.begin());
  }
  std::vector<DecisionRecord>& records = decisions_[task];
  if (records.size() >= kMaxDecisionsPerTask) {
    records.erase(records.begin());
  }
  const auto at = std::chrono::duration_cast<Millis>(executor_.Now() - opened_);
  records.push_back({at.count(), std::move(what), std::move(detail)});
}

}  // namespace doorwood
