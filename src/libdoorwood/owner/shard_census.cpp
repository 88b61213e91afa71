// SPDX-License-Identifier: Apache-2.0

// The census of a shard owner: one mechanism that determines the state of
// attempts after a change of owner, the failure of a holder, a lost answer or
// the loss of a worker. See docs/design/census.md.

#include <algorithm>

#include "doorwood/error.h"
#include "doorwood/shard_owner.h"

namespace doorwood {

void ShardOwner::OnHoldersChanged() {
  if (!active_) {
    return;
  }
  std::map<std::string, uint64_t> holdings;
  for (const HolderView& holder : environment_.Holders()) {
    holdings[holder.instance] = holder.incarnation ^ holder.holdings_version;
  }
  if (holdings == last_holdings_) {
    return;
  }
  last_holdings_ = std::move(holdings);
  if (!tasks_.empty()) {
    ScheduleCensus(options_.census_retry);
  }
  SchedulePlacement(Millis(0));
}

void ShardOwner::ScheduleCensus(Millis delay) {
  if (census_scheduled_) {
    return;
  }
  census_scheduled_ = true;
  executor_.Schedule(delay, [self = shared_from_this()]() {
    self->census_scheduled_ = false;
    if (self->active_) {
      self->RunCensus();
    }
  });
}

void ShardOwner::RunCensus() {
  if (census_running_) {
    ScheduleCensus(options_.census_retry);
    return;
  }
  census_running_ = true;
  ++counters_.censuses;
  auto round = std::make_shared<CensusRound>();
  round->started = executor_.Now();
  round->floor = NextAttempt();
  const std::vector<std::string> instances = environment_.PossibleHolders();
  round->outstanding = instances.size();
  for (const std::string& instance : instances) {
    environment_.CallInstance(
        instance, CensusRequest{shard_, round->floor}, options_.call_timeout,
        [self = shared_from_this(), round, instance](std::error_code error,
                                                     const PeerReply& reply) {
          self->OnCensusReply(round, instance, error, reply);
        });
  }
  if (instances.empty()) {
    census_running_ = false;
    ScheduleCensus(options_.census_retry);
  }
}

void ShardOwner::OnCensusReply(const std::shared_ptr<CensusRound>& round,
                               const std::string& instance,
                               std::error_code error,
                               const PeerReply& reply) {
  const auto* census = std::get_if<CensusReply>(&reply);
  if (error || census == nullptr) {
    round->all_reached = false;
  } else {
    for (const AttemptReport& report : census->reports) {
      round->reports[report.attempt] = {report, instance};
    }
    round->held.insert(census->held.begin(), census->held.end());
    const Instant now = executor_.Now();
    round->last_start = std::max(round->last_start, now - census->uptime);
    for (const WorkerAge& age : census->released) {
      // The reply's transit time is not subtracted, so the result is late
      // rather than early, which is safe.
      Instant& last = round->last_renewal[age.worker];
      last = std::max(last, now - age.age);
    }
  }
  if (--round->outstanding == 0) {
    census_running_ = false;
    if (active_) {
      FinishCensus(*round);
    }
  }
}

void ShardOwner::FinishCensus(CensusRound& round) {
  std::vector<TaskId> candidates;
  for (const auto& [id, task] : tasks_) {
    const bool unresolved = task.stage == Stage::kUnresolved;
    const bool running_before =
        task.stage == Stage::kRunning && task.attempt < round.floor;
    if (unresolved || running_before) {
      candidates.push_back(id);
    }
  }
  bool complete = true;
  for (const TaskId& id : candidates) {
    Task* task = Find(id);
    if (task != nullptr) {
      complete = ResolveTask(*task, round) && complete;
    }
  }
  StopOrphans(round);
  SchedulePlacement(Millis(0));
  if (!complete) {
    ScheduleCensus(options_.census_retry);
  } else if (!tasks_.empty()) {
    ScheduleCensus(options_.census_interval);
  }
}

// Stops attempts whose task has ended, and attempts other than the current one
// of a running task.
void ShardOwner::StopOrphans(const CensusRound& round) {
  for (const auto& [attempt, reported] : round.reports) {
    const Task* task = Find(reported.report.task);
    const bool wanted = task != nullptr && (task->stage != Stage::kRunning ||
                                            task->attempt == attempt);
    if (wanted || reported.report.state == RunState::kEnded) {
      continue;
    }
    RecordDecision(reported.report.task, "stop",
                   "attempt " + ToString(attempt) +
                       " is stopped: its task has ended, or another attempt of "
                       "the task is running");
    environment_.CallInstance(
        reported.holder, StopRequest{shard_, attempt, false},
        options_.call_timeout, [](std::error_code, const PeerReply&) {});
  }
}

// Returns true if the state of the task's attempt is now known.
bool ShardOwner::ResolveTask(Task& task, const CensusRound& round) {
  const HolderAttemptReport* reported = FindAttemptReport(task, round);
  if (reported != nullptr) {
    const AttemptReport& report = reported->report;
    const bool runs_again = report.state == RunState::kEnded &&
                            report.end != AttemptEnd::kSucceeded;
    // After a takeover a newer attempt may run on a worker that is not
    // accounted for, and logging this end would start another one in parallel.
    const bool newer_possible = task.attempt.counter == 0 && runs_again;
    if (newer_possible && !AllWorkersAccountedFor(round)) {
      return false;
    }
    ApplyAttemptReport(task, *reported);
    return true;
  }
  const bool accounted_for = task.worker.empty()
                                 ? AllWorkersAccountedFor(round)
                                 : IsAccountedFor(task.worker, round);
  if (!accounted_for) {
    return false;
  }
  // No worker runs the attempt, and no earlier request to start the attempt can
  // take effect any more.
  const TaskState& state = *log_->state().FindTask(task.id);
  const bool may_have_run = state.intent || task.attempt.counter != 0;
  if (!may_have_run) {
    Requeue(task, Millis(0),
            "queued again; no instance reported a running attempt of the task, "
            "or an attempt whose end is not logged yet");
    return true;
  }
  ++counters_.resolved_lost;
  const AttemptId attempt = task.attempt.counter != 0
                                ? task.attempt
                                : state.intent.value_or(task.attempt);
  LogEnd(task, attempt, AttemptEnd::kLost, "", nullptr);
  return true;
}

const ShardOwner::HolderAttemptReport* ShardOwner::FindAttemptReport(
    const Task& task,
    const CensusRound& round) const {
  const auto exact = round.reports.find(task.attempt);
  if (exact != round.reports.end() && exact->second.report.task == task.id) {
    return &exact->second;
  }
  if (task.attempt.counter != 0) {
    return nullptr;
  }
  // After a takeover the newest attempt is not known. It is taken to be, among
  // the reported attempts after the last logged end, the newest one that runs
  // or, if none runs, the newest one.
  const TaskState& state = *log_->state().FindTask(task.id);
  const HolderAttemptReport* newest = nullptr;
  for (const auto& [attempt, reported] : round.reports) {
    const bool candidate =
        reported.report.task == task.id && attempt > state.last_ended;
    const bool other_runs = newest != nullptr &&
                            newest->report.state == RunState::kRunning &&
                            reported.report.state == RunState::kEnded;
    if (candidate && !other_runs) {
      newest = &reported;
    }
  }
  return newest;
}

void ShardOwner::ApplyAttemptReport(Task& task,
                                    const HolderAttemptReport& reported) {
  const AttemptReport& report = reported.report;
  task.attempt = report.attempt;
  task.worker = report.worker;
  task.holder = reported.holder;
  if (report.state == RunState::kEnded) {
    LogEnd(task, report.attempt, report.end, report.checkpoint, nullptr);
    return;
  }
  if (task.stage == Stage::kUnresolved) {
    RecordDecision(task.id, "found running", "on worker " + report.worker);
  }
  task.stage = Stage::kRunning;
  if (IsCancelled(task)) {
    StopTask(task);
  }
}

bool ShardOwner::IsAccountedFor(const std::string& worker,
                                const CensusRound& round) const {
  if (round.held.contains(worker)) {
    return true;
  }
  if (!round.all_reached || !environment_.IsViewComplete()) {
    return false;
  }
  // All instances answered and none holds the worker. The worker ends its tasks
  // by its own clock once the task lease has expired after the latest renewal
  // that any instance can have sent.
  Instant last = std::max(environment_.LastDeparture(), round.last_start);
  const auto renewal = round.last_renewal.find(worker);
  if (renewal != round.last_renewal.end()) {
    last = std::max(last, renewal->second);
  }
  return round.started >= last + options_.task_lease + options_.drift;
}

bool ShardOwner::AllWorkersAccountedFor(const CensusRound& round) const {
  if (!environment_.IsViewComplete()) {
    return false;
  }
  const std::vector<std::string> workers = environment_.Workers();
  const bool listed = std::all_of(
      workers.begin(), workers.end(),
      [&](const std::string& worker) { return IsAccountedFor(worker, round); });
  const bool released = std::all_of(
      round.last_renewal.begin(), round.last_renewal.end(),
      [&](const auto& item) { return IsAccountedFor(item.first, round); });
  return listed && released;
}

}  // namespace doorwood
