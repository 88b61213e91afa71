// SPDX-License-Identifier: Apache-2.0

#include "doorwood/paced_workers.h"

#include <algorithm>
#include <utility>

namespace doorwood {
namespace {

// Request line, headers, the fixed fields of the body, and the TCP and IP
// headers of the packets of a call.
constexpr size_t kRequestOverhead = kStartOverheadBytes;
constexpr size_t kReplyOverhead = 240;
// Fields of a run in a report besides its task and checkpoint.
constexpr size_t kRunOverhead = 24;
constexpr double kReportWeight = 0.05;

size_t SizeOf(const StartOrder& order) {
  return kRequestOverhead + order.payload.size() + order.task.size() +
         order.checkpoint.size() + order.ticket.size();
}

size_t SizeOf(const WorkerReport& report) {
  size_t bytes = kReplyOverhead;
  for (const ActiveRun& run : report.active) {
    bytes += kRunOverhead + run.task.size() + run.checkpoint.size();
  }
  for (const EndedRun& run : report.ended) {
    bytes += kRunOverhead + run.task.size() + run.checkpoint.size();
  }
  return bytes;
}

}  // namespace

PacedWorkers::PacedWorkers(Executor& executor,
                           RunWorkerClient& workers,
                           LinkLoad& link,
                           const WorkerPacingOptions& options)
    : executor_(executor),
      workers_(workers),
      link_(link),
      options_(options),
      mean_report_bytes_(2 * kReplyOverhead) {}

PacedWorkers::~PacedWorkers() {
  if (timer_ != 0) {
    executor_.Cancel(timer_);
  }
}

void PacedWorkers::Poll(const WorkerIncarnation& worker,
                        const PollOrder& order,
                        Callback<WorkerReport> done) {
  const auto expected = static_cast<size_t>(mean_report_bytes_);
  auto on_report = [this, alive = std::weak_ptr<bool>(alive_), expected,
                    done = std::move(done)](std::error_code error,
                                            WorkerReport report) {
    if (!error && !alive.expired()) {
      OnReport(expected, report);
    }
    done(error, std::move(report));
  };
  WaitingCall call;
  call.request_bytes = kRequestOverhead;
  call.reply_bytes = expected;
  call.send = [this, worker, order, on_report = std::move(on_report)] {
    workers_.Poll(worker, order, on_report);
  };
  Enqueue(&polls_, std::move(call));
}

void PacedWorkers::Start(const WorkerIncarnation& worker,
                         const StartOrder& order,
                         Callback<int64_t> done) {
  WaitingCall call;
  call.request_bytes = SizeOf(order);
  call.reply_bytes = kReplyOverhead;
  call.send = [this, worker, order, done] {
    workers_.Start(worker, order, done);
  };
  call.give_up = [done] { done(RunErrc::kNotSent, 0); };
  Enqueue(&orders_, std::move(call));
}

void PacedWorkers::Stop(const WorkerIncarnation& worker,
                        const StopOrder& order,
                        Callback<int64_t> done) {
  WaitingCall call;
  call.request_bytes = kRequestOverhead;
  call.reply_bytes = kReplyOverhead;
  call.send = [this, worker, order, done = std::move(done)] {
    workers_.Stop(worker, order, done);
  };
  Enqueue(&orders_, std::move(call));
}

void PacedWorkers::Pace(const WorkerIncarnation& worker,
                        const PaceOrder& order,
                        Callback<int64_t> done) {
  WaitingCall call;
  call.request_bytes = kRequestOverhead;
  call.reply_bytes = kReplyOverhead;
  call.send = [this, worker, order, done = std::move(done)] {
    workers_.Pace(worker, order, done);
  };
  Enqueue(&orders_, std::move(call));
}

Millis PacedWorkers::OrderDelay() const {
  return link_.QueueTime(executor_.Now()) +
         link_.TransferTime(waiting_order_bytes_);
}

void PacedWorkers::Enqueue(std::deque<WaitingCall>* queue, WaitingCall call) {
  call.since = executor_.Now();
  if (queue == &orders_) {
    waiting_order_bytes_ += std::max(call.request_bytes, call.reply_bytes);
  }
  queue->push_back(std::move(call));
  if (timer_ == 0) {
    SendWaiting();
  }
}

void PacedWorkers::SendFirst(std::deque<WaitingCall>* queue) {
  const WaitingCall call = std::move(queue->front());
  queue->pop_front();
  if (queue == &orders_) {
    waiting_order_bytes_ -= std::max(call.request_bytes, call.reply_bytes);
  }
  const Instant now = executor_.Now();
  link_.AddOutgoing(call.request_bytes, now);
  link_.AddIncoming(call.reply_bytes, now);
  call.send();
}

void PacedWorkers::GiveUpLateStarts() {
  const Instant now = executor_.Now();
  while (!orders_.empty() && orders_.front().give_up &&
         now - orders_.front().since >= options_.max_start_wait) {
    const WaitingCall call = std::move(orders_.front());
    orders_.pop_front();
    waiting_order_bytes_ -= std::max(call.request_bytes, call.reply_bytes);
    ++starts_not_sent_;
    // Calls complete after they were made, also those that are not sent.
    executor_.Post(call.give_up);
  }
}

void PacedWorkers::SendWaiting() {
  GiveUpLateStarts();
  while (waiting() > 0 &&
         link_.QueueTime(executor_.Now()) <= options_.max_queue_time) {
    const bool takes_poll =
        orders_.empty() || (!polls_.empty() && !poll_was_sent_last_);
    poll_was_sent_last_ = takes_poll;
    SendFirst(takes_poll ? &polls_ : &orders_);
    GiveUpLateStarts();
  }
  if (waiting() == 0) {
    return;
  }
  const Millis pause =
      link_.QueueTime(executor_.Now()) - options_.max_queue_time;
  timer_ = executor_.Schedule(std::max(pause, Millis(1)), [this] {
    timer_ = 0;
    SendWaiting();
  });
}

void PacedWorkers::OnReport(size_t expected_bytes, const WorkerReport& report) {
  const size_t bytes = SizeOf(report);
  if (bytes > expected_bytes) {
    link_.AddIncoming(bytes - expected_bytes, executor_.Now());
  }
  mean_report_bytes_ +=
      kReportWeight * (static_cast<double>(bytes) - mean_report_bytes_);
}

}  // namespace doorwood
