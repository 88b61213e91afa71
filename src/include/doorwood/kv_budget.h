// SPDX-License-Identifier: Apache-2.0

/// \file
/// Rate limiter in front of the key-value store: a token bucket whose rate is
/// this instance's share of the store's call rate. Calls beyond the rate wait
/// in priority order. See docs/design/kv-budget.md.

#ifndef DOORWOOD_KV_BUDGET_H_
#define DOORWOOD_KV_BUDGET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "doorwood/executor.h"
#include "doorwood/kv.h"

namespace doorwood {

struct KvBudgetOptions {
  /// Calls per second. A watch counts as one call, however long it waits.
  double rate = 50;
  /// Calls that may be started at once after an idle period.
  double burst = 50;
  /// Maximum number of waiting calls; further ones are refused with
  /// KvErrc::kOverBudget, except those of KvPriority::kLease.
  size_t queue_limit = 1000;
};

/// Counters of calls since the KvBudget was created, for metrics.
struct KvBudgetCounters {
  uint64_t started = 0;
  uint64_t waited = 0;
  uint64_t refused = 0;
};

/// Forwards calls to another KvStore at a limited rate. To be used on the
/// control thread only.
class KvBudget : public KvStore {
 public:
  KvBudget(const KvBudgetOptions& options, Executor& executor, KvStore& store);
  ~KvBudget() override;

  void Read(const std::string& key, Callback<KvEntry> done) override;
  void List(const std::string& prefix,
            Callback<std::vector<KvEntry>> done) override;
  void Write(const KvWrite& write, Callback<int64_t> done) override;
  void Remove(const std::string& key,
              int64_t expected_version,
              Callback<int64_t> done) override;
  void GrantLease(Millis lifetime, Callback<int64_t> done) override;
  void RenewLease(int64_t lease, Callback<int64_t> done) override;
  void Watch(const std::string& prefix,
             int64_t after,
             Callback<std::vector<KvEntry>> done) override;

  const KvBudgetCounters& counters() const { return counters_; }

 private:
  // Calls `start` now or, in priority order, once a token is available. Posts
  // `refuse` instead if `queue_limit` calls wait, unless `priority` is
  // KvPriority::kLease.
  void Admit(KvPriority priority,
             std::function<void()> start,
             std::function<void()> refuse);
  void RefillTokens();
  void StartWaitingCalls();

  KvBudgetOptions options_;
  Executor& executor_;
  KvStore& store_;
  double tokens_;
  Instant last_refill_;
  size_t waiting_ = 0;
  bool start_scheduled_ = false;
  std::map<KvPriority, std::deque<std::function<void()>>> queues_;
  KvBudgetCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace doorwood

#endif  // DOORWOOD_KV_BUDGET_H_
