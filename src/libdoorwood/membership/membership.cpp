// SPDX-License-Identifier: Apache-2.0

#include "doorwood/membership.h"

#include <xxhash.h>

#include <algorithm>

namespace doorwood {
namespace {

// Heartbeats between data centres are less frequent (see
// `InstanceOptions::remote_heartbeat_every` and `HeartbeatTargets`), so their
// timeout is longer by this factor.
constexpr int kRemoteTimeoutFactor = 10;

uint64_t Weight(std::string_view key, std::string_view candidate) {
  std::string text(key);
  text += '|';
  text += candidate;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

std::string ChooseByRendezvousHash(std::string_view key,
                                   std::span<const std::string> candidates) {
  std::string best;
  uint64_t best_weight = 0;
  for (const std::string& candidate : candidates) {
    const uint64_t weight = Weight(key, candidate);
    if (best.empty() || weight > best_weight) {
      best = candidate;
      best_weight = weight;
    }
  }
  return best;
}

Membership::Membership(const MembershipOptions& options,
                       InstanceInfo self,
                       Instant started)
    : options_(options),
      self_(std::move(self)),
      started_(started),
      last_departure_(started) {}

void Membership::OnPlatformList(std::vector<InstanceInfo> list, Instant now) {
  UpdateLastDeparture(list, now);
  list_ = std::move(list);
  list_received_ = true;
  for (const InstanceInfo& info : list_) {
    if (info.role == InstanceRole::kWorker && IsInThisDataCentre(info)) {
      workers_last_listed_[info.id] = now;
    }
  }
  std::erase_if(workers_last_listed_, [&](const auto& item) {
    return item.second + options_.worker_retention < now;
  });
}

// An instance has departed once it is no longer listed and its heartbeats have
// timed out. Either event may be the later one, so both update
// `last_departure_`: this function handles the list, and `Expire` the
// heartbeats.
void Membership::UpdateLastDeparture(const std::vector<InstanceInfo>& list,
                                     Instant now) {
  for (const InstanceInfo& old : list_) {
    if (old.role != InstanceRole::kEntry || !IsInThisDataCentre(old)) {
      continue;
    }
    const bool listed = std::any_of(
        list.begin(), list.end(),
        [&](const InstanceInfo& info) { return info.id == old.id; });
    if (!listed) {
      last_departure_ = now;
    }
  }
}

void Membership::OnHeartbeat(const Heartbeat& heartbeat, Instant now) {
  if (heartbeat.instance.empty() || heartbeat.instance == self_.id) {
    return;
  }
  PeerState& peer = peers_[heartbeat.instance];
  const bool restarted = peer.heartbeat.incarnation != heartbeat.incarnation;
  if (restarted) {
    peer.first_heartbeat_at = now;
  }
  peer.heartbeat = heartbeat;
  peer.last_heartbeat_at = now;
}

void Membership::Expire(Instant now) {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const bool same_data_centre =
        peer->second.heartbeat.data_centre == self_.data_centre;
    const int timeout_factor = same_data_centre ? 1 : kRemoteTimeoutFactor;
    const Instant end = peer->second.last_heartbeat_at +
                        timeout_factor * options_.heartbeat_timeout;
    if (end >= now) {
      ++peer;
      continue;
    }
    if (same_data_centre) {
      last_departure_ = now;
    }
    peer = peers_.erase(peer);
  }
}

std::vector<std::string> Membership::Candidates(Instant now) const {
  std::vector<std::string> candidates;
  // This instance waits twice the settle time, so that instances that started
  // at the same time are candidates by then. Otherwise it would first take all
  // workers and shards.
  if (!leaving_ && now >= started_ + 2 * options_.settle_time) {
    candidates.push_back(self_.id);
  }
  for (const auto& [id, peer] : peers_) {
    const bool same_data_centre =
        peer.heartbeat.data_centre == self_.data_centre;
    const bool settled = now >= peer.first_heartbeat_at + options_.settle_time;
    if (same_data_centre && settled && !peer.heartbeat.leaving) {
      candidates.push_back(id);
    }
  }
  return candidates;
}

std::vector<InstanceInfo> Membership::AssignedWorkers(Instant now) const {
  const std::vector<std::string> candidates = Candidates(now);
  const std::vector<std::string> leaving = LeavingWorkers();
  std::vector<InstanceInfo> assigned;
  for (const InstanceInfo& info : list_) {
    if (info.role != InstanceRole::kWorker || !IsInThisDataCentre(info)) {
      continue;
    }
    if (ChooseByRendezvousHash(info.id, candidates) != self_.id) {
      continue;
    }
    InstanceInfo worker = info;
    worker.leaving =
        std::find(leaving.begin(), leaving.end(), info.id) != leaving.end();
    assigned.push_back(std::move(worker));
  }
  return assigned;
}

std::vector<ShardId> Membership::AssignedShards(uint32_t shard_count,
                                                Instant now) const {
  const std::vector<std::string> candidates = Candidates(now);
  std::vector<ShardId> assigned;
  for (uint32_t index = 0; index < shard_count; ++index) {
    const ShardId shard{self_.data_centre, index};
    if (ChooseByRendezvousHash(ToString(shard), candidates) == self_.id) {
      assigned.push_back(shard);
    }
  }
  return assigned;
}

std::vector<std::string> Membership::PossibleHolders() const {
  std::set<std::string> possible = {self_.id};
  for (const InstanceInfo& info : list_) {
    if (info.role == InstanceRole::kEntry && IsInThisDataCentre(info)) {
      possible.insert(info.id);
    }
  }
  for (const auto& [id, peer] : peers_) {
    if (peer.heartbeat.data_centre == self_.data_centre) {
      possible.insert(id);
    }
  }
  return {possible.begin(), possible.end()};
}

std::vector<std::string> Membership::RecentWorkers(Instant now) const {
  std::vector<std::string> workers;
  for (const auto& [id, last_listed] : workers_last_listed_) {
    if (last_listed + options_.worker_retention >= now) {
      workers.push_back(id);
    }
  }
  return workers;
}

std::vector<std::string> Membership::LeavingWorkers() const {
  std::set<std::string> leaving;
  for (const InstanceInfo& info : list_) {
    if (info.role == InstanceRole::kWorker && info.leaving &&
        IsInThisDataCentre(info)) {
      leaving.insert(info.id);
    }
  }
  for (const auto& [id, peer] : peers_) {
    const auto& reported = peer.heartbeat.leaving_workers;
    if (peer.heartbeat.data_centre == self_.data_centre) {
      leaving.insert(reported.begin(), reported.end());
    }
  }
  return {leaving.begin(), leaving.end()};
}

std::vector<InstanceInfo> Membership::HeartbeatTargets(uint64_t round) const {
  std::vector<InstanceInfo> targets;
  std::map<std::string, std::vector<InstanceInfo>> others;
  for (const InstanceInfo& info : list_) {
    if (info.role != InstanceRole::kEntry || info.id == self_.id) {
      continue;
    }
    if (IsInThisDataCentre(info)) {
      targets.push_back(info);
    } else {
      others[info.data_centre].push_back(info);
    }
  }
  for (const auto& [data_centre, instances] : others) {
    targets.push_back(instances[round % instances.size()]);
  }
  return targets;
}

std::vector<InstanceInfo> Membership::EntryInstancesOf(
    std::string_view data_centre) const {
  std::vector<InstanceInfo> instances;
  for (const InstanceInfo& info : list_) {
    const bool match = info.role == InstanceRole::kEntry &&
                       info.data_centre == data_centre && info.id != self_.id;
    if (match) {
      instances.push_back(info);
    }
  }
  std::stable_partition(
      instances.begin(), instances.end(),
      [&](const InstanceInfo& info) { return peers_.contains(info.id); });
  return instances;
}

std::string Membership::PeerAddressOf(std::string_view instance) const {
  for (const InstanceInfo& info : list_) {
    if (info.id == instance) {
      return info.peer_address;
    }
  }
  return "";
}

bool Membership::IsInThisDataCentre(const InstanceInfo& info) const {
  return info.data_centre == self_.data_centre;
}

}  // namespace doorwood
