// SPDX-License-Identifier: Apache-2.0

#include "standin/worker_model.h"

#include <sstream>

#include "doorwood/error.h"

namespace doorwood::standin {
namespace {

constexpr int64_t kDefaultRunMillis = 200;
constexpr const char* kCheckpointPrefix = "done-ms-";

int64_t ProgressOf(const std::string& checkpoint) {
  const std::string prefix = kCheckpointPrefix;
  return checkpoint.starts_with(prefix)
             ? std::stoll(checkpoint.substr(prefix.size()))
             : 0;
}

}  // namespace

WorkerModel::WorkerModel(std::string name,
                         const Resources& capacity,
                         bool fences,
                         OnEvent on_event)
    : name_(std::move(name)),
      capacity_(capacity),
      fences_(fences),
      on_event_(std::move(on_event)) {}

std::error_code WorkerModel::Acquire(const std::string& holder,
                                     int64_t control_lease_ms,
                                     int64_t task_lease_ms,
                                     int64_t now,
                                     WorkerInventory* out) {
  Tick(now);
  const bool held = now < control_lease_expiry_ && holder != holder_;
  if (held) {
    return WorkerErrc::kHeldByOther;
  }
  holder_ = holder;
  ++epoch_;
  control_lease_ = control_lease_ms;
  task_lease_ = task_lease_ms;
  control_lease_expiry_ = now + control_lease_;
  on_event_({.kind = WorkerEventKind::kAcquired,
             .worker = name_,
             .holder = holder,
             .epoch = epoch_});
  *out = {epoch_, boot_, capacity_, fences_, {}};
  for (const auto& [key, run] : runs_) {
    out->tasks.push_back(run.task);
  }
  return {};
}

std::error_code WorkerModel::ApplyOrders(uint64_t epoch,
                                         const std::vector<WorkerOrder>& orders,
                                         int64_t now,
                                         WorkerAnswer* out) {
  Tick(now);
  const bool stale = epoch != epoch_ || now >= control_lease_expiry_;
  if (fences_ && stale) {
    return WorkerErrc::kStaleEpoch;
  }
  out->boot_id = boot_;
  control_lease_expiry_ = now + control_lease_;
  task_lease_expiry_ = now + task_lease_;
  for (const WorkerOrder& order : orders) {
    const auto run = runs_.find({order.shard, order.attempt});
    if (order.kind == OrderKind::kStart) {
      out->results.push_back(Start(order, now));
    } else if (order.kind == OrderKind::kStop && run != runs_.end()) {
      Stop(run->second, order.take_checkpoint, now);
    } else if (order.kind == OrderKind::kForget && run != runs_.end()) {
      runs_.erase(run);
    }
  }
  for (const auto& [key, run] : runs_) {
    if (run.task.state == RunState::kEnded) {
      out->ended.push_back(run.task);
    }
  }
  return {};
}

std::error_code WorkerModel::Release(uint64_t epoch) {
  if (epoch != epoch_) {
    return WorkerErrc::kStaleEpoch;
  }
  control_lease_expiry_ = 0;
  on_event_({.kind = WorkerEventKind::kReleased, .worker = name_});
  return {};
}

void WorkerModel::Tick(int64_t now) {
  const bool lease_expired = task_lease_ > 0 && now >= task_lease_expiry_;
  for (auto& [key, run] : runs_) {
    if (lease_expired) {
      End(run, AttemptEnd::kLost);
    } else if (ProgressAt(run, now) >= run.run_ms) {
      End(run, run.fail ? AttemptEnd::kFailed : AttemptEnd::kSucceeded);
    }
  }
}

void WorkerModel::Restart(int64_t now) {
  Tick(now);
  for (auto& [key, run] : runs_) {
    End(run, AttemptEnd::kLost);
  }
  runs_.clear();
  ++boot_;
  control_lease_expiry_ = 0;
  // The epoch survives a restart: the platform stores it with the worker's
  // identity.
}

OrderResult WorkerModel::Start(const WorkerOrder& order, int64_t now) {
  OrderResult result{.attempt = order.attempt};
  const AttemptKey key{order.shard, order.attempt};
  if (runs_.contains(key)) {
    return result;
  }
  if (refuse_starts_) {
    result.accepted = false;
    result.reason = "refused";
    return result;
  }
  Run run;
  run.task = {.shard = order.shard,
              .attempt = order.attempt,
              .task = order.task,
              .spec = order.spec};
  run.run_ms = kDefaultRunMillis;
  std::stringstream words(order.spec.payload);
  for (std::string word; words >> word;) {
    if (word.starts_with("run-ms=")) {
      run.run_ms = std::stoll(word.substr(word.find('=') + 1));
    }
    run.fail = run.fail || word == "fail";
  }
  run.started = now;
  run.progress = ProgressOf(order.checkpoint);
  used_ = used_ + order.spec.size;
  on_event_({.kind = WorkerEventKind::kStart,
             .worker = name_,
             .task = order.task,
             .attempt = order.attempt,
             .resumed_ms = run.progress,
             .overcommitted = !Fits(used_, capacity_)});
  Run& stored = runs_.emplace(key, std::move(run)).first->second;
  if (fail_starts_) {
    End(stored, AttemptEnd::kFailed);
  }
  return result;
}

void WorkerModel::Stop(Run& run, bool take_checkpoint, int64_t now) {
  if (run.task.state == RunState::kEnded) {
    return;
  }
  if (take_checkpoint) {
    run.task.checkpoint =
        kCheckpointPrefix + std::to_string(ProgressAt(run, now));
  }
  End(run, AttemptEnd::kStopped);
}

void WorkerModel::End(Run& run, AttemptEnd end) {
  if (run.task.state == RunState::kEnded) {
    return;
  }
  run.task.state = RunState::kEnded;
  run.task.end = end;
  used_ = used_ - run.task.spec.size;
  on_event_({.kind = WorkerEventKind::kEnd,
             .worker = name_,
             .task = run.task.task,
             .attempt = run.task.attempt,
             .end = end,
             .checkpoint = run.task.checkpoint});
}

int64_t WorkerModel::ProgressAt(const Run& run, int64_t now) {
  return run.progress + now - run.started;
}

}  // namespace doorwood::standin
