// SPDX-License-Identifier: Apache-2.0

// The runs of a session; the start, stop and pace orders to its worker; and how
// the answers to these orders, or missing answers, are handled.

#include <algorithm>
#include <utility>

#include "doorwood/worker_session.h"

namespace doorwood {

void WorkerSession::AdjustReservations(const Run& run, int sign) {
  ++version_;
  ++tasks_version_;
  reserved_.memory_mib += sign * run.size.memory_mib;
  reserved_.accelerators += sign * run.size.accelerators;
  if (run.best_effort) {
    best_effort_cpu_ += sign * run.size.cpu_millis;
    best_effort_runs_ += sign;
  } else {
    reserved_.cpu_millis += sign * run.size.cpu_millis;
  }
  if (run.latency_target > Millis(0)) {
    serving_runs_ += sign;
    serving_cpu_ += sign * run.size.cpu_millis;
  }
}

void WorkerSession::Insert(Run run) {
  const std::string task = run.task;
  AdjustReservations(run, 1);
  runs_.emplace(task, std::move(run));
}

std::optional<Run> WorkerSession::RemoveRun(const std::string& task) {
  const auto found = runs_.find(task);
  if (found == runs_.end()) {
    return std::nullopt;
  }
  Run run = std::move(found->second);
  runs_.erase(found);
  deferred_starts_.erase(task);
  AdjustReservations(run, -1);
  return run;
}

void WorkerSession::EndRun(const std::string& task,
                           RunEnd end,
                           bool reported_by_worker) {
  const auto run = RemoveRun(task);
  if (run) {
    listener_.OnRunEnded(*this, *run, end, reported_by_worker);
  }
}

void WorkerSession::Start(Run run, std::string payload, std::string ticket) {
  const Instant now = executor_.Now();
  if (runs_.empty()) {
    // A worker without runs is not polled regularly, so an old last response
    // does not mean that it is unresponsive.
    last_response_at_ = now;
  }
  run.ordered = now;
  const std::string task = run.task;
  const bool deferred = run.start_deferred;
  Insert(std::move(run));
  StartArguments arguments{std::move(payload), std::move(ticket)};
  if (deferred) {
    // The lease is recorded as granted now, as if the order had been sent.
    RecordLeaseGrant(now, "deferred start");
    deferred_starts_.emplace(task, std::move(arguments));
  } else {
    SendStart(FindRun(task), std::move(arguments));
  }
  if (!poll_in_flight_ && poll_timer_ == 0) {
    SchedulePoll(Millis(20));
  }
}

void WorkerSession::SendDeferredStart(const std::string& task) {
  const auto arguments = deferred_starts_.extract(task);
  Run* run = FindRun(task);
  if (arguments.empty() || run == nullptr || closed_ || dead_) {
    return;
  }
  run->start_deferred = false;
  run->ordered = executor_.Now();
  SendStart(run, std::move(arguments.mapped()));
}

void WorkerSession::SendStart(Run* run, StartArguments arguments) {
  StartOrder order;
  order.token = token_;
  order.task = run->task;
  order.run = run->number;
  order.payload = std::move(arguments.payload);
  order.checkpoint = run->checkpoint;
  order.lease_end = RecordLeaseGrant(executor_.Now(), "start");
  order.ticket = std::move(arguments.ticket);
  order.life = life();
  workers_.Start(
      incarnation_, order,
      [self = shared_from_this(), task = order.task, number = order.run,
       clock_at_send = worker_clock_,
       address = incarnation_.address](std::error_code error, int64_t clock) {
        if (!self->closed_ && !self->dead_) {
          self->OnStartAnswer(task, number,
                              self->ClassifyResponse(address, error), clock,
                              clock_at_send);
        }
      });
}

void WorkerSession::OnStartAnswer(const std::string& task,
                                  uint32_t number,
                                  std::error_code error,
                                  int64_t clock,
                                  int64_t clock_at_send) {
  if (error == make_error_code(RunErrc::kOtherIncarnation)) {
    MarkDead();
    return;
  }
  const bool is_answer = error != make_error_code(RunErrc::kNoAnswer) &&
                         error != make_error_code(RunErrc::kNotSent) &&
                         error != make_error_code(RunErrc::kUnreachable) &&
                         error != make_error_code(RunErrc::kOtherLife);
  if (is_answer) {
    if (ShowsRestart(clock, clock_at_send)) {
      return;
    }
    NoteResponse(clock);
  }
  Run* run = FindRun(task);
  if (run == nullptr || run->number != number) {
    return;
  }
  if (!error) {
    run->confirmed = executor_.Now();
    if (run->phase == RunPhase::kStarting) {
      run->phase = RunPhase::kRunning;
      listener_.OnRunBegan(*this, *run);
    }
    return;
  }
  if (error == make_error_code(RunErrc::kNoAnswer)) {
    if (run->phase == RunPhase::kStarting) {
      run->phase = RunPhase::kUnresolved;
      log_.Write(
          "warn", "worker", "start order got no usable answer",
          {{"worker", incarnation_.id}, {"task", task}, {"run", number}});
      Poll(Millis(0));
    }
    return;
  }
  if (error == make_error_code(RunErrc::kStaleRun)) {
    // A later report lists the run's end, or proves that the run is not active
    // and cannot begin any more.
    run->phase = RunPhase::kUnresolved;
    run->refused_as_stale = true;
    run->stop_confirmed = true;
    run->stop_confirmed_at = executor_.Now();
    Poll(Millis(0));
    return;
  }
  // The worker refused the order, or it was not sent, so the run did not begin.
  // Remove it before notifying the leader.
  const Run refused = *RemoveRun(task);
  listener_.OnStartRefused(*this, refused, error);
  if (HandleOtherLife(error)) {
    return;
  }
  if (error == make_error_code(RunErrc::kFenced) && !closed_ &&
      !higher_token_reported_) {
    higher_token_reported_ = true;
    listener_.OnHigherTokenSeen(*this);
  }
}

void WorkerSession::Stop(const std::string& task) {
  Run* run = FindRun(task);
  if (run == nullptr || run->phase == RunPhase::kStopping) {
    return;
  }
  if (run->start_deferred) {
    EndRun(task, RunEnd::kStopped, /*reported_by_worker=*/true);
    return;
  }
  run->phase = RunPhase::kStopping;
  SendStop(task, run->number);
}

void WorkerSession::SendStop(const std::string& task, uint32_t number) {
  Run* run = FindRun(task);
  if (run != nullptr && run->number == number) {
    run->stop_in_flight = true;
    run->stop_sent = executor_.Now();
  }
  const StopOrder order{token_, task, number, life()};
  workers_.Stop(
      incarnation_, order,
      [self = shared_from_this(), task, number, clock_at_send = worker_clock_,
       address = incarnation_.address](std::error_code error, int64_t clock) {
        if (self->closed_ || self->dead_) {
          return;
        }
        error = self->ClassifyResponse(address, error);
        if (error == make_error_code(RunErrc::kOtherIncarnation)) {
          self->MarkDead();
          return;
        }
        Run* stopped = self->FindRun(task);
        const bool known = stopped != nullptr && stopped->number == number;
        if (known) {
          stopped->stop_in_flight = false;
        }
        if (self->HandleOtherLife(error) || error ||
            self->ShowsRestart(clock, clock_at_send)) {
          return;
        }
        self->NoteResponse(clock);
        if (!known) {
          return;
        }
        // The time of the first confirmation is kept: stops are sent again
        // about as often as polls, so that with the time of the latest one
        // hardly any poll would count as sent after it.
        if (!std::exchange(stopped->stop_confirmed, true)) {
          stopped->stop_confirmed_at = self->executor_.Now();
        }
        if (stopped->phase == RunPhase::kUnresolved) {
          self->Poll(Millis(0));
        }
      });
}

void WorkerSession::SetPace(const std::string& task, int percent) {
  Run* run = FindRun(task);
  if (run == nullptr || run->wanted_pace == percent) {
    return;
  }
  constexpr int kFullPace = 100;
  if (percent >= kFullPace) {
    run->throttled_since = Instant{};
  } else {
    run->atypical_duration = true;
    if (run->throttled_since == Instant{}) {
      run->throttled_since = executor_.Now();
    }
  }
  run->wanted_pace = percent;
  SendPace(run);
}

void WorkerSession::SendPace(Run* run) {
  if (run->pace_in_flight || run->wanted_pace == run->pace ||
      run->phase != RunPhase::kRunning) {
    return;
  }
  run->pace_in_flight = true;
  const PaceOrder order{token_, run->task, run->number, run->wanted_pace,
                        life()};
  workers_.Pace(
      incarnation_, order,
      [self = shared_from_this(), order, clock_at_send = worker_clock_](
          std::error_code error, int64_t clock) {
        if (self->closed_ || self->dead_) {
          return;
        }
        Run* paced = self->FindRun(order.task);
        if (paced == nullptr || paced->number != order.run) {
          return;
        }
        paced->pace_in_flight = false;
        if (self->HandleOtherLife(error) || error) {
          return;  // Tick sends it again.
        }
        if (self->ShowsRestart(clock, clock_at_send)) {
          return;
        }
        self->NoteResponse(clock);
        paced->pace = order.percent;
        self->SendPace(paced);
      });
}

}  // namespace doorwood
