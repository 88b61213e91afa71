// SPDX-License-Identifier: Apache-2.0

#include "doorwood/worker_session.h"

#include <algorithm>
#include <set>
#include <utility>

namespace doorwood {
namespace {

// Safety margin before a lease is treated as expired, for rounding and late
// timers.
constexpr Millis kExpiryMargin{300};

int64_t MillisBetween(Instant from, Instant to) {
  return std::chrono::duration_cast<Millis>(to - from).count();
}

// Slowest rate of a worker's clock that the platform allows.
constexpr double kSlowestClockRate = 0.98;

Millis MinElapsedOnWorkerClock(Millis on_local_clock) {
  return Millis(static_cast<int64_t>(
      static_cast<double>(on_local_clock.count()) * kSlowestClockRate));
}

bool IsListed(const std::vector<ActiveRun>& active, const Run& run) {
  return std::any_of(active.begin(), active.end(), [&](const ActiveRun& row) {
    return row.task == run.task && row.run == run.number;
  });
}

}  // namespace

Run MakeRun(const Task& task, uint32_t number) {
  const StepPlan& plan = task.plan();
  Run run;
  run.task = task.name();
  run.number = number;
  run.size = plan.size;
  run.best_effort = plan.best_effort;
  run.long_running = plan.long_running;
  run.latency_target = plan.latency_target;
  run.estimate = plan.estimate;
  run.copies_allowed = AllowsCopies(plan);
  run.step = StepName(*task.job, task.repetition, task.step);
  return run;
}

Millis MaxOnLocalClock(Millis on_worker) {
  return Millis(static_cast<int64_t>(static_cast<double>(on_worker.count()) /
                                     kSlowestClockRate));
}

WorkerSession::WorkerSession(Executor& executor,
                             RunWorkerClient& workers,
                             EventLog& log,
                             WorkerSessionListener& listener,
                             const WorkerSessionOptions& options,
                             WorkerIncarnation incarnation,
                             uint64_t token)
    : executor_(executor),
      workers_(workers),
      log_(log),
      listener_(listener),
      options_(options),
      incarnation_(std::move(incarnation)),
      token_(token),
      fence_(options.longest_lease, options.run_lease),
      short_wait_(options.short_poll_wait) {}

void WorkerSession::AddUnsettledRuns(std::vector<Run> runs) {
  for (Run& run : runs) {
    if (run.phase != RunPhase::kStopping) {
      run.phase = RunPhase::kUnresolved;
    }
    run.confirmed = Instant{};
    run.stop_confirmed = false;
    run.stop_in_flight = false;
    run.stop_sent = Instant{};
    run.pace_in_flight = false;
    run.atypical_duration = true;
    Insert(std::move(run));
  }
}

void WorkerSession::Open() {
  opened_at_ = executor_.Now();
  last_response_at_ = opened_at_;
  std::vector<std::pair<std::string, uint32_t>> to_stop;
  for (const auto& [task, run] : runs_) {
    if (run.phase == RunPhase::kStopping) {
      to_stop.emplace_back(task, run.number);
    }
  }
  for (const auto& [task, number] : to_stop) {
    SendStop(task, number);
  }
  Poll(Millis(0));
}

void WorkerSession::RaiseToken(uint64_t token) {
  if (token <= token_) {
    return;
  }
  token_ = token;
  Poll(Millis(0));
}

void WorkerSession::Close() {
  closed_ = true;
  if (poll_timer_ != 0) {
    executor_.Cancel(poll_timer_);
    poll_timer_ = 0;
  }
}

Run* WorkerSession::FindRun(const std::string& task) {
  const auto found = runs_.find(task);
  return found == runs_.end() ? nullptr : &found->second;
}

int WorkerSession::CountRunsOfStep(const std::string& step) const {
  return static_cast<int>(std::count_if(
      runs_.begin(), runs_.end(),
      [&](const auto& entry) { return entry.second.step == step; }));
}

Millis WorkerSession::ObservedRunTime(const Run& run) const {
  if (run.confirmed == Instant{} || last_response_at_ <= run.confirmed) {
    return Millis(0);
  }
  return std::chrono::duration_cast<Millis>(last_response_at_ - run.confirmed);
}

bool WorkerSession::responsive() const {
  if (dead_ || !fenced_) {
    return false;
  }
  // A worker without runs is not polled regularly, so it needs no recent
  // response. A worker whose runs have just been ended because it was
  // unresponsive has no runs either, but its last poll failed. Without the
  // check of `last_poll_failed()`, up to 814 starts a day went to such workers
  // in simulations with partitions. Each of these runs held its task back
  // until its lease of 6 s had expired.
  if (runs_.empty() && !poll_in_flight_ && !last_poll_failed()) {
    return true;
  }
  return executor_.Now() - last_response_at_ <
         options_.unresponsive_after + options_.long_poll_wait;
}

bool WorkerSession::is_slow_to_answer() const {
  const Instant now = executor_.Now();
  return last_poll_failed() ||
         std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
           const Run& run = entry.second;
           return run.phase == RunPhase::kStarting && !run.start_deferred &&
                  now - run.ordered > options_.slow_start_answer;
         });
}

// --- Leases ---

void WorkerSession::NoteResponse(int64_t clock) {
  last_response_at_ = executor_.Now();
  if (unresponsive_logged_) {
    unresponsive_logged_ = false;
    responsive_since_ = last_response_at_;
    log_.Write("info", "worker", "worker responds again",
               {{"worker", incarnation_.id}});
  }
  if (clock > 0) {
    worker_clock_ = clock;
    worker_clock_at_ = last_response_at_;
  }
}

int64_t WorkerSession::RecordLeaseGrant(Instant sent, std::string_view order) {
  if (worker_clock_ == 0) {
    return 0;
  }
  const Instant at = std::min({sent, lease_extension_end_, lease_basis_});
  // The last reported clock of an idle worker may be old, since the worker is
  // not polled. The time since then is counted at the slowest clock rate, and
  // the time from `at` until a later report at the full rate, so the lease may
  // end earlier than intended, but never after the time for which a successor
  // waits.
  const auto elapsed =
      std::chrono::duration_cast<Millis>(at - worker_clock_at_);
  const Millis age =
      elapsed > Millis(0) ? MinElapsedOnWorkerClock(elapsed) : elapsed;
  const int64_t until = worker_clock_ + (age + options_.run_lease).count();
  if (until > latest_lease_end_) {
    latest_lease_end_ = until;
    latest_lease_order_ = order;
  }
  last_lease_order_at_ = std::max(last_lease_order_at_, at);
  return until;
}

// An order for the earlier incarnation that this one carries out before the
// answer grants the longest lease from then on. So it counts as one of this
// session that is sent when the fence is settled.
void WorkerSession::CountLeasesOfEarlierLife(uint64_t token, int64_t clock) {
  if (!fence_.IsOpen()) {
    return;
  }
  const bool closes = fence_.NoteAnswer(token, executor_.Now());
  latest_lease_end_ =
      std::max(latest_lease_end_, clock + fence_.LongestGrant().count());
  latest_lease_order_ = "order for an earlier life";
  if (!closes) {
    return;
  }
  last_lease_order_at_ = std::max(last_lease_order_at_, *fence_.settled_at());
  Json fields = LeaseFields();
  fields["token"] = token;
  fields["earlier_token"] = fence_.earlier_token();
  fields["settled_in_ms"] =
      MillisBetween(executor_.Now(), *fence_.settled_at());
  log_.Write("info", "worker",
             "orders for the earlier life of a worker are fenced off", fields);
}

std::optional<Instant> WorkerSession::LeasesExpireAt() const {
  if (worker_clock_ == 0 && fence_.has_earlier_life() &&
      opened_at_ != Instant{}) {
    return opened_at_ + MaxOnLocalClock(fence_.LongestGrant()) + kExpiryMargin;
  }
  if (worker_clock_ == 0) {
    return std::nullopt;
  }
  const Millis left(latest_lease_end_ - worker_clock_);
  return worker_clock_at_ + MaxOnLocalClock(left) + kExpiryMargin;
}

// --- Polls ---

Millis WorkerSession::NextPollWait() const {
  // After a failed poll the worker may respond again and has to answer at once:
  // the answer to a poll that waits for an end may come 1.2 s later
  // (`long_poll_wait`), and the leases of the worker's runs may have expired by
  // then.
  if (has_unrecorded_ends() || last_poll_failed()) {
    return Millis(0);
  }
  const bool shares_with_best_effort =
      serving_runs_ > 0 && best_effort_runs_ > 0;
  return shares_with_best_effort ? short_wait_ : options_.long_poll_wait;
}

void WorkerSession::SchedulePoll(Millis delay) {
  if (closed_ || dead_ || poll_in_flight_) {
    return;
  }
  if (poll_timer_ != 0) {
    executor_.Cancel(poll_timer_);
  }
  poll_timer_ = executor_.Schedule(delay, [self = shared_from_this()] {
    self->poll_timer_ = 0;
    if (!self->closed_ && !self->dead_ && !self->poll_in_flight_) {
      self->Poll(self->NextPollWait());
    }
  });
}

void WorkerSession::Poll(Millis wait) {
  poll_in_flight_ = true;
  const Instant sent = executor_.Now();
  const uint64_t sequence = ++poll_sequence_;
  PollOrder order;
  order.token = token_;
  order.forget_up_to = recorded_end_;
  acknowledged_end_ = recorded_end_;
  // After a failed poll no lease is extended, so that the leases are certain to
  // expire if the worker stays unresponsive.
  const bool extend =
      !runs_.empty() && sent < lease_extension_end_ && !last_poll_failed();
  order.lease_end = extend ? RecordLeaseGrant(sent, "poll") : 0;
  order.max_wait = wait;
  order.life = life();
  SentPoll poll{sequence,           token_,        sent, incarnation_.address,
                order.forget_up_to, worker_clock_, wait};
  workers_.Poll(incarnation_, order,
                [self = shared_from_this(), poll = std::move(poll)](
                    std::error_code error, WorkerReport report) {
                  self->OnPollResponse(
                      poll, self->ClassifyResponse(poll.address, error),
                      std::move(report));
                });
}

void WorkerSession::PollNow() {
  if (!closed_ && !dead_ && !runs_.empty()) {
    Poll(Millis(0));
  }
}

void WorkerSession::OnPollResponse(const SentPoll& poll,
                                   std::error_code error,
                                   WorkerReport report) {
  if (closed_ || dead_) {
    return;
  }
  // Several polls may be in flight. After a success, only the poll sent last
  // may schedule the next; after a failure, any of them may if the newest is no
  // longer in flight.
  const bool newest = poll.sequence == poll_sequence_;
  if (newest) {
    poll_in_flight_ = false;
  }
  if (error == make_error_code(RunErrc::kOtherIncarnation)) {
    MarkDead();
    return;
  }
  if (error == make_error_code(RunErrc::kFenced) && poll.token < token_) {
    return;  // A later poll of this session has overtaken it.
  }
  if (error == make_error_code(RunErrc::kFenced)) {
    if (!higher_token_reported_) {
      higher_token_reported_ = true;
      listener_.OnHigherTokenSeen(*this);
    }
    return;
  }
  if (error) {
    poll_timed_out_ =
        poll_timed_out_ ||
        executor_.Now() - poll.sent >= poll.max_wait + options_.answer_patience;
    if (failed_polls_++ == 0) {
      LogFailedPoll(poll, report);
      listener_.OnPollFailed(*this);
    }
    // Poll again even if a newer poll was answered meanwhile: only another
    // answer clears `last_poll_failed()`.
    if (!poll_in_flight_) {
      SchedulePoll(other_incarnation_answers_ ? options_.other_incarnation_pause
                                              : options_.retry_pause);
    }
    return;
  }
  switch (SenderOf(report, poll.clock)) {
    case Sender::kThis:
      break;
    case Sender::kEarlier:
      if (newest) {
        SchedulePoll(options_.retry_pause);
      }
      return;
    case Sender::kNext:
      MarkRestarted(poll.address, report.started_at);
      return;
  }
  poll_timed_out_ = false;
  if (std::exchange(failed_polls_, 0) > 0) {
    listener_.OnPollRecovered(*this);
  }
  const bool first = !fenced_;
  fenced_ = true;
  if (first || report.started_at != 0) {
    answered_started_at_ = report.started_at;
  }
  if (first) {
    // Until the worker received this poll, an earlier leader may have extended
    // the leases of the runs that are adopted now.
    const Millis longest =
        std::max(options_.run_lease, options_.earlier_run_lease);
    latest_lease_end_ =
        std::max(latest_lease_end_, report.clock + longest.count());
    latest_lease_order_ = "order of an earlier leader";
    last_lease_order_at_ = executor_.Now();
  }
  CountLeasesOfEarlierLife(poll.token, report.clock);
  const bool lists_forgotten_ends =
      !report.ended.empty() && report.ended.front().number <= poll.forget_up_to;
  ApplyReport(poll.sent, std::move(report));
  if (closed_ || dead_ || !newest) {
    return;
  }
  // The first poll that was answered was sent before any run was known and
  // extended no lease, so the next one follows at once if runs were adopted.
  const bool awaits_record = has_unrecorded_ends() && (!first || runs_.empty());
  // Ends are listed again if their acknowledgement was not sent; see
  // `PollOrder::forget_up_to`.
  if (awaits_record || lists_forgotten_ends) {
    SchedulePoll(options_.unrecorded_pause);
  } else if (!runs_.empty() || has_unwanted_runs()) {
    SchedulePoll(Millis(0));
  }
}

WorkerSession::Sender WorkerSession::SenderOf(const WorkerReport& report,
                                              int64_t clock_at_send) const {
  if (report.started_at != 0 && answered_started_at_ != 0) {
    if (report.started_at > answered_started_at_) {
      return Sender::kNext;
    }
    // This leader's polls were sent after the record was written, so before the
    // first answer, a later start time in the record can only be wrong.
    const bool earlier = report.started_at < answered_started_at_;
    return earlier && fenced_ ? Sender::kEarlier : Sender::kThis;
  }
  return report.clock < clock_at_send ? Sender::kNext : Sender::kThis;
}

// A worker's steady clock never goes back within one incarnation.
bool WorkerSession::ShowsRestart(int64_t clock, int64_t clock_at_send) {
  if (clock <= 0 || clock >= clock_at_send) {
    return false;
  }
  MarkRestarted(incarnation_.address, /*started_at=*/0);
  return true;
}

void WorkerSession::CheckIncarnation() {
  if (!closed_ && !dead_) {
    Poll(Millis(0));
  }
}

Json WorkerSession::LeaseFields() const {
  const Instant now = executor_.Now();
  return {{"worker", incarnation_.id},
          {"runs", runs_.size()},
          {"started_ms", answered_started_at_},
          {"clock", worker_clock_},
          {"clock_ms_ago", MillisBetween(worker_clock_at_, now)},
          {"lease_end", latest_lease_end_},
          {"lease_order", latest_lease_order_},
          {"lease_order_ms_ago", MillisBetween(last_lease_order_at_, now)}};
}

void WorkerSession::LogFailedPoll(const SentPoll& poll,
                                  const WorkerReport& report) const {
  const Instant now = executor_.Now();
  log_.Write("warn", "worker", "poll failed",
             {{"worker", incarnation_.id},
              {"at", poll.address},
              {"reason", ToString(report.failure)},
              {"problem", report.problem},
              {"sent_ms_ago", MillisBetween(poll.sent, now)},
              {"max_wait_ms", poll.max_wait.count()},
              {"newest", poll.sequence == poll_sequence_},
              {"heard_ms_ago", MillisBetween(last_response_at_, now)},
              {"runs", runs_.size()},
              {"leaving", incarnation_.draining},
              {"last_end", last_end_},
              {"recorded_end", recorded_end_},
              {"acknowledged_end", acknowledged_end_}});
}

void WorkerSession::NoteEndOutOfOrder(uint64_t listed, uint64_t before) {
  if (std::exchange(end_out_of_order_logged_, true)) {
    return;
  }
  log_.Write("error", "worker", "worker lists its ends with gaps or unordered",
             {{"worker", incarnation_.id},
              {"listed", listed},
              {"before", before},
              {"last_end", last_end_},
              {"recorded_end", recorded_end_},
              {"acknowledged_end", acknowledged_end_}});
}

void WorkerSession::MarkRecorded(uint64_t end_number) {
  if (end_number <= recorded_end_) {
    return;
  }
  recorded_end_ = std::min(end_number, last_end_);
  ++tasks_version_;
  unrecorded_ends_.erase(unrecorded_ends_.begin(),
                         unrecorded_ends_.upper_bound(recorded_end_));
  if (recorded_end_ == last_end_ && !poll_in_flight_ && !closed_) {
    // Poll even if nothing runs there, so that the worker discards the recorded
    // ends.
    SchedulePoll(Millis(0));
  }
}

std::vector<std::string> WorkerSession::OutstandingTasks() const {
  std::set<std::string> tasks(unwanted_tasks_.begin(), unwanted_tasks_.end());
  for (const auto& [task, run] : runs_) {
    tasks.insert(task);
  }
  for (const auto& [number, task] : unrecorded_ends_) {
    tasks.insert(task);
  }
  return {tasks.begin(), tasks.end()};
}

void WorkerSession::ApplyReport(Instant sent, WorkerReport report) {
  NoteResponse(report.clock);
  ApplyEndedRuns(report.ended);
  if (closed_) {
    return;
  }
  // A report is outdated if that of a poll sent later was already processed.
  if (sent >= report_sent_) {
    report_sent_ = sent;
    ++version_;
    ApplyActiveRuns(report.active);
    if (!report.has_more_ends) {
      all_ends_listed_ = true;
      ResolveUnlistedRuns(sent, report.active);
    }
  }
  if (!closed_) {
    listener_.OnReport(*this);
  }
}

void WorkerSession::ApplyEndedRuns(const std::vector<EndedRun>& ended) {
  uint64_t before = 0;
  for (const EndedRun& end : ended) {
    if (closed_) {
      return;
    }
    if (end.number <= before) {
      NoteEndOutOfOrder(end.number, before);
    } else if (last_end_ > 0 && end.number > last_end_ + 1) {
      NoteEndOutOfOrder(end.number, last_end_);
    }
    before = end.number;
    if (end.number <= last_end_) {
      continue;
    }
    last_end_ = end.number;
    unrecorded_ends_[end.number] = end.task;
    ++tasks_version_;
    Run* run = FindRun(end.task);
    if (run == nullptr || run->number != end.run) {
      listener_.OnUnknownEnd(*this, end);
      continue;
    }
    if (!end.checkpoint.empty()) {
      run->checkpoint = end.checkpoint;
    }
    EndRun(end.task, end.end, /*reported_by_worker=*/true);
  }
}

void WorkerSession::ApplyActiveRuns(const std::vector<ActiveRun>& active) {
  std::vector<std::string> unwanted;
  for (const ActiveRun& row : active) {
    if (closed_) {
      return;
    }
    Run* run = FindRun(row.task);
    if (run == nullptr || run->number < row.run) {
      auto adopted = run == nullptr ? listener_.OnUnknownRun(*this, row)
                                    : std::optional<Run>();
      if (!adopted) {
        unwanted.push_back(row.task);
        SendStop(row.task, row.run);
        continue;
      }
      adopted->confirmed = executor_.Now();
      Insert(std::move(*adopted));
      run = FindRun(row.task);
    }
    if (run->number != row.run) {
      continue;
    }
    run->listed = true;
    if (run->phase == RunPhase::kStarting ||
        run->phase == RunPhase::kUnresolved) {
      run->phase = RunPhase::kRunning;
      // The time of arrival, not the time when this poll was sent: a poll sent
      // later may have been answered before the run began, and its report must
      // not be taken as proof that the run has ended.
      run->confirmed = executor_.Now();
      listener_.OnRunBegan(*this, *run);
    }
    run->progress = row.progress;
    run->progress_at = executor_.Now();
    if (!row.checkpoint.empty()) {
      run->checkpoint = row.checkpoint;
    }
    run->measurement = row.measurement;
  }
  if (unwanted != unwanted_tasks_) {
    unwanted_tasks_ = std::move(unwanted);
    ++tasks_version_;
  }
}

void WorkerSession::ResolveUnlistedRuns(Instant sent,
                                        const std::vector<ActiveRun>& active) {
  std::vector<std::string> ended;
  std::vector<std::pair<std::string, uint32_t>> to_stop;
  for (auto& [task, run] : runs_) {
    if (IsListed(active, run)) {
      continue;
    }
    const bool will_be_refused =
        run.stop_confirmed && run.stop_confirmed_at < sent;
    const bool confirmed_before_poll =
        run.phase == RunPhase::kRunning && run.confirmed < sent;
    if (will_be_refused || confirmed_before_poll) {
      ended.push_back(task);
    } else if (run.phase == RunPhase::kUnresolved && !run.stop_confirmed &&
               !run.stop_in_flight) {
      to_stop.emplace_back(task, run.number);
    }
  }
  for (const auto& [task, number] : to_stop) {
    SendStop(task, number);
  }
  for (const std::string& task : ended) {
    if (closed_) {
      return;
    }
    // The worker no longer has the run and did not list its end: the run never
    // began, or its end was listed in a report that arrived earlier.
    EndRun(task, RunEnd::kLeaseExpired, /*reported_by_worker=*/false);
  }
}

// --- Ends that are inferred ---

void WorkerSession::MarkDead() {
  if (dead_) {
    return;
  }
  dead_ = true;
  dead_since_ = executor_.Now();
  log_.Write("warn", "worker",
             "worker has ended: another incarnation answers at its address",
             {{"worker", incarnation_.id}, {"runs", runs_.size()}});
}

void WorkerSession::MarkRestarted(const std::string& address,
                                  int64_t started_at) {
  if (dead_) {
    return;
  }
  dead_ = true;
  dead_since_ = executor_.Now();
  restarted_ = true;
  next_incarnation_.id = incarnation_.id;
  next_incarnation_.address = address;
  next_incarnation_.started_at = started_at;
  Json fields = LeaseFields();
  fields["started_again_ms"] = started_at;
  log_.Write("warn", "worker", "worker has started again under its id", fields);
}

bool WorkerSession::HandleOtherLife(std::error_code error) {
  if (error != make_error_code(RunErrc::kOtherLife)) {
    return false;
  }
  MarkRestarted(incarnation_.address, /*started_at=*/0);
  return true;
}

std::optional<Instant> WorkerSession::EndedSince() const {
  if (closed_) {
    return std::nullopt;
  }
  if (dead_) {
    return dead_since_;
  }
  const std::optional<Instant> expired_at = LeasesExpireAt();
  const bool has_expired = expired_at && *expired_at < executor_.Now();
  return has_expired && !runs_.empty() ? expired_at : std::nullopt;
}

// A successor that took over before the runs ended may have adopted them. Only
// a later proof of the lead shows that there was no such successor.
void WorkerSession::EndRunsIfWorkerLost() {
  const std::optional<Instant> ended_since = EndedSince();
  if (runs_.empty() || loss_reported_ || !ended_since ||
      *ended_since >= lead_confirmed_until_) {
    return;
  }
  Json fields = LeaseFields();
  fields["heard_ms_ago"] = MillisBetween(last_response_at_, executor_.Now());
  fields["over_ms_before_proof"] =
      MillisBetween(*ended_since, lead_confirmed_until_);
  log_.Write("warn", "worker",
             dead_ ? "all runs of a replaced worker incarnation have ended"
                   : "the run lease of an unresponsive worker has expired",
             fields);
  EndAllRuns();
}

void WorkerSession::EndAllRuns() {
  loss_reported_ = dead_;
  listener_.OnWorkerLost(*this);
  std::vector<std::string> tasks;
  for (const auto& [task, run] : runs_) {
    if (!IsUnsettled(run)) {
      tasks.push_back(task);
    }
  }
  for (const std::string& task : tasks) {
    if (closed_) {
      return;
    }
    const Run* run = FindRun(task);
    const bool never_sent = restarted_ && run != nullptr && run->start_deferred;
    EndRun(task, never_sent ? RunEnd::kStopped : RunEnd::kLeaseExpired,
           /*reported_by_worker=*/never_sent);
  }
}

// An order that was sent before the restart may have reached the next
// incarnation, or may still do so: the proof that this one has ended holds for
// the runs that it has listed only.
bool WorkerSession::IsUnsettled(const Run& run) const {
  return restarted_ && !run.listed && !run.start_deferred;
}

std::vector<Run> WorkerSession::TakeUnsettledRuns() {
  std::vector<std::string> tasks;
  for (const auto& [task, run] : runs_) {
    if (IsUnsettled(run)) {
      tasks.push_back(task);
    }
  }
  std::vector<Run> unsettled;
  for (const std::string& task : tasks) {
    unsettled.push_back(*RemoveRun(task));
  }
  return unsettled;
}

void WorkerSession::Tick() {
  if (closed_) {
    return;
  }
  EndRunsIfWorkerLost();
  if (dead_ || closed_) {
    return;
  }
  const Instant now = executor_.Now();
  if (!runs_.empty() && !responsive() && !unresponsive_logged_ && fenced_) {
    unresponsive_logged_ = true;
    log_.Write("warn", "worker", "worker does not respond",
               {{"worker", incarnation_.id}, {"runs", runs_.size()}});
  }
  for (auto& [task, run] : runs_) {
    const bool stop_pending =
        run.phase == RunPhase::kStopping || run.phase == RunPhase::kUnresolved;
    if (stop_pending && !run.stop_in_flight && run.stop_sent != Instant{} &&
        now - run.stop_sent > options_.stop_resend_delay) {
      SendStop(task, run.number);
    }
    SendPace(&run);
  }
}

}  // namespace doorwood
