// SPDX-License-Identifier: Apache-2.0

/// \file
/// The control core of one entry instance. It combines membership, worker
/// leases, shard ownership and configuration, and answers peers and operators.
/// All calls must be made on the control thread; external systems are reached
/// only through the interfaces in `InstancePorts`.

#ifndef DOORWOOD_INSTANCE_H_
#define DOORWOOD_INSTANCE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "doorwood/config_keeper.h"
#include "doorwood/directory.h"
#include "doorwood/event_log.h"
#include "doorwood/holder.h"
#include "doorwood/membership.h"
#include "doorwood/router.h"
#include "doorwood/shard_owner.h"

namespace doorwood {

struct InstanceOptions {
  /// This instance, as it appears in the platform's instance list.
  InstanceInfo self;
  /// Differs with each start of the process.
  uint64_t incarnation = 0;
  /// Number of shards in each data centre. It must be the same on all instances
  /// and must never change.
  uint32_t shard_count = 8;
  Millis heartbeat_interval{500};
  /// Every `remote_heartbeat_every`-th heartbeat is also sent to other data
  /// centres.
  uint64_t remote_heartbeat_every = 4;
  Millis list_interval{1000};
  Millis call_timeout{2000};
  /// Lifetime of this instance's registration in the key-value service.
  Millis registration_lifetime{6000};
  /// Interval between two checks of which workers to hold and which shards to
  /// own.
  Millis rebalance_interval{250};
  MembershipOptions membership;
  HolderOptions holder;
  OwnerOptions owner;
  ConfigKeeperOptions config;
};

/// Interface through which the control core notifies the request path of the
/// backend servers, peers and configuration to use.
class RoutingObserver {
 public:
  virtual ~RoutingObserver() = default;

  virtual void OnBackends(std::vector<BackendTarget> backends) = 0;
  virtual void OnPeers(std::vector<PeerTarget> peers) = 0;
  virtual void OnConfiguration(
      std::shared_ptr<const Configuration> configuration) = 0;
  /// Services that have free slots at this instance, for heartbeats.
  virtual std::vector<std::string> ServicesWithFreeSlots() = 0;
  /// Number of requests in progress on a worker's backend servers.
  virtual int SlotsInUse(const std::string& worker) = 0;
  /// Burn rates of service-level objectives as measured by this instance, as
  /// JSON.
  virtual Json BurnRates() = 0;
};

/// External systems that the control core uses. They must outlive it.
struct InstancePorts {
  Executor& executor;
  KvStore& kv;
  WorkerControl& workers;
  PeerNetwork& peers;
  InstanceDirectory& directory;
  PlacementPolicy& policy;
  RoutingObserver& routes;
  EventLog& log;
};

class Instance : public PeerService,
                 private HolderListener,
                 private OwnerEnvironment {
 public:
  using OperatorDone = std::function<void(OperatorReply)>;

  Instance(const InstanceOptions& options, const InstancePorts& ports);
  ~Instance() override;

  void Start();
  /// Starts a planned shutdown: releases workers and hands over shards. Calls
  /// `done` when all workers are released and all shards are handed over (or
  /// cannot be, because the store does not answer), or when `shutdown_timeout`
  /// has elapsed.
  void BeginShutdown(Millis shutdown_timeout, std::function<void()> done);

  // PeerService:
  void Handle(const PeerRequest& request, Reply reply) override;

  /// Answers an operator's call, or forwards it to the instance that can answer
  /// it. Methods are listed in docs/ARCHITECTURE.md.
  void HandleOperatorCall(const OperatorCall& call, OperatorDone done);
  /// Records at the owner of the key's shard that `request` uses the
  /// idempotency key `key`.
  void ClaimIdempotencyKey(const std::string& key,
                           const std::string& request,
                           std::function<void(ClaimOutcome)> done);
  /// Withdraws a claim, best effort.
  void ReleaseIdempotencyKey(const std::string& key,
                             const std::string& request);

  const InstanceOptions& options() const { return options_; }
  bool leaving() const { return leaving_; }
  /// True once the instance list is known and until a planned shutdown starts.
  bool ready() const { return membership_.list_received() && !leaving_; }
  const WorkerHolder& holder() const { return holder_; }
  const Membership& membership() const { return membership_; }
  const ConfigKeeper& config() const { return *config_; }
  std::vector<ShardId> owned_shards() const;
  std::vector<const ShardOwner*> owners() const;

 private:
  struct ShardOwnership {
    std::shared_ptr<ShardOwner> owner;
    bool active = false;
    bool closing = false;
    // True from a sign that another instance may own the shard until it is
    // verified that the store still records this instance as the owner.
    bool needs_verification = false;
    bool verifying = false;
  };

  // HolderListener:
  void OnAttemptEnded(const ShardId& shard,
                      const AttemptReport& ended) override;
  void OnHeldWorkersChanged() override;

  // OwnerEnvironment:
  std::vector<HolderView> Holders() const override;
  std::vector<std::string> PossibleHolders() const override;
  Instant LastDeparture() const override;
  bool IsViewComplete() const override;
  std::vector<std::string> Workers() const override;
  void CallInstance(const std::string& instance,
                    PeerRequest request,
                    Millis timeout,
                    PeerNetwork::Callback done) override;
  const Configuration& configuration() const override;
  void LogDecision(std::string_view what,
                   const TaskId& task,
                   std::string_view detail) override;

  // Periodic work.
  void RunPeriodically(Millis interval, void (Instance::*step)());
  void FetchList();
  void SendHeartbeats();
  void Rebalance();
  std::vector<InstanceInfo> WorkersToHold(Instant now);
  void SendPendingEnds();
  void RenewRegistration();
  void Register();

  // Heartbeats.
  Heartbeat MakeHeartbeat() const;
  void OnHeartbeat(const Heartbeat& heartbeat);
  bool IsPeerSendingHeartbeats(const std::string& peer) const;
  void FetchConfigFrom(const std::string& instance);

  // Shards.
  void OpenShard(const ShardId& shard);
  bool IsStoreReachable() const;
  void CloseShard(const ShardId& shard);
  void AbandonShard(const ShardId& shard);
  void MarkAllShardsUnverified();
  void VerifyShard(const ShardId& shard);
  ShardOwner* ActiveOwner(const ShardId& shard);
  // Returns the peer whose heartbeats report the shard as owned with the
  // highest epoch; empty if no peer's do. Does not consider this instance.
  std::string FindOwningPeer(const ShardId& shard) const;

  // Attempt ends that are reported to the shards' owners.
  void SendEnds(const ShardId& shard);

  // Request routing.
  void PublishRoutes();
  void OnConfigChanged();

  // Operators' calls; see instance_operator.cpp.
  void HandleSubmitCall(const Json& body,
                        const OperatorCall& call,
                        OperatorDone done);
  void HandleJobCall(const Json& body,
                     const OperatorCall& call,
                     OperatorDone done);
  void HandleKeyCall(const Json& body,
                     const OperatorCall& call,
                     OperatorDone done);
  void HandleJobsCall(const Json& body,
                      const OperatorCall& call,
                      OperatorDone done);
  void HandleConfigApplyCall(const Json& body, OperatorDone done);
  void HandleConfigGetCall(OperatorDone done);
  void HandleWorkersCall(const OperatorCall& call, OperatorDone done);
  void HandleDrainCall(const Json& body, OperatorDone done);
  void HandleStatusCall(OperatorDone done);
  void HandleBurnCall(const OperatorCall& call, OperatorDone done);
  /// Answers a call about a job or an idempotency key as the owner of its
  /// shard.
  void AnswerAsOwner(ShardOwner& owner,
                     const OperatorCall& call,
                     const Json& body,
                     OperatorDone done);
  void ForwardToOwner(const ShardId& shard,
                      const OperatorCall& call,
                      OperatorDone done);
  void ForwardToDataCentre(const std::string& data_centre,
                           const OperatorCall& call,
                           OperatorDone done);
  void ForwardToInstance(const std::string& instance,
                         const OperatorCall& call,
                         OperatorDone done);
  /// Forwards the call to the peers of this data centre whose heartbeats are
  /// received; a call that was itself forwarded goes no further. Answers with
  /// `own`, a JSON list, and the rows of all replies in one list, and names the
  /// instances that did not reply.
  void GatherFromPeers(const OperatorCall& call, Json own, OperatorDone done);

  InstanceOptions options_;
  Executor& executor_;
  KvStore& kv_;
  PeerNetwork& peers_;
  InstanceDirectory& directory_;
  RoutingObserver& routes_;
  EventLog& log_;
  Membership membership_;
  WorkerHolder holder_;
  std::shared_ptr<ConfigKeeper> config_;
  std::map<ShardId, ShardOwnership> shards_;
  std::map<ShardId, Instant> next_open_attempt_;
  std::map<ShardId, std::map<AttemptId, AttemptReport>> unreported_ends_;
  std::set<ShardId> sending_ends_;
  std::set<std::string> fetching_config_;
  // Workers that are not assigned to this instance any more and are held only
  // until the requests in progress on their backend servers are answered.
  std::set<std::string> closing_workers_;
  bool leaving_ = false;
  bool publish_scheduled_ = false;
  uint64_t holdings_version_ = 0;
  uint64_t heartbeat_count_ = 0;
  int64_t registration_lease_ = 0;
  Instant registration_valid_until_{};
  bool registered_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Returns the index of the shard that keeps the jobs of a workspace or an
/// idempotency key; `key` is the workspace's name or the idempotency key.
uint32_t ShardIndexOf(std::string_view key, uint32_t shard_count);

}  // namespace doorwood

#endif  // DOORWOOD_INSTANCE_H_
