// SPDX-License-Identifier: Apache-2.0

#include "doorwood/kv_budget.h"

#include <algorithm>

#include "doorwood/error.h"

namespace doorwood {
namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

KvBudget::KvBudget(const KvBudgetOptions& options,
                   Executor& executor,
                   KvStore& store)
    : options_(options),
      executor_(executor),
      store_(store),
      tokens_(options.burst),
      last_refill_(executor.Now()) {}

KvBudget::~KvBudget() {
  *alive_ = false;
}

void KvBudget::Admit(KvPriority priority,
                     std::function<void()> start,
                     std::function<void()> refuse) {
  RefillTokens();
  if (waiting_ == 0 && tokens_ >= 1) {
    tokens_ -= 1;
    ++counters_.started;
    start();
    return;
  }
  // Lease calls are queued even if the queue is full: when a lease expires, the
  // store removes all keys of the instance that are bound to it.
  const bool full = waiting_ >= options_.queue_limit;
  if (full && priority != KvPriority::kLease) {
    ++counters_.refused;
    executor_.Post(std::move(refuse));
    return;
  }
  ++counters_.waited;
  ++waiting_;
  queues_[priority].push_back(std::move(start));
  StartWaitingCalls();
}

void KvBudget::RefillTokens() {
  const Instant now = executor_.Now();
  const auto elapsed_ms =
      std::chrono::duration<double, std::milli>(now - last_refill_).count();
  last_refill_ = now;
  tokens_ = std::min(options_.burst,
                     tokens_ + elapsed_ms * options_.rate / kMillisPerSecond);
}

void KvBudget::StartWaitingCalls() {
  RefillTokens();
  for (auto& [priority, queue] : queues_) {
    while (!queue.empty() && tokens_ >= 1) {
      const std::function<void()> start = std::move(queue.front());
      queue.pop_front();
      --waiting_;
      tokens_ -= 1;
      ++counters_.started;
      start();
    }
  }
  if (waiting_ == 0 || start_scheduled_) {
    return;
  }
  start_scheduled_ = true;
  const double missing_tokens = std::max(0.0, 1 - tokens_);
  const auto delay_ms = static_cast<int64_t>(
      missing_tokens * kMillisPerSecond / options_.rate + 1);
  executor_.Schedule(Millis(delay_ms), [this, alive = alive_]() {
    if (*alive) {
      start_scheduled_ = false;
      StartWaitingCalls();
    }
  });
}

void KvBudget::Read(const std::string& key, Callback<KvEntry> done) {
  Admit(
      KvPriority::kConfig, [this, key, done]() { store_.Read(key, done); },
      [key, done]() { done(KvErrc::kOverBudget, KvEntry{.key = key}); });
}

void KvBudget::List(const std::string& prefix,
                    Callback<std::vector<KvEntry>> done) {
  Admit(
      KvPriority::kConfig,
      [this, prefix, done]() { store_.List(prefix, done); },
      [done]() { done(KvErrc::kOverBudget, {}); });
}

void KvBudget::Write(const KvWrite& write, Callback<int64_t> done) {
  Admit(
      write.priority, [this, write, done]() { store_.Write(write, done); },
      [done]() { done(KvErrc::kOverBudget, 0); });
}

void KvBudget::Remove(const std::string& key,
                      int64_t expected_version,
                      Callback<int64_t> done) {
  Admit(
      KvPriority::kSnapshot,
      [this, key, expected_version, done]() {
        store_.Remove(key, expected_version, done);
      },
      [done]() { done(KvErrc::kOverBudget, 0); });
}

void KvBudget::GrantLease(Millis lifetime, Callback<int64_t> done) {
  Admit(
      KvPriority::kLease,
      [this, lifetime, done]() { store_.GrantLease(lifetime, done); },
      [done]() { done(KvErrc::kOverBudget, 0); });
}

void KvBudget::RenewLease(int64_t lease, Callback<int64_t> done) {
  Admit(
      KvPriority::kLease,
      [this, lease, done]() { store_.RenewLease(lease, done); },
      [done]() { done(KvErrc::kOverBudget, 0); });
}

void KvBudget::Watch(const std::string& prefix,
                     int64_t after,
                     Callback<std::vector<KvEntry>> done) {
  Admit(
      KvPriority::kConfig,
      [this, prefix, after, done]() { store_.Watch(prefix, after, done); },
      [done]() { done(KvErrc::kOverBudget, {}); });
}

}  // namespace doorwood
