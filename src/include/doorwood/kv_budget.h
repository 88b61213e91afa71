// SPDX-License-Identifier: Apache-2.0

/// \file
/// A call budget in front of the key-value service: a token bucket sized by
/// this instance's share of the service's rate. When calls are scarce they
/// wait in order of importance. docs/design/kv-budget.md.

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
  /// Calls a second, a waiting watch counting as one.
  double rate = 50;
  /// Calls that may be made at once after a quiet time.
  double burst = 50;
  /// Most calls that wait; more are refused with KvErrc::kOverBudget.
  size_t queue_limit = 1000;
};

/// Figures for metrics.
struct KvBudgetCounters {
  uint64_t started = 0;
  uint64_t waited = 0;
  uint64_t refused = 0;
};

/// Passes calls on to `below`, as fast as the budget allows. All calls on the
/// control thread.
class KvBudget : public KvStore {
 public:
  KvBudget(const KvBudgetOptions& options, Executor& executor, KvStore& below);
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
  // Starts now, or waits its turn. `refuse` is called instead if too many
  // wait.
  void Admit(KvPriority priority,
             std::function<void()> start,
             std::function<void()> refuse);
  void Refill();
  void Drain();

  KvBudgetOptions options_;
  Executor& executor_;
  KvStore& below_;
  double tokens_;
  Instant refilled_;
  size_t waiting_ = 0;
  bool drain_scheduled_ = false;
  std::map<KvPriority, std::deque<std::function<void()>>> queues_;
  KvBudgetCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace doorwood

#endif  // DOORWOOD_KV_BUDGET_H_
