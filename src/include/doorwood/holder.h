// SPDX-License-Identifier: Apache-2.0

/// \file
/// Holder of workers: acquires and renews control leases, keeps the ledger of
/// each held worker, starts and stops attempts, and adopts the attempts that
/// run on a worker that another instance held before. See
/// docs/design/worker-lease.md.

#ifndef DOORWOOD_HOLDER_H_
#define DOORWOOD_HOLDER_H_

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "doorwood/executor.h"
#include "doorwood/ledger.h"
#include "doorwood/peer.h"
#include "doorwood/placement.h"
#include "doorwood/worker.h"

namespace doorwood {

struct HolderOptions {
  /// Lifetime of a control lease, as granted by the workers.
  Millis control_lease{3000};
  /// How long a worker keeps tasks running after the last renewal it received.
  /// Not read by `WorkerHolder`, but by the tests' `FakeWorkers`; `HttpWorkers`
  /// gets the same setting as `HttpWorkersOptions::task_lease`.
  Millis task_lease{10000};
  Millis renew_interval{1300};
  /// Delay before a failed acquisition or renewal is retried.
  Millis acquire_retry{500};
  /// Upper bound on the drift between two clocks during one lease.
  Millis drift{300};
};

/// Listener for the ends of attempts and for changes of the held workers.
class HolderListener {
 public:
  virtual ~HolderListener() = default;

  /// An attempt ended or will definitely never start. Called again with each
  /// answer of the worker, while it is held, until
  /// `WorkerHolder::AcknowledgeEnds` is called for the attempt.
  virtual void OnAttemptEnded(const ShardId& shard,
                              const AttemptReport& ended) = 0;
  /// The set of held workers may have changed.
  virtual void OnHeldWorkersChanged() = 0;
};

/// State of a worker that is held, being acquired or being released, for
/// operators and heartbeats.
struct HeldWorkerStatus {
  std::string worker;
  std::string state;
  uint64_t epoch = 0;
  Resources capacity;
  Resources free;
  size_t attempts = 0;
  bool drained = false;
};

/// Holds the control leases of workers and runs attempts on them. All calls on
/// the control thread.
class WorkerHolder {
 public:
  WorkerHolder(const HolderOptions& options,
               Executor& executor,
               WorkerControl& control,
               PlacementPolicy& policy,
               HolderListener& listener);
  ~WorkerHolder();

  WorkerHolder(const WorkerHolder&) = delete;
  WorkerHolder& operator=(const WorkerHolder&) = delete;

  /// Sets the workers that this instance should hold. Other workers are
  /// released: no new attempts go there, and the lease is released once no
  /// order is pending or in flight, or is lost before that.
  void SetAssignedWorkers(std::span<const InstanceInfo> workers);
  /// Sets the workers that an operator has drained. They get no new attempts,
  /// and their repeatable attempts are evicted.
  void SetDrainedWorkers(std::set<std::string> workers);

  /// Reserves capacity and orders the start of the attempt. A request for an
  /// attempt that was already placed on one of the workers, even if it has
  /// ended there, starts nothing and is answered with that worker. If the
  /// policy evicts other attempts to free capacity, the attempt is not placed
  /// yet.
  PlaceReply Place(const PlaceRequest& request);
  StopReply Stop(const StopRequest& request);
  /// Fences the shard at the request's `min_attempt`, as `Fence` does, and
  /// returns the shard's attempts on the held workers.
  CensusReply Census(const CensusRequest& request);
  /// The owner has logged the ends of these attempts; the workers may delete
  /// their records of them.
  void AcknowledgeEnds(const ShardId& shard,
                       std::span<const AttemptId> attempts);
  /// Refuses all later placements of `shard` whose attempt is below `floor`,
  /// except repeated requests for an attempt that was placed before.
  void Fence(const ShardId& shard, const AttemptId& floor);

  /// True if `worker` is held and its lease is valid by the local clock.
  bool IsHeld(const std::string& worker) const;
  std::vector<HeldWorkerStatus> DescribeHeldWorkers() const;
  /// Free capacity, summed over the held workers.
  Resources free() const;
  /// The largest free amount of each resource on any one held worker. The
  /// amounts may be on different workers.
  Resources largest_free() const;
  size_t held_worker_count() const;

 private:
  enum class HoldState {
    kAcquiring,
    // Waits until the lease of the previous holder has expired, because the
    // worker does not refuse orders of older epochs.
    kAwaitingExpiry,
    kHeld,
    kReleasing
  };

  struct Attempt {
    ShardId shard;
    AttemptId id;
    TaskId task;
    TaskSpec spec;
    RunState state = RunState::kRunning;
    AttemptEnd end = AttemptEnd::kSucceeded;
    std::string checkpoint;
    bool stopping = false;
    // True if the start order may have reached the worker.
    bool start_sent = false;
  };

  struct HeldWorker {
    InstanceInfo info;
    HoldState state = HoldState::kAcquiring;
    uint64_t epoch = 0;
    uint64_t boot_id = 0;
    Ledger ledger;
    std::map<AttemptKey, Attempt> attempts;
    std::vector<WorkerOrder> pending_orders;
    bool call_in_flight = false;
    bool acquired_once = false;
    // Local time at which the last successful acquisition or renewal was sent.
    // The lease is counted from here, so that this instance never takes it for
    // valid after it has expired on the worker.
    Instant lease_start{};
    // Local time at which the last renewal was sent, answered or not. Since
    // then this instance has sent nothing that extends the worker's task
    // leases.
    Instant last_renewal_sent{};
    // Before this time no batch work starts here: free capacity is reserved for
    // a service.
    Instant reserved_until{};
    Executor::TimerId timer = 0;
    // Running attempts as the policy sees them; rebuilt when the set of running
    // attempts or their `stopping` changes.
    std::vector<ResidentAttempt> residents;
  };

  using HeldWorkerMap = std::map<std::string, std::shared_ptr<HeldWorker>>;

  void StartHolding(const InstanceInfo& info);
  void Acquire(const std::shared_ptr<HeldWorker>& held);
  void OnAcquired(const std::shared_ptr<HeldWorker>& held,
                  Instant sent,
                  std::error_code error,
                  const WorkerInventory& inventory);
  void ApplyInventory(HeldWorker& held, const WorkerInventory& inventory);
  // Sends the pending orders, up to a maximum per call, which also renews the
  // lease. No effect while a call is in flight. If the lease may have expired,
  // sends nothing and handles its loss.
  void RenewAndSendOrders(const std::shared_ptr<HeldWorker>& held);
  void OnAnswer(const std::shared_ptr<HeldWorker>& held,
                Instant sent,
                std::ptrdiff_t order_count,
                std::error_code error,
                const WorkerAnswer& answer);
  void OnRenewalFailed(const std::shared_ptr<HeldWorker>& held,
                       std::error_code error);
  void ApplyAnswer(HeldWorker& held, const WorkerAnswer& answer);
  void ReleaseWorker(const std::shared_ptr<HeldWorker>& held);
  void StopHolding(const std::shared_ptr<HeldWorker>& held);
  void OnLeaseLost(const std::shared_ptr<HeldWorker>& held);
  void EvictRepeatableAttempts(const std::shared_ptr<HeldWorker>& held);

  void QueueStopOrder(HeldWorker& held, Attempt& attempt, bool take_checkpoint);
  void MarkEnded(HeldWorker& held,
                 Attempt& attempt,
                 AttemptEnd end,
                 const std::string& checkpoint);
  void ReportEndedAttempts(const HeldWorker& held);
  void RebuildResidents(HeldWorker& held);
  PlaceReply StartOn(const std::shared_ptr<HeldWorker>& held,
                     const PlaceRequest& request);
  PlaceReply EvictVictims(const std::shared_ptr<HeldWorker>& held,
                          const Decision& decision);

  bool HasValidLease(const HeldWorker& held) const;
  bool AcceptsNewAttempt(const HeldWorker& held, const TaskSpec& spec) const;
  // False if the worker was released since `held` was created; callbacks then
  // do nothing.
  bool IsCurrent(const std::shared_ptr<HeldWorker>& held) const;
  void SetTimer(const std::shared_ptr<HeldWorker>& held,
                Millis delay,
                void (WorkerHolder::*step)(const std::shared_ptr<HeldWorker>&));
  // Null if no held worker has the attempt.
  std::shared_ptr<HeldWorker> FindWorkerOfAttempt(const AttemptKey& key) const;
  AttemptReport MakeAttemptReport(const HeldWorker& held,
                                  const Attempt& attempt) const;

  HolderOptions options_;
  Executor& executor_;
  WorkerControl& control_;
  PlacementPolicy& policy_;
  HolderListener& listener_;
  Instant started_;
  HeldWorkerMap held_;
  // The worker whose `attempts` contains each attempt, running or ended.
  std::map<AttemptKey, std::string> worker_of_;
  std::set<std::string> drained_;
  std::map<ShardId, AttemptId> fence_floors_;
  // By worker that this instance has stopped holding: when it sent the last
  // renewal before that. An entry stays if the worker is held again.
  std::map<std::string, Instant> last_renewal_sent_;
  // False after destruction; checked by callbacks that may outlive the holder.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace doorwood

#endif  // DOORWOOD_HOLDER_H_
