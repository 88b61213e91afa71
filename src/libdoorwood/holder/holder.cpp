// SPDX-License-Identifier: Apache-2.0

#include "doorwood/holder.h"

#include <algorithm>

#include "doorwood/error.h"

namespace doorwood {
namespace {

// Maximum number of orders in a batch, which bounds the size of a call.
constexpr size_t kMaxOrdersPerBatch = 64;

}  // namespace

// --- Construction and the set of workers to hold ---

WorkerHolder::WorkerHolder(const HolderOptions& options,
                           Executor& executor,
                           WorkerControl& control,
                           PlacementPolicy& policy,
                           HolderListener& listener)
    : options_(options),
      executor_(executor),
      control_(control),
      policy_(policy),
      listener_(listener),
      started_(executor.Now()) {}

WorkerHolder::~WorkerHolder() {
  *alive_ = false;
  for (const auto& [name, held] : held_) {
    executor_.Cancel(held->timer);
  }
}

void WorkerHolder::SetAssignedWorkers(std::span<const InstanceInfo> workers) {
  std::set<std::string> wanted_ids;
  for (const InstanceInfo& info : workers) {
    wanted_ids.insert(info.id);
    const auto known = held_.find(info.id);
    if (known == held_.end()) {
      StartHolding(info);
      continue;
    }
    const std::shared_ptr<HeldWorker>& held = known->second;
    const bool newly_leaving = info.leaving && !held->info.leaving;
    held->info = info;
    if (held->state == HoldState::kReleasing) {
      held->state = HoldState::kHeld;
      listener_.OnHeldWorkersChanged();
    }
    if (newly_leaving) {
      EvictRepeatableAttempts(held);
    }
  }
  std::vector<std::shared_ptr<HeldWorker>> unwanted;
  for (const auto& [name, held] : held_) {
    if (!wanted_ids.contains(name)) {
      unwanted.push_back(held);
    }
  }
  for (const auto& held : unwanted) {
    ReleaseWorker(held);
  }
}

void WorkerHolder::SetDrainedWorkers(std::set<std::string> workers) {
  for (const auto& [name, held] : held_) {
    const bool newly_drained =
        workers.contains(name) && !drained_.contains(name);
    if (newly_drained) {
      EvictRepeatableAttempts(held);
    }
  }
  drained_ = std::move(workers);
}

void WorkerHolder::StartHolding(const InstanceInfo& info) {
  auto held = std::make_shared<HeldWorker>();
  held->info = info;
  held_[info.id] = held;
  Acquire(held);
}

// --- Acquiring ---

void WorkerHolder::Acquire(const std::shared_ptr<HeldWorker>& held) {
  if (held->call_in_flight || !IsCurrent(held)) {
    return;
  }
  held->call_in_flight = true;
  const Instant sent = executor_.Now();
  control_.Acquire(
      held->info, [this, alive = alive_, held, sent](
                      std::error_code error, const WorkerInventory& inventory) {
        if (*alive) {
          OnAcquired(held, sent, error, inventory);
        }
      });
}

void WorkerHolder::OnAcquired(const std::shared_ptr<HeldWorker>& held,
                              Instant sent,
                              std::error_code error,
                              const WorkerInventory& inventory) {
  held->call_in_flight = false;
  if (!IsCurrent(held)) {
    return;
  }
  if (error) {
    if (held->state == HoldState::kReleasing) {
      StopHolding(held);
      return;
    }
    SetTimer(held, options_.acquire_retry, &WorkerHolder::Acquire);
    return;
  }
  const bool must_wait = !inventory.rejects_stale_epochs &&
                         held->state != HoldState::kAwaitingExpiry;
  held->epoch = inventory.epoch;
  held->boot_id = inventory.boot_id;
  held->lease_start = sent;
  if (must_wait) {
    // The worker would execute a delayed order of the previous holder, so this
    // instance waits until the lease has expired by that holder's clock and
    // then acquires the worker again.
    held->state = HoldState::kAwaitingExpiry;
    SetTimer(held, options_.control_lease + options_.drift,
             &WorkerHolder::Acquire);
    return;
  }
  ApplyInventory(*held, inventory);
  if (held->state != HoldState::kReleasing) {
    held->state = HoldState::kHeld;
  }
  held->acquired_once = true;
  ReportEndedAttempts(*held);
  if (held->info.leaving || drained_.contains(held->info.id)) {
    EvictRepeatableAttempts(held);
  }
  listener_.OnHeldWorkersChanged();
  // An acquisition does not extend the task leases of running tasks; only a
  // renewal does.
  RenewAndSendOrders(held);
}

// Drops all pending orders. Stops that were ordered before are forgotten and
// are ordered again where still needed: OnAcquired repeats the evictions from a
// leaving or drained worker, the owner of an attempt repeats its stop after its
// next census, and a service that still needs capacity causes new evictions.
void WorkerHolder::ApplyInventory(HeldWorker& held,
                                  const WorkerInventory& inventory) {
  const std::map<AttemptKey, Attempt> before = std::move(held.attempts);
  held.attempts.clear();
  held.pending_orders.clear();
  held.ledger.Clear();
  held.ledger.set_capacity(inventory.capacity);
  for (const WorkerTask& task : inventory.tasks) {
    const AttemptKey key{task.shard, task.attempt};
    Attempt attempt{.shard = task.shard,
                    .id = task.attempt,
                    .task = task.task,
                    .spec = task.spec,
                    .state = task.state,
                    .end = task.end,
                    .checkpoint = task.checkpoint,
                    .start_sent = true};
    if (task.state == RunState::kRunning) {
      held.ledger.Adopt(key, task.spec.size);
    }
    worker_of_[key] = held.info.id;
    held.attempts.emplace(key, std::move(attempt));
  }
  for (const auto& [key, old] : before) {
    if (held.attempts.contains(key)) {
      continue;
    }
    // The worker does not have the attempt. It refuses orders of older epochs,
    // or this instance has waited until the previous lease expired; so the
    // attempt can no longer start.
    Attempt ended = old;
    if (old.state == RunState::kRunning) {
      const bool never_started = !old.start_sent;
      ended.end = never_started ? AttemptEnd::kNotStarted : AttemptEnd::kLost;
    }
    ended.state = RunState::kEnded;
    held.attempts.emplace(key, std::move(ended));
  }
  RebuildResidents(held);
}

// --- Renewals and orders ---

void WorkerHolder::RenewAndSendOrders(const std::shared_ptr<HeldWorker>& held) {
  if (held->call_in_flight || !IsCurrent(held)) {
    return;
  }
  if (!HasValidLease(*held)) {
    // The lease may have expired, for example while this process was paused,
    // and another instance may hold the worker. No orders may be sent.
    OnLeaseLost(held);
    return;
  }
  executor_.Cancel(held->timer);
  held->call_in_flight = true;
  const auto count = static_cast<std::ptrdiff_t>(
      std::min(held->pending_orders.size(), kMaxOrdersPerBatch));
  std::vector<WorkerOrder> orders(held->pending_orders.begin(),
                                  held->pending_orders.begin() + count);
  for (const WorkerOrder& order : orders) {
    const auto attempt = held->attempts.find({order.shard, order.attempt});
    if (attempt != held->attempts.end()) {
      attempt->second.start_sent = true;
    }
  }
  const Instant sent = executor_.Now();
  held->last_renewal_sent = sent;
  control_.Send(held->info, held->epoch, std::move(orders),
                [this, alive = alive_, held, sent, count](
                    std::error_code error, const WorkerAnswer& answer) {
                  if (*alive) {
                    OnAnswer(held, sent, count, error, answer);
                  }
                });
}

void WorkerHolder::OnAnswer(const std::shared_ptr<HeldWorker>& held,
                            Instant sent,
                            std::ptrdiff_t order_count,
                            std::error_code error,
                            const WorkerAnswer& answer) {
  held->call_in_flight = false;
  if (!IsCurrent(held)) {
    return;
  }
  if (error) {
    OnRenewalFailed(held, error);
    return;
  }
  if (answer.boot_id != held->boot_id) {
    // The worker has restarted since its inventory was taken.
    OnLeaseLost(held);
    return;
  }
  held->lease_start = sent;
  held->pending_orders.erase(held->pending_orders.begin(),
                             held->pending_orders.begin() + order_count);
  ApplyAnswer(*held, answer);
  if (!held->pending_orders.empty()) {
    RenewAndSendOrders(held);
    return;
  }
  if (held->state == HoldState::kReleasing) {
    ReleaseWorker(held);
    return;
  }
  SetTimer(held, options_.renew_interval, &WorkerHolder::RenewAndSendOrders);
}

void WorkerHolder::OnRenewalFailed(const std::shared_ptr<HeldWorker>& held,
                                   std::error_code error) {
  const bool stale = error == make_error_code(WorkerErrc::kStaleEpoch);
  if (stale || !HasValidLease(*held)) {
    OnLeaseLost(held);
    return;
  }
  // The orders stay pending and their reservations stay in the ledger, because
  // the worker may have received them.
  SetTimer(held, options_.acquire_retry, &WorkerHolder::RenewAndSendOrders);
}

void WorkerHolder::ApplyAnswer(HeldWorker& held, const WorkerAnswer& answer) {
  for (const OrderResult& result : answer.results) {
    if (result.accepted) {
      continue;
    }
    for (auto& [key, attempt] : held.attempts) {
      const bool refused =
          attempt.id == result.attempt && attempt.state == RunState::kRunning;
      if (refused) {
        MarkEnded(held, attempt, AttemptEnd::kNotStarted, "");
      }
    }
  }
  for (const WorkerTask& task : answer.ended) {
    const auto known = held.attempts.find({task.shard, task.attempt});
    if (known == held.attempts.end()) {
      continue;
    }
    if (known->second.state == RunState::kRunning) {
      MarkEnded(held, known->second, task.end, task.checkpoint);
    }
  }
  ReportEndedAttempts(held);
  RebuildResidents(held);
}

// --- Releasing and losing workers ---

void WorkerHolder::ReleaseWorker(const std::shared_ptr<HeldWorker>& held) {
  if (held->state == HoldState::kAcquiring ||
      held->state == HoldState::kAwaitingExpiry) {
    StopHolding(held);
    return;
  }
  if (held->state == HoldState::kHeld) {
    held->state = HoldState::kReleasing;
    listener_.OnHeldWorkersChanged();
  }
  if (held->call_in_flight) {
    return;
  }
  if (!held->pending_orders.empty() && HasValidLease(*held)) {
    RenewAndSendOrders(held);
    return;
  }
  control_.Release(held->info, held->epoch, [](std::error_code, bool) {});
  StopHolding(held);
}

void WorkerHolder::StopHolding(const std::shared_ptr<HeldWorker>& held) {
  executor_.Cancel(held->timer);
  last_renewal_sent_[held->info.id] = held->last_renewal_sent;
  for (const auto& [key, attempt] : held->attempts) {
    worker_of_.erase(key);
  }
  held_.erase(held->info.id);
  listener_.OnHeldWorkersChanged();
}

void WorkerHolder::OnLeaseLost(const std::shared_ptr<HeldWorker>& held) {
  if (held->state == HoldState::kReleasing) {
    StopHolding(held);
    return;
  }
  held->state = HoldState::kAcquiring;
  // Attempts are kept until a new inventory shows their state.
  listener_.OnHeldWorkersChanged();
  Acquire(held);
}

void WorkerHolder::EvictRepeatableAttempts(
    const std::shared_ptr<HeldWorker>& held) {
  for (auto& [key, attempt] : held->attempts) {
    // An attempt that is not repeatable runs until it ends or the worker shuts
    // down.
    if (attempt.state == RunState::kRunning && attempt.spec.repeatable) {
      QueueStopOrder(*held, attempt, /*take_checkpoint=*/true);
    }
  }
  if (held->state == HoldState::kHeld) {
    RenewAndSendOrders(held);
  }
}

// --- Held workers and their attempts ---

bool WorkerHolder::IsHeld(const std::string& worker) const {
  const auto held = held_.find(worker);
  return held != held_.end() && held->second->state == HoldState::kHeld &&
         HasValidLease(*held->second);
}

std::vector<HeldWorkerStatus> WorkerHolder::DescribeHeldWorkers() const {
  constexpr const char* kStates[] = {"acquiring", "waiting-out", "held",
                                     "releasing"};
  std::vector<HeldWorkerStatus> rows;
  for (const auto& [name, held] : held_) {
    rows.push_back({.worker = name,
                    .state = kStates[static_cast<size_t>(held->state)],
                    .epoch = held->epoch,
                    .capacity = held->ledger.capacity(),
                    .free = held->ledger.free(),
                    .attempts = held->residents.size(),
                    .drained = drained_.contains(name)});
  }
  return rows;
}

Resources WorkerHolder::free() const {
  Resources sum;
  for (const auto& [name, held] : held_) {
    if (held->state == HoldState::kHeld) {
      sum = sum + held->ledger.free();
    }
  }
  return sum;
}

Resources WorkerHolder::largest_free() const {
  Resources largest;
  for (const auto& [name, held] : held_) {
    if (held->state != HoldState::kHeld) {
      continue;
    }
    const Resources worker_free = held->ledger.free();
    largest.cpu_millis = std::max(largest.cpu_millis, worker_free.cpu_millis);
    largest.memory_mib = std::max(largest.memory_mib, worker_free.memory_mib);
    largest.accelerators =
        std::max(largest.accelerators, worker_free.accelerators);
  }
  return largest;
}

size_t WorkerHolder::held_worker_count() const {
  return std::count_if(held_.begin(), held_.end(), [](const auto& item) {
    return item.second->state == HoldState::kHeld;
  });
}

bool WorkerHolder::HasValidLease(const HeldWorker& held) const {
  const Instant end =
      held.lease_start + options_.control_lease - options_.drift;
  return held.acquired_once && executor_.Now() < end;
}

bool WorkerHolder::AcceptsNewAttempt(const HeldWorker& held,
                                     const TaskSpec& spec) const {
  const bool reserved = spec.work_class == WorkClass::kBatch &&
                        executor_.Now() < held.reserved_until;
  return held.state == HoldState::kHeld && HasValidLease(held) &&
         !held.info.leaving && !reserved && !drained_.contains(held.info.id);
}

bool WorkerHolder::IsCurrent(const std::shared_ptr<HeldWorker>& held) const {
  const auto known = held_.find(held->info.id);
  return known != held_.end() && known->second == held;
}

void WorkerHolder::SetTimer(
    const std::shared_ptr<HeldWorker>& held,
    Millis delay,
    void (WorkerHolder::*step)(const std::shared_ptr<HeldWorker>&)) {
  executor_.Cancel(held->timer);
  held->timer = executor_.Schedule(delay, [this, alive = alive_, held, step]() {
    if (*alive) {
      (this->*step)(held);
    }
  });
}

std::shared_ptr<WorkerHolder::HeldWorker> WorkerHolder::FindWorkerOfAttempt(
    const AttemptKey& key) const {
  const auto place = worker_of_.find(key);
  if (place == worker_of_.end()) {
    return nullptr;
  }
  const auto held = held_.find(place->second);
  const bool has_attempt =
      held != held_.end() && held->second->attempts.contains(key);
  return has_attempt ? held->second : nullptr;
}

AttemptReport WorkerHolder::MakeAttemptReport(const HeldWorker& held,
                                              const Attempt& attempt) const {
  return {.attempt = attempt.id,
          .task = attempt.task,
          .worker = held.info.id,
          .state = attempt.state,
          .end = attempt.end,
          .checkpoint = attempt.checkpoint};
}

}  // namespace doorwood
