// SPDX-License-Identifier: Apache-2.0

// Placement by a shard owner: selects the next task and a holder, and handles
// the holder's reply.

#include <algorithm>
#include <tuple>

#include "doorwood/error.h"
#include "doorwood/shard_owner.h"

namespace doorwood {

void ShardOwner::SchedulePlacement(Millis delay) {
  if (placement_scheduled_ && delay > Millis(0)) {
    return;
  }
  placement_scheduled_ = true;
  executor_.Schedule(delay, [self = shared_from_this()]() {
    self->placement_scheduled_ = false;
    if (self->active_) {
      self->PlaceReadyTasks();
    }
  });
}

void ShardOwner::PlaceReadyTasks() {
  const Instant now = executor_.Now();
  std::vector<Task*> ready;
  bool waiting = false;
  for (auto& [id, task] : tasks_) {
    if (task.stage != Stage::kQueued) {
      continue;
    }
    if (task.not_before <= now) {
      ready.push_back(&task);
    } else {
      waiting = true;
    }
  }
  std::sort(ready.begin(), ready.end(), [this](const Task* a, const Task* b) {
    const auto rank = [this](const Task* task) {
      const TaskSpec& spec = SpecOf(*task);
      const bool batch = spec.work_class == WorkClass::kBatch;
      return std::make_tuple(batch, spec.yields, task->sequence);
    };
    return rank(a) < rank(b);
  });
  for (Task* task : ready) {
    if (placing_ >= options_.max_concurrent_placements) {
      break;
    }
    // A task that cannot be placed now does not block the tasks behind it.
    TryPlace(*task);
  }
  if (waiting || !ready.empty()) {
    SchedulePlacement(options_.retry_first);
  }
}

bool ShardOwner::TryPlace(Task& task) {
  if (IsCancelled(task)) {
    LogEnd(task, NextAttempt(), AttemptEnd::kNotStarted, "", nullptr);
    return false;
  }
  if (!WithinQuota(task)) {
    Requeue(task, options_.retry_longest, "would exceed the workspace's quota");
    return false;
  }
  task.holder = ChooseHolder(task, &task.holder_incarnation);
  if (task.holder.empty()) {
    Requeue(task, task.retry_delay,
            "no instance that may be able to run the task holds workers now");
    return false;
  }
  task.attempt = NextAttempt();
  ++placing_;
  if (SpecOf(task).repeatable) {
    SendPlaceRequest(task);
  } else {
    LogIntent(task);
  }
  return true;
}

bool ShardOwner::WithinQuota(const Task& task) const {
  const JobState* job = log_->state().FindJob(task.id.job);
  const MemberConfig* member =
      FindMember(environment_.configuration(), job->job.member);
  if (member == nullptr) {
    return true;
  }
  // All jobs of a workspace in one data centre are in one shard, so this sum is
  // complete.
  Resources used = SpecOf(task).size;
  for (const auto& [id, other] : tasks_) {
    if (other.stage == Stage::kQueued) {
      continue;
    }
    const JobState* other_job = log_->state().FindJob(id.job);
    if (other_job->job.member == job->job.member) {
      used = used + SpecOf(other).size;
    }
  }
  return Fits(used, member->quota);
}

std::string ShardOwner::ChooseHolder(const Task& task,
                                     uint64_t* incarnation) const {
  const TaskSpec& spec = SpecOf(task);
  std::vector<HolderView> fitting;
  std::vector<HolderView> others;
  for (const HolderView& holder : environment_.Holders()) {
    if (holder.workers == 0 ||
        task.unsuitable_holders.contains(holder.instance)) {
      continue;
    }
    const bool fits = Fits(spec.size, holder.largest_free);
    (fits ? fitting : others).push_back(holder);
  }
  const std::vector<HolderView>& pool = fitting.empty() ? others : fitting;
  if (pool.empty()) {
    return "";
  }
  // The better of two random choices: the load is spread nearly evenly, and
  // instances with the same view do not all choose the same holder.
  const HolderView& a = pool[executor_.Random() % pool.size()];
  const HolderView& b = pool[executor_.Random() % pool.size()];
  const HolderView& chosen = a.free.cpu_millis >= b.free.cpu_millis ? a : b;
  *incarnation = chosen.incarnation;
  return chosen.instance;
}

// Logs the intent before the start is requested, so that after a takeover the
// new owner can tell that the task may have been started and must not be
// repeated.
void ShardOwner::LogIntent(Task& task) {
  task.stage = Stage::kLoggingIntent;
  const TaskId id = task.id;
  const AttemptId attempt = task.attempt;
  log_->Append(IntentRecord{id, attempt}, /*refusable=*/true,
               [self = shared_from_this(), id, attempt](std::error_code error) {
                 Task* found = self->Find(id);
                 const bool current = self->active_ && found != nullptr &&
                                      found->attempt == attempt &&
                                      found->stage == Stage::kLoggingIntent;
                 if (current && !error) {
                   self->SendPlaceRequest(*found);
                   return;
                 }
                 --self->placing_;
                 if (!current) {
                   return;
                 }
                 // The intent may still be in the log, but its attempt is
                 // never started: the next attempt has a new id.
                 self->Requeue(*found, self->options_.retry_longest,
                               "the intent was not confirmed as logged");
               });
}

void ShardOwner::SendPlaceRequest(Task& task) {
  task.stage = Stage::kPlacing;
  const TaskState& state = *log_->state().FindTask(task.id);
  PlaceRequest request{.shard = shard_,
                       .attempt = task.attempt,
                       .task = task.id,
                       .spec = state.spec,
                       .checkpoint = state.checkpoint};
  ApplyRules(environment_.configuration(), &request.spec);
  environment_.CallInstance(
      task.holder, std::move(request), options_.call_timeout,
      [self = shared_from_this(), id = task.id, attempt = task.attempt](
          std::error_code error, const PeerReply& reply) {
        self->OnPlaceReply(id, attempt, error, reply);
      });
}

void ShardOwner::OnPlaceReply(const TaskId& id,
                              const AttemptId& attempt,
                              std::error_code error,
                              const PeerReply& reply) {
  --placing_;
  Task* task = Find(id);
  const bool current = active_ && task != nullptr && task->attempt == attempt &&
                       task->stage == Stage::kPlacing;
  if (!current) {
    return;
  }
  if (error == make_error_code(PeerErrc::kNotSent)) {
    OnRefused(*task, "the holder could not be reached");
    return;
  }
  const auto* answer = std::get_if<PlaceReply>(&reply);
  if (error || answer == nullptr) {
    task->stage = Stage::kUnresolved;
    RecordDecision(id, "unresolved", "no answer from holder " + task->holder);
    ScheduleCensus(Millis(0));
    return;
  }
  if (!answer->placed) {
    OnRefused(*task, answer->reason);
    return;
  }
  task->stage = Stage::kRunning;
  task->worker = answer->worker;
  task->retry_delay = options_.retry_first;
  task->reason.clear();
  task->unsuitable_holders.clear();
  ++counters_.placed;
  RecordDecision(id, "placed",
                 "attempt " + ToString(attempt) + " on worker " +
                     answer->worker + " by holder " + task->holder);
  if (IsCancelled(*task)) {
    StopTask(*task);
  }
}

void ShardOwner::OnRefused(Task& task, const std::string& reason) {
  ++counters_.refused;
  Millis pause = task.retry_delay;
  task.retry_delay = std::min(task.retry_delay * 2, options_.retry_longest);
  if (reason.starts_with("never: ")) {
    task.unsuitable_holders.insert(task.holder);
    bool all = true;
    for (const HolderView& holder : environment_.Holders()) {
      all = all && (holder.workers == 0 ||
                    task.unsuitable_holders.contains(holder.instance));
    }
    if (all) {
      task.unsuitable_holders.clear();
      pause = options_.unplaceable_retry;
      RecordDecision(task.id, "unplaceable", reason);
    }
  }
  const bool intent_logged = !SpecOf(task).repeatable;
  if (!intent_logged) {
    Requeue(task, pause, reason);
    return;
  }
  // The refusal proves that the attempt of the logged intent was not started.
  const TaskId id = task.id;
  LogEnd(task, task.attempt, AttemptEnd::kNotStarted, "",
         [self = shared_from_this(), id, pause, reason](bool logged) {
           Task* found = self->Find(id);
           if (logged && found != nullptr) {
             self->Requeue(*found, pause, reason);
           }
         });
}

void ShardOwner::Requeue(Task& task, Millis delay, std::string reason) {
  task.stage = Stage::kQueued;
  task.not_before = executor_.Now() + delay;
  task.worker.clear();
  if (task.reason != reason) {
    RecordDecision(task.id, "waiting", reason);
  }
  task.reason = std::move(reason);
  SchedulePlacement(std::max(delay, Millis(1)));
}

}  // namespace doorwood
