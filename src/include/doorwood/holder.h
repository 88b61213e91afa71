// SPDX-License-Identifier: Apache-2.0

/// \file
/// Holder of workers: acquires and renews control leases, keeps the ledger of
/// each held worker, starts and stops attempts, and adopts what runs on a
/// worker that another instance held before. docs/design/worker-lease.md.

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
  /// How long a worker keeps tasks running after its last renewal.
  Millis task_lease{10000};
  Millis renew_interval{1300};
  Millis acquire_retry{500};
  /// Bound on how far two clocks drift apart during one lease.
  Millis drift{300};
};

/// Told about ends until they are logged.
class HolderListener {
 public:
  virtual ~HolderListener() = default;

  /// An attempt ended, or surely never began. Repeated until
  /// `WorkerHolder::Logged` is called for it.
  virtual void OnAttemptEnded(const ShardId& shard, const Sighting& ended) = 0;
  /// The set of held workers changed.
  virtual void OnHeldChanged() = 0;
};

/// A held worker, for operators and heartbeats.
struct HeldWorkerRow {
  std::string worker;
  std::string state;
  uint64_t epoch = 0;
  Resources capacity;
  Resources free;
  size_t attempts = 0;
  bool drained = false;
};

/// All calls on the control thread.
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

  /// The workers that this instance ought to hold. Others are handed over:
  /// nothing new goes there, and the lease is released once no order is under
  /// way.
  void SetWanted(std::span<const InstanceInfo> workers);
  /// Workers that get nothing new by an operator's word.
  void SetDrained(std::set<std::string> workers);

  /// Reserves room and starts the attempt. Asked again about the same
  /// attempt, gives the same answer.
  PlaceReply Place(const PlaceRequest& request);
  StopReply Stop(const StopRequest& request);
  CensusReply Census(const CensusRequest& request);
  /// The owner has logged these ends; the workers may forget them.
  void Logged(const ShardId& shard, std::span<const AttemptId> attempts);
  /// Refuses attempts of `shard` below `floor` from now on.
  void Fence(const ShardId& shard, const AttemptId& floor);

  /// True if `worker` is held now and its lease is valid by own clock.
  bool Holds(const std::string& worker) const;
  std::vector<HeldWorkerRow> rows() const;
  Resources free() const;
  Resources largest_room() const;
  size_t held_count() const;

 private:
  enum class HoldState { kAcquiring, kWaitingOut, kHeld, kReleasing };

  struct Attempt {
    ShardId shard;
    AttemptId id;
    TaskId task;
    TaskSpec spec;
    RunState state = RunState::kRunning;
    AttemptEnd end = AttemptEnd::kSucceeded;
    std::string checkpoint;
    bool stopping = false;
    // True once the start order may have reached the worker.
    bool start_sent = false;
  };

  struct Held {
    InstanceInfo info;
    HoldState state = HoldState::kAcquiring;
    uint64_t epoch = 0;
    uint64_t boot = 0;
    Ledger ledger;
    std::map<AttemptKey, Attempt> attempts;
    std::vector<WorkerOrder> outbox;
    bool in_flight = false;
    bool acquired_once = false;
    // Own clock from before the last answered renewal was sent.
    Instant renewed{};
    // Own clock when a renewal was last sent, answered or not. Nothing this
    // instance does prolongs the worker's tasks beyond it.
    Instant last_sent{};
    // No batch work goes here before this time: room is kept for a service.
    Instant kept_until{};
    Executor::TimerId timer = 0;
    // Views for the policy, rebuilt when `attempts` changes.
    std::vector<Resident> residents;
  };

  using HeldMap = std::map<std::string, std::shared_ptr<Held>>;

  void StartHolding(const InstanceInfo& info);
  void Acquire(const std::shared_ptr<Held>& held);
  void OnAcquired(const std::shared_ptr<Held>& held,
                  Instant sent,
                  std::error_code error,
                  const WorkerInventory& inventory);
  void TakeInventory(Held& held, const WorkerInventory& inventory);
  void Renew(const std::shared_ptr<Held>& held);
  void OnAnswer(const std::shared_ptr<Held>& held,
                Instant sent,
                std::ptrdiff_t order_count,
                std::error_code error,
                const WorkerAnswer& answer);
  void OnNoAnswer(const std::shared_ptr<Held>& held, std::error_code error);
  void ApplyAnswer(Held& held, const WorkerAnswer& answer);
  void HandOver(const std::shared_ptr<Held>& held);
  void Drop(const std::shared_ptr<Held>& held);
  void LoseControl(const std::shared_ptr<Held>& held);
  void EvictFromLeaving(const std::shared_ptr<Held>& held);

  void OrderStop(Held& held, Attempt& attempt, bool take_checkpoint);
  void MarkEnded(Held& held,
                 Attempt& attempt,
                 AttemptEnd end,
                 const std::string& checkpoint);
  void AnnounceEnded(const Held& held);
  void RebuildResidents(Held& held);
  PlaceReply StartOn(const std::shared_ptr<Held>& held,
                     const PlaceRequest& request);
  PlaceReply MakeRoom(const std::shared_ptr<Held>& held,
                      const Decision& decision);

  bool Valid(const Held& held) const;
  bool IsOpen(const Held& held, const TaskSpec& spec) const;
  bool IsWanted(const std::shared_ptr<Held>& held) const;
  void SetTimer(const std::shared_ptr<Held>& held,
                Millis delay,
                void (WorkerHolder::*step)(const std::shared_ptr<Held>&));
  std::shared_ptr<Held> FindAttempt(const AttemptKey& key) const;
  Sighting MakeSighting(const Held& held, const Attempt& attempt) const;

  HolderOptions options_;
  Executor& executor_;
  WorkerControl& control_;
  PlacementPolicy& policy_;
  HolderListener& listener_;
  Instant started_;
  HeldMap held_;
  // The worker of each attempt.
  std::map<AttemptKey, std::string> worker_of_;
  std::set<std::string> drained_;
  std::map<ShardId, AttemptId> floors_;
  // When a renewal was last sent to a worker that is not held any more.
  std::map<std::string, Instant> released_;
  // Callbacks check it, so that none touches a holder that is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace doorwood

#endif  // DOORWOOD_HOLDER_H_
