// SPDX-License-Identifier: Apache-2.0

#include "doorwood/instance.h"

#include <xxhash.h>

#include <algorithm>

#include "doorwood/error.h"

namespace doorwood {
namespace {

constexpr Millis kEndReportInterval{500};
constexpr Millis kRegistrationRetry{500};
constexpr int kRenewalsPerLifetime = 3;

}  // namespace

uint32_t ShardIndexOf(std::string_view key, uint32_t shard_count) {
  return XXH3_64bits(key.data(), key.size()) % shard_count;
}

// --- Start and planned shutdown ---

Instance::Instance(const InstanceOptions& options, const InstancePorts& ports)
    : options_(options),
      executor_(ports.executor),
      kv_(ports.kv),
      peers_(ports.peers),
      directory_(ports.directory),
      routes_(ports.routes),
      log_(ports.log),
      membership_(options.membership, options.self, ports.executor.Now()),
      holder_(options.holder,
              ports.executor,
              ports.workers,
              ports.policy,
              *this),
      config_(std::make_shared<ConfigKeeper>(options.config,
                                             ports.executor,
                                             ports.kv,
                                             [this]() { OnConfigChanged(); })) {
}

Instance::~Instance() {
  *alive_ = false;
  config_->Stop();
  for (auto& [shard, ownership] : shards_) {
    ownership.owner->StopImmediately();
  }
}

void Instance::Start() {
  log_.Write("info", "instance", "started",
             {{"instance", options_.self.id},
              {"data_centre", options_.self.data_centre}});
  config_->Start();
  Register();
  RunPeriodically(options_.list_interval, &Instance::FetchList);
  RunPeriodically(options_.heartbeat_interval, &Instance::SendHeartbeats);
  RunPeriodically(options_.rebalance_interval, &Instance::Rebalance);
  RunPeriodically(kEndReportInterval, &Instance::SendPendingEnds);
}

// Calls `step` immediately and then every `interval` while this object exists.
void Instance::RunPeriodically(Millis interval, void (Instance::*step)()) {
  (this->*step)();
  executor_.Schedule(interval, [this, alive = alive_, interval, step]() {
    if (*alive) {
      RunPeriodically(interval, step);
    }
  });
}

void Instance::BeginShutdown(Millis shutdown_timeout,
                             std::function<void()> done) {
  leaving_ = true;
  membership_.set_leaving();
  log_.Write("info", "instance", "leaving", Json::object());
  SendHeartbeats();
  Rebalance();
  const Instant deadline = executor_.Now() + shutdown_timeout;
  auto check_released = std::make_shared<std::function<void()>>();
  *check_released = [this, alive = alive_, deadline, done, check_released]() {
    if (!*alive) {
      return;
    }
    // Without the store no shard can be handed over. A shard's next owner waits
    // until this instance's registration expires.
    const bool shards_released = shards_.empty() || !IsStoreReachable();
    const bool all_released =
        shards_released && holder_.DescribeHeldWorkers().empty();
    if (all_released || executor_.Now() >= deadline) {
      // Notifies the peers at once of the workers and shards that this instance
      // has released.
      SendHeartbeats();
      done();
      *check_released = nullptr;
      return;
    }
    Rebalance();
    executor_.Schedule(Millis(50), [check_released]() {
      if (*check_released) {
        (*check_released)();
      }
    });
  };
  executor_.Post([check_released]() { (*check_released)(); });
}

// --- Registration in the key-value service ---

void Instance::Register() {
  const Instant sent = executor_.Now();
  kv_.GrantLease(options_.registration_lifetime, [this, alive = alive_, sent](
                                                     std::error_code error,
                                                     int64_t lease) {
    if (!*alive) {
      return;
    }
    if (error) {
      executor_.Schedule(kRegistrationRetry, [this, alive]() {
        if (*alive) {
          Register();
        }
      });
      return;
    }
    registration_lease_ = lease;
    registration_valid_until_ =
        sent + options_.registration_lifetime - options_.holder.drift;
    const std::string key =
        AliveKey(options_.self.data_centre, options_.self.id);
    kv_.Read(key, [this, alive, key, lease](std::error_code, KvEntry entry) {
      if (!*alive) {
        return;
      }
      const KvWrite write{.key = key,
                          .value = std::to_string(options_.incarnation),
                          .expected_version = entry.version,
                          .lease = lease,
                          .priority = KvPriority::kLease};
      kv_.Write(write, [this, alive](std::error_code write_error, int64_t) {
        if (!*alive) {
          return;
        }
        registered_ = !write_error;
        executor_.Schedule(
            write_error ? kRegistrationRetry
                        : options_.registration_lifetime / kRenewalsPerLifetime,
            [this, alive]() {
              if (*alive) {
                registered_ ? RenewRegistration() : Register();
              }
            });
      });
    });
  });
}

void Instance::RenewRegistration() {
  const Instant sent = executor_.Now();
  kv_.RenewLease(registration_lease_, [this, alive = alive_, sent](
                                          std::error_code error, int64_t) {
    if (!*alive) {
      return;
    }
    if (error == make_error_code(KvErrc::kNotFound)) {
      registered_ = false;
      MarkAllShardsUnverified();
      Register();
      return;
    }
    if (!error) {
      registration_valid_until_ =
          sent + options_.registration_lifetime - options_.holder.drift;
    }
    const Millis delay =
        error ? kRegistrationRetry
              : options_.registration_lifetime / kRenewalsPerLifetime;
    executor_.Schedule(delay, [this, alive]() {
      if (*alive) {
        RenewRegistration();
      }
    });
  });
}

// --- Membership ---

void Instance::FetchList() {
  directory_.Fetch([this, alive = alive_](std::error_code error,
                                          std::vector<InstanceInfo> list) {
    if (!*alive || error) {
      return;
    }
    const bool first = !membership_.list_received();
    membership_.OnPlatformList(std::move(list), executor_.Now());
    if (first) {
      SendHeartbeats();
    }
  });
}

Heartbeat Instance::MakeHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.instance = options_.self.id;
  heartbeat.incarnation = options_.incarnation;
  heartbeat.data_centre = options_.self.data_centre;
  heartbeat.leaving = leaving_;
  heartbeat.config_revision = config_->revision();
  heartbeat.lowest_revision = config_->revision();
  for (const auto& [id, peer] : membership_.peers()) {
    if (peer.heartbeat.data_centre == options_.self.data_centre) {
      heartbeat.lowest_revision =
          std::min(heartbeat.lowest_revision, peer.heartbeat.config_revision);
    }
  }
  for (const auto& [shard, ownership] : shards_) {
    if (ownership.active) {
      heartbeat.shards.push_back({shard, ownership.owner->epoch()});
    }
  }
  heartbeat.free = holder_.free();
  heartbeat.largest_free = holder_.largest_free();
  heartbeat.workers = static_cast<uint32_t>(holder_.held_worker_count());
  heartbeat.holdings_version = holdings_version_;
  heartbeat.leaving_workers = membership_.LeavingWorkers();
  heartbeat.open_services =
      leaving_ ? std::vector<std::string>() : routes_.ServicesWithFreeSlots();
  heartbeat.http_address = options_.self.address;
  return heartbeat;
}

void Instance::SendHeartbeats() {
  const Heartbeat heartbeat = MakeHeartbeat();
  ++heartbeat_count_;
  const bool remote = heartbeat_count_ % options_.remote_heartbeat_every == 0;
  for (const InstanceInfo& target :
       membership_.HeartbeatTargets(heartbeat_count_)) {
    const bool here = target.data_centre == options_.self.data_centre;
    if (!here && !remote) {
      continue;
    }
    if (here && !leaving_ && IsPeerSendingHeartbeats(target.id)) {
      continue;
    }
    peers_.Call(
        target.peer_address, heartbeat, options_.call_timeout,
        [this, alive = alive_](std::error_code error, const PeerReply& reply) {
          const auto* peer_heartbeat = std::get_if<Heartbeat>(&reply);
          if (*alive && !error && peer_heartbeat != nullptr) {
            OnHeartbeat(*peer_heartbeat);
          }
        });
  }
}

// The reply to a heartbeat contains the receiver's state, so only one instance
// of a pair in a data centre needs to send: the one whose id sorts first. The
// other one sends only if it is leaving or has received no heartbeat within the
// heartbeat interval.
bool Instance::IsPeerSendingHeartbeats(const std::string& peer) const {
  const auto known = membership_.peers().find(peer);
  const bool peer_sends = peer < options_.self.id;
  return peer_sends && known != membership_.peers().end() &&
         executor_.Now() - known->second.last_heartbeat_at <=
             options_.heartbeat_interval;
}

void Instance::OnHeartbeat(const Heartbeat& heartbeat) {
  membership_.OnHeartbeat(heartbeat, executor_.Now());
  for (const OwnedShard& owned : heartbeat.shards) {
    holder_.Fence(owned.shard, {owned.epoch, 0});
    const auto own = shards_.find(owned.shard);
    const bool replaced = own != shards_.end() && own->second.active &&
                          own->second.owner->epoch() < owned.epoch;
    if (replaced) {
      own->second.needs_verification = true;
    }
  }
  if (heartbeat.config_revision > config_->revision()) {
    FetchConfigFrom(heartbeat.instance);
  }
}

void Instance::FetchConfigFrom(const std::string& instance) {
  if (!fetching_config_.insert(instance).second) {
    return;
  }
  CallInstance(instance, ConfigFetch{config_->revision()},
               options_.call_timeout,
               [this, alive = alive_, instance](std::error_code error,
                                                const PeerReply& reply) {
                 if (!*alive) {
                   return;
                 }
                 fetching_config_.erase(instance);
                 const auto* config = std::get_if<ConfigReply>(&reply);
                 if (!error && config != nullptr) {
                   config_->AdoptIfNewer(config->value);
                 }
               });
}

// --- Held workers and owned shards ---

void Instance::Rebalance() {
  const Instant now = executor_.Now();
  membership_.Expire(now);
  if (leaving_ || membership_.list_received()) {
    holder_.SetAssignedWorkers(WorkersToHold(now));
  }
  holder_.SetDrainedWorkers(config_->drained());

  std::vector<ShardId> wanted;
  if (!leaving_) {
    wanted = membership_.AssignedShards(options_.shard_count, now);
  }
  std::vector<ShardId> unwanted;
  for (const auto& [shard, ownership] : shards_) {
    if (std::find(wanted.begin(), wanted.end(), shard) == wanted.end()) {
      unwanted.push_back(shard);
    }
  }
  for (const ShardId& shard : unwanted) {
    CloseShard(shard);
  }
  for (const ShardId& shard : wanted) {
    if (!shards_.contains(shard)) {
      OpenShard(shard);
    }
  }
  for (const ShardId& shard : owned_shards()) {
    VerifyShard(shard);
    shards_[shard].owner->OnHoldersChanged();
  }
  PublishRoutes();
}

// Returns the workers assigned to this instance, and those that it must
// continue to hold for now: while requests run on a worker's backend servers,
// this instance counts their slots, and another holder would count them as
// free.
std::vector<InstanceInfo> Instance::WorkersToHold(Instant now) {
  std::vector<InstanceInfo> workers;
  if (!leaving_) {
    workers = membership_.AssignedWorkers(now);
  }
  const std::set<std::string> closing = std::move(closing_workers_);
  closing_workers_.clear();
  for (const InstanceInfo& info : membership_.list()) {
    const bool wanted = std::any_of(
        workers.begin(), workers.end(),
        [&](const InstanceInfo& worker) { return worker.id == info.id; });
    const bool held = !wanted && info.role == InstanceRole::kWorker &&
                      holder_.IsHeld(info.id);
    // A worker is released one call of Rebalance after its backend servers were
    // closed at the earliest, so that a request that took a slot just before is
    // counted.
    const bool idle =
        closing.contains(info.id) && routes_.SlotsInUse(info.id) == 0;
    if (held && !idle) {
      workers.push_back(info);
      closing_workers_.insert(info.id);
    }
  }
  return workers;
}

// --- Reporting attempt ends to the shards' owners ---

void Instance::OnAttemptEnded(const ShardId& shard,
                              const AttemptReport& ended) {
  unreported_ends_[shard][ended.attempt] = ended;
  executor_.Post([this, alive = alive_, shard]() {
    if (*alive) {
      SendEnds(shard);
    }
  });
}

void Instance::SendPendingEnds() {
  std::vector<ShardId> waiting;
  for (const auto& [shard, ends] : unreported_ends_) {
    if (!ends.empty()) {
      waiting.push_back(shard);
    }
  }
  for (const ShardId& shard : waiting) {
    SendEnds(shard);
  }
}

void Instance::SendEnds(const ShardId& shard) {
  const auto ends = unreported_ends_.find(shard);
  const bool nothing = ends == unreported_ends_.end() || ends->second.empty();
  if (nothing || sending_ends_.contains(shard)) {
    return;
  }
  const std::string owner =
      ActiveOwner(shard) != nullptr ? options_.self.id : FindOwningPeer(shard);
  if (owner.empty()) {
    return;
  }
  EndReport report{shard, {}};
  for (const auto& [attempt, attempt_report] : ends->second) {
    report.ended.push_back(attempt_report);
  }
  sending_ends_.insert(shard);
  CallInstance(owner, std::move(report), options_.call_timeout,
               [this, alive = alive_, shard](std::error_code error,
                                             const PeerReply& reply) {
                 if (!*alive) {
                   return;
                 }
                 sending_ends_.erase(shard);
                 const auto* answer = std::get_if<EndReply>(&reply);
                 if (error || answer == nullptr) {
                   return;
                 }
                 for (const AttemptId& attempt : answer->logged) {
                   unreported_ends_[shard].erase(attempt);
                 }
                 holder_.AcknowledgeEnds(shard, answer->logged);
               });
}

// --- HolderListener, OwnerEnvironment ---

void Instance::OnHeldWorkersChanged() {
  ++holdings_version_;
  if (publish_scheduled_) {
    return;
  }
  publish_scheduled_ = true;
  executor_.Post([this, alive = alive_]() {
    if (*alive) {
      publish_scheduled_ = false;
      PublishRoutes();
    }
  });
}

std::vector<HolderView> Instance::Holders() const {
  std::vector<HolderView> holders;
  if (!leaving_) {
    holders.push_back(
        {.instance = options_.self.id,
         .incarnation = options_.incarnation,
         .workers = static_cast<uint32_t>(holder_.held_worker_count()),
         .holdings_version = holdings_version_,
         .free = holder_.free(),
         .largest_free = holder_.largest_free()});
  }
  for (const auto& [id, peer] : membership_.peers()) {
    const Heartbeat& heartbeat = peer.heartbeat;
    if (heartbeat.data_centre != options_.self.data_centre ||
        heartbeat.leaving) {
      continue;
    }
    holders.push_back({.instance = id,
                       .incarnation = heartbeat.incarnation,
                       .workers = heartbeat.workers,
                       .holdings_version = heartbeat.holdings_version,
                       .free = heartbeat.free,
                       .largest_free = heartbeat.largest_free});
  }
  return holders;
}

std::vector<std::string> Instance::PossibleHolders() const {
  return membership_.PossibleHolders();
}

Instant Instance::LastDeparture() const {
  return membership_.last_departure();
}

bool Instance::IsViewComplete() const {
  return membership_.list_received();
}

std::vector<std::string> Instance::Workers() const {
  return membership_.RecentWorkers(executor_.Now());
}

void Instance::CallInstance(const std::string& instance,
                            PeerRequest request,
                            Millis timeout,
                            PeerNetwork::Callback done) {
  if (instance == options_.self.id) {
    executor_.Post([this, alive = alive_, request = std::move(request),
                    done = std::move(done)]() {
      if (*alive) {
        Handle(request,
               [done](PeerReply reply) { done({}, std::move(reply)); });
      }
    });
    return;
  }
  const std::string address = membership_.PeerAddressOf(instance);
  if (address.empty()) {
    executor_.Post(
        [done = std::move(done)]() { done(PeerErrc::kNotSent, PeerReply()); });
    return;
  }
  peers_.Call(address, std::move(request), timeout, std::move(done));
}

const Configuration& Instance::configuration() const {
  return config_->configuration();
}

void Instance::LogDecision(std::string_view what,
                           const TaskId& task,
                           std::string_view detail) {
  log_.Write("info", "decision", what,
             {{"job", task.job}, {"task", task.name}, {"detail", detail}});
}

// --- PeerService ---

void Instance::Handle(const PeerRequest& request, Reply reply) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&request)) {
    OnHeartbeat(*heartbeat);
    reply(MakeHeartbeat());
  } else if (const auto* place = std::get_if<PlaceRequest>(&request)) {
    if (leaving_) {
      reply(PlaceReply{.placed = false, .reason = "the holder is leaving"});
      return;
    }
    reply(holder_.Place(*place));
  } else if (const auto* stop = std::get_if<StopRequest>(&request)) {
    reply(holder_.Stop(*stop));
  } else if (const auto* census = std::get_if<CensusRequest>(&request)) {
    reply(holder_.Census(*census));
  } else if (const auto* ends = std::get_if<EndReport>(&request)) {
    ShardOwner* owner = ActiveOwner(ends->shard);
    if (owner == nullptr) {
      reply(EndReply());
      return;
    }
    owner->OnEndReport(*ends, [reply](EndReply answer) { reply(answer); });
  } else if (const auto* call = std::get_if<OperatorCall>(&request)) {
    HandleOperatorCall(*call, [reply](OperatorReply answer) { reply(answer); });
  } else if (std::holds_alternative<ConfigFetch>(request)) {
    reply(ConfigReply{config_->revision(), config_->stored_value()});
  }
}

// --- Request routing ---

void Instance::OnConfigChanged() {
  log_.Write("info", "config",
             "new configuration or set of drained workers in force",
             {{"revision", config_->revision()}});
  routes_.OnConfiguration(config_->shared_configuration());
  holder_.SetDrainedWorkers(config_->drained());
}

void Instance::PublishRoutes() {
  std::vector<BackendTarget> backends;
  for (const InstanceInfo& info : membership_.list()) {
    const bool here = info.role == InstanceRole::kBackend &&
                      info.data_centre == options_.self.data_centre;
    // The instance that holds a backend server's worker counts its slots. On
    // other instances the backend server is listed as closed, so that a request
    // for its service waits for a server to open instead of being refused at
    // once.
    if (here) {
      const bool open = holder_.IsHeld(info.worker) && !info.leaving &&
                        !closing_workers_.contains(info.worker);
      backends.push_back({.id = info.id,
                          .service = info.service,
                          .worker = info.worker,
                          .address = info.address,
                          .slots = info.slots,
                          .open = open});
    }
  }
  routes_.OnBackends(std::move(backends));
  std::vector<PeerTarget> here;
  std::vector<PeerTarget> elsewhere;
  for (const auto& [id, peer] : membership_.peers()) {
    const Heartbeat& heartbeat = peer.heartbeat;
    if (heartbeat.leaving || heartbeat.open_services.empty()) {
      continue;
    }
    const bool local = heartbeat.data_centre == options_.self.data_centre;
    (local ? here : elsewhere)
        .push_back({id, heartbeat.http_address, heartbeat.open_services});
  }
  routes_.OnPeers(here.empty() ? std::move(elsewhere) : std::move(here));
}

}  // namespace doorwood
