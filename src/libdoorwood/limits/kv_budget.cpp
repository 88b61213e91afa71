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
                   KvStore& below)
    : options_(options),
      executor_(executor),
      below_(below),
      tokens_(options.burst),
      refilled_(executor.Now()) {}

KvBudget::~KvBudget() {
  *alive_ = false;
}

void KvBudget::Admit(KvPriority priority,
                     std::function<void()> start,
                     std::function<void()> refuse) {
  Refill();
  if (waiting_ == 0 && tokens_ >= 1) {
    tokens_ -= 1;
    ++counters_.started;
    start();
    return;
  }
  // Lease renewals are let in whatever waits: without them all is lost.
  const bool full = waiting_ >= options_.queue_limit;
  if (full && priority != KvPriority::kLease) {
    ++counters_.refused;
    executor_.Post(std::move(refuse));
    return;
  }
  ++counters_.waited;
  ++waiting_;
  queues_[priority].push_back(std::move(start));
  Drain();
}

void KvBudget::Refill() {
  const Instant now = executor_.Now();
  const auto passed =
      std::chrono::duration<double, std::milli>(now - refilled_).count();
  refilled_ = now;
  tokens_ = std::min(options_.burst,
                     tokens_ + passed * options_.rate / kMillisPerSecond);
}

void KvBudget::Drain() {
  Refill();
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
  if (waiting_ == 0 || drain_scheduled_) {
    return;
  }
  drain_scheduled_ = true;
  const double missing = std::max(0.0, 1 - tokens_);
  const auto pause =
      static_cast<int64_t>(missing * kMillisPerSecond / options_.rate + 1);
  executor_.Schedule(Millis(pause), [this, alive = alive_]() {
    if (*alive) {
      drain_scheduled_ = false;
      Drain();
    }
  });
}

void KvBudget::Read(const std::string& key, Callback<KvEntry> done) {
  Admit(
      KvPriority::kConfig, [this, key, done]() { below_.Read(key, done); },
      [key, done]() { done(KvErrc::kOverBudget, KvEntry{.key = key}); });
}

void KvBudget::List(const std::string& prefix,
                    Callback<std::vector<KvEntry>> done) {
  Admit(
      KvPriority::kConfig,
      [this, prefix, done]() { below_.List(prefix, done); },
      [done]() { done(KvErrc::kOverBudget, {}); });
}

void KvBudget::Write(const KvWrite& write, Callback<int64_t> done) {
  Admit(
      write.priority, [this, write, done]() { below_.Write(write, done); },
      [done]() { done(KvErrc::kOverBudget, 0); });
}

void KvBudget::Remove(const std::string& key,
                      int64_t expected_version,
                      Callback<int64_t> done) {
  Admit(
      KvPriority::kSnapshot,
      [this, key, expected_version, done]() {
        below_.Remove(key, expected_version, done);
      },
      [done]() { done(KvErrc::kOverBudget, 0); });
}

void KvBudget::GrantLease(Millis lifetime, Callback<int64_t> done) {
  Admit(
      KvPriority::kLease,
      [this, lifetime, done]() { below_.GrantLease(lifetime, done); },
      [done]() { done(KvErrc::kOverBudget, 0); });
}

void KvBudget::RenewLease(int64_t lease, Callback<int64_t> done) {
  Admit(
      KvPriority::kLease,
      [this, lease, done]() { below_.RenewLease(lease, done); },
      [done]() { done(KvErrc::kOverBudget, 0); });
}

void KvBudget::Watch(const std::string& prefix,
                     int64_t after,
                     Callback<std::vector<KvEntry>> done) {
  Admit(
      KvPriority::kConfig,
      [this, prefix, after, done]() { below_.Watch(prefix, after, done); },
      [done]() { done(KvErrc::kOverBudget, {}); });
}

}  // namespace doorwood
