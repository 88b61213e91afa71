// SPDX-License-Identifier: Apache-2.0

/// \file
/// The control core of one entry instance: joins membership, worker holding,
/// shard owning and configuration, and answers peers and operators. All calls
/// on the control thread; outside systems only through ports.

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
  /// This instance, as in the platform's list.
  InstanceInfo self;
  /// Differs with each start of the process.
  uint64_t incarnation = 0;
  /// Shards of each data centre. The same on all instances, for good.
  uint32_t shard_count = 8;
  Millis heartbeat_interval{500};
  /// Every so many heartbeats go to other data centres too.
  uint64_t remote_every = 4;
  Millis list_interval{1000};
  Millis call_timeout{2000};
  /// Lifetime of this instance's registration in the key-value service.
  Millis registration{6000};
  /// Pause between two looks at what ought to be held and owned.
  Millis rebalance_interval{250};
  MembershipOptions membership;
  HolderOptions holder;
  OwnerOptions owner;
  ConfigKeeperOptions config;
};

/// Where the control core tells traffic what to use.
class RouteSink {
 public:
  virtual ~RouteSink() = default;

  virtual void OnBackends(std::vector<BackendTarget> backends) = 0;
  virtual void OnPeers(std::vector<PeerTarget> peers) = 0;
  virtual void OnConfiguration(
      std::shared_ptr<const Configuration> configuration) = 0;
  /// Services with free slots here, for heartbeats.
  virtual std::vector<std::string> OpenServices() = 0;
  /// Requests under way on a worker's backend servers.
  virtual int SlotsInUse(const std::string& worker) = 0;
  /// Burn of service-level objectives as seen by this instance, as JSON.
  virtual Json Burn() = 0;
};

struct InstancePorts {
  Executor& executor;
  KvStore& kv;
  WorkerControl& workers;
  PeerNetwork& peers;
  InstanceDirectory& directory;
  PlacementPolicy& policy;
  RouteSink& routes;
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
  /// Gives away workers and shards; `done` once that is over or `patience`
  /// has passed.
  void Leave(Millis patience, std::function<void()> done);

  // PeerService:
  void Handle(const PeerRequest& request, Reply reply) override;

  /// Answers an operator's call, here or at the instance that can. Methods
  /// are listed in docs/ARCHITECTURE.md.
  void Operate(const OperatorCall& call, OperatorDone done);
  /// Records an idempotency key with its shard's owner.
  void Claim(const std::string& key,
             const std::string& request,
             std::function<void(ClaimOutcome)> done);
  void Unclaim(const std::string& key, const std::string& request);

  const InstanceOptions& options() const { return options_; }
  bool leaving() const { return leaving_; }
  /// True once the list and a configuration or its absence are known.
  bool ready() const { return membership_.list_known() && !leaving_; }
  const WorkerHolder& holder() const { return holder_; }
  const Membership& membership() const { return membership_; }
  const ConfigKeeper& config() const { return *config_; }
  std::vector<ShardId> owned_shards() const;
  std::vector<const ShardOwner*> owners() const;

 private:
  struct Owning {
    std::shared_ptr<ShardOwner> owner;
    bool active = false;
    bool closing = false;
    // True while it is open whether the store still names this owner.
    bool in_doubt = false;
    bool verifying = false;
  };

  // HolderListener:
  void OnAttemptEnded(const ShardId& shard, const Sighting& ended) override;
  void OnHeldChanged() override;

  // OwnerEnvironment:
  std::vector<HolderView> Holders() const override;
  std::vector<std::string> PossibleHolders() const override;
  Instant LastDeparture() const override;
  bool ViewComplete() const override;
  std::vector<std::string> Workers() const override;
  void CallInstance(const std::string& instance,
                    PeerRequest request,
                    Millis timeout,
                    PeerNetwork::Callback done) override;
  const Configuration& configuration() const override;
  void LogDecision(std::string_view what,
                   const TaskId& task,
                   std::string_view detail) override;

  // Loops.
  void Every(Millis interval, void (Instance::*step)());
  void FetchList();
  void SendHeartbeats();
  void Rebalance();
  std::vector<InstanceInfo> WorkersToHold(Instant now);
  void FlushEnds();
  void RenewRegistration();
  void Register();

  // Heartbeats.
  Heartbeat MakeHeartbeat() const;
  void OnHeartbeat(const Heartbeat& heartbeat);
  bool HeardLately(const std::string& peer) const;
  void FetchConfigFrom(const std::string& instance);

  // Shards.
  void OpenShard(const ShardId& shard);
  bool StoreReachable() const;
  void CloseShard(const ShardId& shard);
  void DropShard(const ShardId& shard);
  void DoubtAllShards();
  void VerifyShard(const ShardId& shard);
  ShardOwner* ActiveOwner(const ShardId& shard);
  std::string OwnerOf(const ShardId& shard) const;

  // Ends on their way to the owners.
  void SendEnds(const ShardId& shard);

  // Traffic.
  void PublishRoutes();
  void OnConfigChanged();

  // Operators' calls; see instance_operator.cpp.
  void OperateSubmit(const Json& body,
                     const OperatorCall& call,
                     OperatorDone done);
  void OperateOnJob(const Json& body,
                    const OperatorCall& call,
                    OperatorDone done);
  void OperateOnKey(const Json& body,
                    const OperatorCall& call,
                    OperatorDone done);
  void OperateJobs(const Json& body,
                   const OperatorCall& call,
                   OperatorDone done);
  void OperateConfigApply(const Json& body, OperatorDone done);
  void OperateConfigGet(OperatorDone done);
  void OperateWorkers(const OperatorCall& call, OperatorDone done);
  void OperateDrain(const Json& body, OperatorDone done);
  void OperateStatus(OperatorDone done);
  void OperateBurn(const OperatorCall& call, OperatorDone done);
  /// Answers a call about one job or key as the owner of its shard.
  void AnswerAsOwner(ShardOwner& owner,
                     const OperatorCall& call,
                     const Json& body,
                     OperatorDone done);
  void ToOwner(const ShardId& shard,
               const OperatorCall& call,
               OperatorDone done);
  void ToDataCentre(const std::string& data_centre,
                    const OperatorCall& call,
                    OperatorDone done);
  void PassOn(const std::string& instance,
              const OperatorCall& call,
              OperatorDone done);
  /// Asks every heard instance of this data centre and joins the answers,
  /// which are JSON lists.
  void Gather(const OperatorCall& call, Json own, OperatorDone done);

  InstanceOptions options_;
  Executor& executor_;
  KvStore& kv_;
  PeerNetwork& peers_;
  InstanceDirectory& directory_;
  RouteSink& routes_;
  EventLog& log_;
  Membership membership_;
  WorkerHolder holder_;
  std::shared_ptr<ConfigKeeper> config_;
  std::map<ShardId, Owning> shards_;
  std::map<ShardId, Instant> next_open_;
  std::map<ShardId, std::map<AttemptId, Sighting>> ends_;
  std::set<ShardId> sending_ends_;
  std::set<std::string> fetching_config_;
  // Held only until the requests under way there are answered.
  std::set<std::string> closing_workers_;
  bool leaving_ = false;
  bool rebalance_soon_ = false;
  uint64_t holdings_version_ = 0;
  uint64_t beat_ = 0;
  int64_t registration_lease_ = 0;
  Instant registration_valid_until_{};
  bool registered_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// The shard that a member's jobs belong to.
uint32_t ShardOfMember(std::string_view member, uint32_t shard_count);

}  // namespace doorwood

#endif  // DOORWOOD_INSTANCE_H_
