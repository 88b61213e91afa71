// SPDX-License-Identifier: Apache-2.0

#include "standin/run_worker_model.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace doorwood::standin {
namespace {

constexpr int kFullProgress = 100;
// Most ended runs that one report lists; the platform has the same limit.
constexpr size_t kMaxEndsListed = 500;

int64_t NumberAfter(const std::string& text, std::string_view word) {
  const size_t at = text.find(word);
  int64_t number = 0;
  if (at != std::string::npos) {
    const char* begin = text.data() + at + word.size();
    std::from_chars(begin, text.data() + text.size(), number);
  }
  return number;
}

}  // namespace

std::optional<Millis> CrashDelay(const StartOrder& order) {
  constexpr std::string_view kWord = "crashes=";
  constexpr Millis kDefaultDelay{10};
  const size_t at = order.payload.find(kWord);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const size_t begin = at + kWord.size();
  const size_t end =
      std::min(order.payload.find(' ', begin), order.payload.size());
  if (!order.task.ends_with(order.payload.substr(begin, end - begin))) {
    return std::nullopt;
  }
  const Millis after(NumberAfter(order.payload, "crashes_after="));
  return after > Millis(0) ? after : kDefaultDelay;
}

std::vector<std::string> RunWorkerModel::running_tasks() const {
  std::vector<std::string> tasks;
  for (const auto& [task, active] : runs_) {
    tasks.push_back(task);
  }
  return tasks;
}

void RunWorkerModel::Advance(int64_t now) {
  now_ = now;
  std::vector<std::pair<std::string, RunEnd>> ended_tasks;
  for (const auto& [task, active] : runs_) {
    const bool finished =
        active.duration > 0 && now_ >= active.started + active.duration;
    const bool stopped = active.stops_at > 0 && now_ >= active.stops_at;
    if (finished) {
      ended_tasks.emplace_back(task,
                               active.fails ? RunEnd::kFailed : RunEnd::kDone);
    } else if (stopped) {
      ended_tasks.emplace_back(task, RunEnd::kStopped);
    } else if (now_ >= lease_until_) {
      ended_tasks.emplace_back(task, RunEnd::kLeaseExpired);
    }
  }
  for (const auto& [task, end] : ended_tasks) {
    End(task, end);
  }
  if (now_ >= lease_until_) {
    last_end_at_lease_expiry_ = last_end_;
    RecordFailuresAtLeaseExpiry();
  }
}

void RunWorkerModel::RecordFailuresAtLeaseExpiry() {
  for (const EndedRun& end : ended_) {
    if (end.end == RunEnd::kFailed) {
      failures_at_lease_expiry_[end.task].insert(end.run);
    }
  }
}

int RunWorkerModel::failures_at_lease_expiry(const std::string& task) const {
  const auto found = failures_at_lease_expiry_.find(task);
  return found == failures_at_lease_expiry_.end()
             ? 0
             : static_cast<int>(found->second.size());
}

void RunWorkerModel::End(const std::string& task, RunEnd end) {
  const auto found = runs_.find(task);
  const uint32_t run = found->second.run;
  highest_ended_run_[task] = std::max(highest_ended_run_[task], run);
  ended_.push_back({++last_end_, task, run, end, ""});
  runs_.erase(found);
  if (observer_ != nullptr) {
    observer_->OnEnded(ended_.back());
  }
}

bool RunWorkerModel::IsFenced(uint64_t token) {
  if (token < token_) {
    return true;
  }
  token_ = token;
  return false;
}

void RunWorkerModel::ExtendLease(int64_t until) {
  lease_until_ = std::max(lease_until_, until);
}

void RunWorkerModel::DropAcknowledgedEnds(uint64_t last_seen) {
  std::erase_if(ended_, [&](const EndedRun& end) {
    const bool acknowledged = end.number <= last_seen;
    if (acknowledged && observer_ != nullptr) {
      observer_->OnEndAcknowledged(end);
    }
    return acknowledged;
  });
}

std::error_code RunWorkerModel::Poll(const PollOrder& order,
                                     WorkerReport* report) {
  if (IsFenced(order.token)) {
    return RunErrc::kFenced;
  }
  ExtendLease(order.lease_end);
  DropAcknowledgedEnds(order.forget_up_to);
  report->clock = now_;
  const size_t listed = std::min(ended_.size(), kMaxEndsListed);
  report->ended.assign(ended_.begin(),
                       ended_.begin() + static_cast<std::ptrdiff_t>(listed));
  report->has_more_ends = listed == kMaxEndsListed;
  for (const auto& [task, active] : runs_) {
    ActiveRun row;
    row.task = task;
    row.run = active.run;
    row.progress = active.duration == 0
                       ? kFullProgress
                       : static_cast<int>((now_ - active.started) *
                                          kFullProgress / active.duration);
    report->active.push_back(row);
  }
  return {};
}

std::error_code RunWorkerModel::Start(const StartOrder& order) {
  if (IsFenced(order.token)) {
    return RunErrc::kFenced;
  }
  ExtendLease(order.lease_end);
  const auto running = runs_.find(order.task);
  if (running != runs_.end() && running->second.run == order.run) {
    return {};
  }
  if (highest_ended_run_[order.task] >= order.run || running != runs_.end()) {
    return RunErrc::kStaleRun;
  }
  if (order.lease_end <= now_) {
    return RunErrc::kLeaseExpired;
  }
  Active active;
  active.run = order.run;
  active.started = now_;
  active.duration = NumberAfter(order.payload, "ms=") * slowdown_;
  active.fails = failing_ || order.run <= NumberAfter(order.payload, "fails=");
  runs_[order.task] = active;
  if (observer_ != nullptr) {
    observer_->OnStarted(order);
  }
  return {};
}

std::error_code RunWorkerModel::Stop(const StopOrder& order) {
  if (IsFenced(order.token)) {
    return RunErrc::kFenced;
  }
  const auto running = runs_.find(order.task);
  if (running != runs_.end() && running->second.run <= order.run) {
    if (running->second.stops_at == 0) {
      running->second.stops_at = now_ + stop_duration_ms_;
    }
    Advance(now_);
  }
  highest_ended_run_[order.task] =
      std::max(highest_ended_run_[order.task], order.run);
  return {};
}

std::error_code RunWorkerModel::Pace(const PaceOrder& order) {
  return IsFenced(order.token) ? make_error_code(RunErrc::kFenced)
                               : std::error_code();
}

}  // namespace doorwood::standin
