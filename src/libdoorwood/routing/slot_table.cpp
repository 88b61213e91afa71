// SPDX-License-Identifier: Apache-2.0

#include <algorithm>

#include "doorwood/router.h"

namespace doorwood {
namespace {

// Weight of the newest sample in the moving average of the time that a slot is
// held (`mean_held_ms`).
constexpr double kSmoothing = 0.1;

Millis Remaining(Instant deadline) {
  const auto now = BootClock::now();
  return std::chrono::duration_cast<Millis>(deadline - now);
}

}  // namespace

void SlotTable::SetBackends(std::vector<BackendTarget> backends) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [id, backend] : backends_) {
    backend.listed = false;
    backend.target.open = false;
  }
  for (BackendTarget& target : backends) {
    Backend& backend = backends_[target.id];
    backend.listed = true;
    backend.target = std::move(target);
  }
  std::erase_if(backends_, [](const auto& item) {
    return !item.second.listed && item.second.in_use == 0;
  });
  for (auto& [name, service] : services_) {
    GrantToWaitersLocked(name);
  }
}

std::optional<BackendTarget> SlotTable::TryAcquire(const std::string& service,
                                                   const std::string& avoid) {
  const std::lock_guard<std::mutex> lock(mutex_);
  // Requests that already wait have precedence.
  if (!services_[service].waiters.empty()) {
    return std::nullopt;
  }
  Backend* backend = PickBackendLocked(service, avoid);
  if (backend == nullptr) {
    return std::nullopt;
  }
  ++backend->in_use;
  return backend->target;
}

SlotGrant SlotTable::Acquire(const std::string& service,
                             const std::string& member,
                             const std::string& avoid,
                             int queue_limit,
                             Instant deadline) {
  std::unique_lock<std::mutex> lock(mutex_);
  Service& state = services_[service];
  const int slots = SlotCountOfOpenBackendsLocked(service);
  SlotGrant grant;
  if (slots == 0 && !HasListedBackendLocked(service)) {
    grant.refusal = SlotRefusal::kNoBackend;
    return grant;
  }
  if (state.waiters.empty()) {
    if (Backend* backend = PickBackendLocked(service, avoid)) {
      ++backend->in_use;
      grant.target = backend->target;
      return grant;
    }
  }
  const auto queue_position = static_cast<double>(state.waiters.size() + 1);
  grant.wait =
      Millis(1 + static_cast<int64_t>(queue_position * state.mean_held_ms /
                                      std::max(slots, 1)));
  if (state.waiters.size() >= static_cast<size_t>(queue_limit)) {
    grant.refusal = SlotRefusal::kQueueFull;
    return grant;
  }
  if (grant.wait > Remaining(deadline)) {
    grant.refusal = SlotRefusal::kDeadlineExceeded;
    return grant;
  }
  Waiter waiter;
  waiter.member = member;
  waiter.avoid = avoid;
  state.waiters.push_back(&waiter);
  waiter.ready.wait_until(lock, deadline,
                          [&waiter]() { return waiter.granted.has_value(); });
  if (!waiter.granted) {
    state.waiters.remove(&waiter);
    grant.refusal = SlotRefusal::kDeadlineExceeded;
    return grant;
  }
  grant.target = *waiter.granted;
  return grant;
}

void SlotTable::Release(const BackendTarget& target, Millis held) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Service& service = services_[target.service];
  service.mean_held_ms +=
      kSmoothing * (static_cast<double>(held.count()) - service.mean_held_ms);
  const auto backend = backends_.find(target.id);
  if (backend == backends_.end()) {
    return;
  }
  --backend->second.in_use;
  const bool is_unused = !backend->second.listed && backend->second.in_use == 0;
  if (is_unused) {
    backends_.erase(backend);
  }
  GrantToWaitersLocked(target.service);
}

bool SlotTable::HasOpenBackend(const std::string& service) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return SlotCountOfOpenBackendsLocked(service) > 0;
}

std::vector<std::string> SlotTable::ServicesWithFreeSlots() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, bool> has_free_slot;
  for (const auto& [id, backend] : backends_) {
    const bool free =
        backend.target.open && backend.in_use < backend.target.slots;
    has_free_slot[backend.target.service] =
        has_free_slot[backend.target.service] || free;
  }
  std::vector<std::string> names;
  for (const auto& [name, free] : has_free_slot) {
    const auto service = services_.find(name);
    const bool idle =
        service == services_.end() || service->second.waiters.empty();
    if (free && idle) {
      names.push_back(name);
    }
  }
  return names;
}

size_t SlotTable::WaitingCount(const std::string& service) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto item = services_.find(service);
  return item == services_.end() ? 0 : item->second.waiters.size();
}

int SlotTable::SlotsInUse(const std::string& worker) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  int in_use = 0;
  for (const auto& [id, backend] : backends_) {
    in_use += backend.target.worker == worker ? backend.in_use : 0;
  }
  return in_use;
}

// Returns the open backend server of the service that has a free slot and the
// smallest share of its slots in use; null if no slot is free. Returns the
// server `avoid` only if no other one has a free slot.
SlotTable::Backend* SlotTable::PickBackendLocked(const std::string& service,
                                                 const std::string& avoid) {
  Backend* best = nullptr;
  Backend* avoided = nullptr;
  for (auto& [id, backend] : backends_) {
    const bool usable = backend.target.service == service &&
                        backend.target.open &&
                        backend.in_use < backend.target.slots;
    if (!usable) {
      continue;
    }
    if (id == avoid) {
      avoided = &backend;
      continue;
    }
    const bool less_loaded =
        best == nullptr || backend.in_use * best->target.slots <
                               best->in_use * backend.target.slots;
    if (less_loaded) {
      best = &backend;
    }
  }
  return best != nullptr ? best : avoided;
}

bool SlotTable::HasListedBackendLocked(const std::string& service) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& item) {
    return item.second.listed && item.second.target.service == service;
  });
}

int SlotTable::SlotCountOfOpenBackendsLocked(const std::string& service) const {
  int slots = 0;
  for (const auto& [id, backend] : backends_) {
    if (backend.target.service == service && backend.target.open) {
      slots += backend.target.slots;
    }
  }
  return slots;
}

void SlotTable::GrantToWaitersLocked(const std::string& name) {
  Service& service = services_[name];
  while (!service.waiters.empty()) {
    const auto next = NextWaiterLocked(&service);
    Waiter* waiter = *next;
    Backend* backend = PickBackendLocked(name, waiter->avoid);
    if (backend == nullptr) {
      return;
    }
    ++backend->in_use;
    service.last_member = waiter->member;
    service.waiters.erase(next);
    waiter->granted = backend->target;
    waiter->ready.notify_one();
  }
}

// Round robin over the workspaces that have waiting requests, in alphabetical
// order: returns the longest waiting request of the workspace that follows
// `last_member`, or of the first workspace if none follows.
std::list<SlotTable::Waiter*>::iterator SlotTable::NextWaiterLocked(
    Service* service) {
  auto after = service->waiters.end();
  auto first = service->waiters.end();
  for (auto it = service->waiters.begin(); it != service->waiters.end(); ++it) {
    const std::string& member = (*it)->member;
    if (first == service->waiters.end() || member < (*first)->member) {
      first = it;
    }
    const bool is_after = member > service->last_member;
    if (is_after &&
        (after == service->waiters.end() || member < (*after)->member)) {
      after = it;
    }
  }
  return after != service->waiters.end() ? after : first;
}

}  // namespace doorwood
