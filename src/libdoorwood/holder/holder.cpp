// SPDX-License-Identifier: Apache-2.0

#include "doorwood/holder.h"

#include <algorithm>

#include "doorwood/error.h"

namespace doorwood {
namespace {

// Most orders of one batch, which bounds the size of a call.
constexpr size_t kMostOrders = 64;

}  // namespace

// --- Construction and the set of workers ---

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

void WorkerHolder::SetWanted(std::span<const InstanceInfo> workers) {
  std::set<std::string> wanted;
  for (const InstanceInfo& info : workers) {
    wanted.insert(info.id);
    const auto known = held_.find(info.id);
    if (known == held_.end()) {
      StartHolding(info);
      continue;
    }
    const std::shared_ptr<Held>& held = known->second;
    const bool newly_leaving = info.leaving && !held->info.leaving;
    held->info = info;
    if (held->state == HoldState::kReleasing) {
      held->state = HoldState::kHeld;
      listener_.OnHeldChanged();
    }
    if (newly_leaving) {
      EvictFromLeaving(held);
    }
  }
  std::vector<std::shared_ptr<Held>> unwanted;
  for (const auto& [name, held] : held_) {
    if (!wanted.contains(name)) {
      unwanted.push_back(held);
    }
  }
  for (const auto& held : unwanted) {
    HandOver(held);
  }
}

void WorkerHolder::SetDrained(std::set<std::string> workers) {
  for (const auto& [name, held] : held_) {
    const bool newly = workers.contains(name) && !drained_.contains(name);
    if (newly) {
      EvictFromLeaving(held);
    }
  }
  drained_ = std::move(workers);
}

void WorkerHolder::StartHolding(const InstanceInfo& info) {
  auto held = std::make_shared<Held>();
  held->info = info;
  held_[info.id] = held;
  Acquire(held);
}

// --- Acquiring ---

void WorkerHolder::Acquire(const std::shared_ptr<Held>& held) {
  if (held->in_flight || !IsWanted(held)) {
    return;
  }
  held->in_flight = true;
  const Instant sent = executor_.Now();
  control_.Acquire(
      held->info, [this, alive = alive_, held, sent](
                      std::error_code error, const WorkerInventory& inventory) {
        if (*alive) {
          OnAcquired(held, sent, error, inventory);
        }
      });
}

void WorkerHolder::OnAcquired(const std::shared_ptr<Held>& held,
                              Instant sent,
                              std::error_code error,
                              const WorkerInventory& inventory) {
  held->in_flight = false;
  if (!IsWanted(held)) {
    return;
  }
  if (error) {
    if (held->state == HoldState::kReleasing) {
      Drop(held);
      return;
    }
    SetTimer(held, options_.acquire_retry, &WorkerHolder::Acquire);
    return;
  }
  const bool must_wait =
      !inventory.fences && held->state != HoldState::kWaitingOut;
  held->epoch = inventory.epoch;
  held->boot = inventory.boot;
  held->renewed = sent;
  if (must_wait) {
    // The worker would obey an older holder's late order. Wait until that
    // holder's own clock has ended its lease, then look again.
    held->state = HoldState::kWaitingOut;
    SetTimer(held, options_.control_lease + options_.drift,
             &WorkerHolder::Acquire);
    return;
  }
  TakeInventory(*held, inventory);
  if (held->state != HoldState::kReleasing) {
    held->state = HoldState::kHeld;
  }
  held->acquired_once = true;
  AnnounceEnded(*held);
  if (held->info.leaving || drained_.contains(held->info.id)) {
    EvictFromLeaving(held);
  }
  listener_.OnHeldChanged();
  // Only a renewal prolongs the tasks that were found running.
  Renew(held);
}

void WorkerHolder::TakeInventory(Held& held, const WorkerInventory& inventory) {
  const std::map<AttemptKey, Attempt> before = std::move(held.attempts);
  held.attempts.clear();
  held.outbox.clear();
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
    // The worker does not know it, and orders of older epochs are refused.
    Attempt ended = old;
    if (old.state == RunState::kRunning) {
      const bool never_began = !old.start_sent;
      ended.end = never_began ? AttemptEnd::kNotStarted : AttemptEnd::kLost;
    }
    ended.state = RunState::kEnded;
    held.attempts.emplace(key, std::move(ended));
  }
  RebuildResidents(held);
}

// --- Renewals and orders ---

void WorkerHolder::Renew(const std::shared_ptr<Held>& held) {
  if (held->in_flight || !IsWanted(held)) {
    return;
  }
  if (!Valid(*held)) {
    // Paused for longer than the lease: nothing may be ordered any more.
    LoseControl(held);
    return;
  }
  executor_.Cancel(held->timer);
  held->in_flight = true;
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(held->outbox.size(), kMostOrders));
  std::vector<WorkerOrder> orders(held->outbox.begin(),
                                  held->outbox.begin() + count);
  for (const WorkerOrder& order : orders) {
    const auto attempt = held->attempts.find({order.shard, order.attempt});
    if (attempt != held->attempts.end()) {
      attempt->second.start_sent = true;
    }
  }
  const Instant sent = executor_.Now();
  held->last_sent = sent;
  control_.Send(held->info, held->epoch, std::move(orders),
                [this, alive = alive_, held, sent, count](
                    std::error_code error, const WorkerAnswer& answer) {
                  if (*alive) {
                    OnAnswer(held, sent, count, error, answer);
                  }
                });
}

void WorkerHolder::OnAnswer(const std::shared_ptr<Held>& held,
                            Instant sent,
                            std::ptrdiff_t order_count,
                            std::error_code error,
                            const WorkerAnswer& answer) {
  held->in_flight = false;
  if (!IsWanted(held)) {
    return;
  }
  if (error) {
    OnNoAnswer(held, error);
    return;
  }
  if (answer.boot != held->boot) {
    // The worker has restarted since its inventory was taken.
    LoseControl(held);
    return;
  }
  held->renewed = sent;
  held->outbox.erase(held->outbox.begin(), held->outbox.begin() + order_count);
  ApplyAnswer(*held, answer);
  if (!held->outbox.empty()) {
    Renew(held);
    return;
  }
  if (held->state == HoldState::kReleasing) {
    HandOver(held);
    return;
  }
  SetTimer(held, options_.renew_interval, &WorkerHolder::Renew);
}

void WorkerHolder::OnNoAnswer(const std::shared_ptr<Held>& held,
                              std::error_code error) {
  const bool stale = error == make_error_code(WorkerErrc::kStaleEpoch);
  if (stale || !Valid(*held)) {
    LoseControl(held);
    return;
  }
  // The orders stay in the outbox, and what they reserved stays reserved.
  SetTimer(held, options_.acquire_retry, &WorkerHolder::Renew);
}

void WorkerHolder::ApplyAnswer(Held& held, const WorkerAnswer& answer) {
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
  AnnounceEnded(held);
  RebuildResidents(held);
}

// --- Giving up control ---

void WorkerHolder::HandOver(const std::shared_ptr<Held>& held) {
  if (held->state == HoldState::kAcquiring ||
      held->state == HoldState::kWaitingOut) {
    Drop(held);
    return;
  }
  if (held->state == HoldState::kHeld) {
    held->state = HoldState::kReleasing;
    listener_.OnHeldChanged();
  }
  if (held->in_flight) {
    return;
  }
  if (!held->outbox.empty() && Valid(*held)) {
    Renew(held);
    return;
  }
  control_.Release(held->info, held->epoch, [](std::error_code, bool) {});
  Drop(held);
}

void WorkerHolder::Drop(const std::shared_ptr<Held>& held) {
  executor_.Cancel(held->timer);
  released_[held->info.id] = held->last_sent;
  for (const auto& [key, attempt] : held->attempts) {
    worker_of_.erase(key);
  }
  held_.erase(held->info.id);
  listener_.OnHeldChanged();
}

void WorkerHolder::LoseControl(const std::shared_ptr<Held>& held) {
  if (held->state == HoldState::kReleasing) {
    Drop(held);
    return;
  }
  held->state = HoldState::kAcquiring;
  // Attempts stay in memory until a new inventory says what became of them.
  listener_.OnHeldChanged();
  Acquire(held);
}

void WorkerHolder::EvictFromLeaving(const std::shared_ptr<Held>& held) {
  for (auto& [key, attempt] : held->attempts) {
    // What may not be repeated stays until it ends or the worker goes.
    if (attempt.state == RunState::kRunning && attempt.spec.repeatable) {
      OrderStop(*held, attempt, /*take_checkpoint=*/true);
    }
  }
  if (held->state == HoldState::kHeld) {
    Renew(held);
  }
}

// --- What is held ---

bool WorkerHolder::Holds(const std::string& worker) const {
  const auto held = held_.find(worker);
  return held != held_.end() && held->second->state == HoldState::kHeld &&
         Valid(*held->second);
}

std::vector<HeldWorkerRow> WorkerHolder::rows() const {
  constexpr const char* kStates[] = {"acquiring", "waiting-out", "held",
                                     "releasing"};
  std::vector<HeldWorkerRow> rows;
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

Resources WorkerHolder::largest_room() const {
  Resources largest;
  for (const auto& [name, held] : held_) {
    if (held->state != HoldState::kHeld) {
      continue;
    }
    const Resources room = held->ledger.free();
    largest.cpu_millis = std::max(largest.cpu_millis, room.cpu_millis);
    largest.memory_mib = std::max(largest.memory_mib, room.memory_mib);
    largest.accelerators = std::max(largest.accelerators, room.accelerators);
  }
  return largest;
}

size_t WorkerHolder::held_count() const {
  return std::count_if(held_.begin(), held_.end(), [](const auto& item) {
    return item.second->state == HoldState::kHeld;
  });
}

bool WorkerHolder::Valid(const Held& held) const {
  const Instant end = held.renewed + options_.control_lease - options_.drift;
  return held.acquired_once && executor_.Now() < end;
}

bool WorkerHolder::IsOpen(const Held& held, const TaskSpec& spec) const {
  const bool kept =
      spec.work_class == WorkClass::kBatch && executor_.Now() < held.kept_until;
  return held.state == HoldState::kHeld && Valid(held) && !held.info.leaving &&
         !kept && !drained_.contains(held.info.id);
}

bool WorkerHolder::IsWanted(const std::shared_ptr<Held>& held) const {
  const auto known = held_.find(held->info.id);
  return known != held_.end() && known->second == held;
}

void WorkerHolder::SetTimer(
    const std::shared_ptr<Held>& held,
    Millis delay,
    void (WorkerHolder::*step)(const std::shared_ptr<Held>&)) {
  executor_.Cancel(held->timer);
  held->timer = executor_.Schedule(delay, [this, alive = alive_, held, step]() {
    if (*alive) {
      (this->*step)(held);
    }
  });
}

std::shared_ptr<WorkerHolder::Held> WorkerHolder::FindAttempt(
    const AttemptKey& key) const {
  const auto place = worker_of_.find(key);
  if (place == worker_of_.end()) {
    return nullptr;
  }
  const auto held = held_.find(place->second);
  const bool there =
      held != held_.end() && held->second->attempts.contains(key);
  return there ? held->second : nullptr;
}

Sighting WorkerHolder::MakeSighting(const Held& held,
                                    const Attempt& attempt) const {
  return {.attempt = attempt.id,
          .task = attempt.task,
          .worker = held.info.id,
          .state = attempt.state,
          .end = attempt.end,
          .checkpoint = attempt.checkpoint};
}

}  // namespace doorwood
