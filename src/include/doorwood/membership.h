// SPDX-License-Identifier: Apache-2.0

/// \file
/// Membership of entry instances and workers: combines the platform's lagging
/// list with heartbeats between entry instances, and derives which instance
/// should hold which worker and own which shard. Design:
/// docs/design/membership.md.

#ifndef DOORWOOD_MEMBERSHIP_H_
#define DOORWOOD_MEMBERSHIP_H_

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/peer.h"
#include "doorwood/types.h"

namespace doorwood {

struct MembershipOptions {
  /// A peer of this data centre is removed after this long without a heartbeat;
  /// a peer of another data centre after ten times as long.
  Millis heartbeat_timeout{2000};
  /// A peer becomes a candidate holder and owner only this long after the first
  /// heartbeat of its process since `Expire` last removed the peer, so that an
  /// instance that repeatedly appears and disappears does not cause
  /// reassignments of workers and shards. This instance becomes a candidate
  /// twice this long after its own start.
  Millis settle_time{1000};
  /// How long `RecentWorkers` still returns a worker after the last received
  /// platform list that contained it. `AssignedWorkers` drops it with the first
  /// list without it.
  Millis worker_retention{20000};
};

/// Returns the candidate that `key` is assigned to by rendezvous (highest
/// random weight) hashing; empty if there are no candidates. When a candidate
/// is removed, only its own keys are reassigned.
std::string ChooseByRendezvousHash(std::string_view key,
                                   std::span<const std::string> candidates);

/// Another entry instance and its newest heartbeat. `first_heartbeat_at` is the
/// time of the first heartbeat of its current process since
/// `Membership::Expire` last removed the instance.
struct PeerState {
  Heartbeat heartbeat;
  Instant first_heartbeat_at{};
  Instant last_heartbeat_at{};
};

/// All methods must be called on the control thread; `now` is that thread's
/// clock.
class Membership {
 public:
  Membership(const MembershipOptions& options,
             InstanceInfo self,
             Instant started);

  /// Replaces the platform's list.
  void OnPlatformList(std::vector<InstanceInfo> list, Instant now);
  /// Stores the newest state of a peer, of this data centre or another.
  void OnHeartbeat(const Heartbeat& heartbeat, Instant now);
  /// Removes peers whose heartbeats have timed out.
  void Expire(Instant now);
  void set_leaving() { leaving_ = true; }

  bool list_received() const { return list_received_; }
  const std::vector<InstanceInfo>& list() const { return list_; }
  const std::map<std::string, PeerState>& peers() const { return peers_; }

  /// Instances of this data centre that may hold workers and own shards; may
  /// include this one.
  std::vector<std::string> Candidates(Instant now) const;
  /// Workers that this instance should hold; leaving ones are marked.
  std::vector<InstanceInfo> AssignedWorkers(Instant now) const;
  /// Shards of this data centre that this instance should own.
  std::vector<ShardId> AssignedShards(uint32_t shard_count, Instant now) const;
  /// Instances of this data centre that may be running: this one, and those
  /// that send heartbeats or are in the platform's list.
  std::vector<std::string> PossibleHolders() const;
  /// When this process last noticed that an entry instance of this data centre
  /// had left the platform's list, or that its heartbeats had timed out; the
  /// start of this instance if neither has happened.
  Instant last_departure() const { return last_departure_; }
  /// Workers of this data centre that were in a platform list received within
  /// the last `MembershipOptions::worker_retention`.
  std::vector<std::string> RecentWorkers(Instant now) const;
  /// Workers of this data centre that the platform's list or a peer reports as
  /// leaving.
  std::vector<std::string> LeavingWorkers() const;
  /// Entry instances in the platform's list to send heartbeats to: all others
  /// of this data centre, and one of each other data centre: of its n instances
  /// in the order of the list, the one at index `round` modulo n.
  std::vector<InstanceInfo> HeartbeatTargets(uint64_t round) const;
  /// Entry instances of `data_centre` other than this one; those that send
  /// heartbeats come first.
  std::vector<InstanceInfo> EntryInstancesOf(
      std::string_view data_centre) const;
  /// Address for calls to an instance; empty if unknown.
  std::string PeerAddressOf(std::string_view instance) const;

 private:
  bool IsInThisDataCentre(const InstanceInfo& info) const;
  void UpdateLastDeparture(const std::vector<InstanceInfo>& list, Instant now);

  MembershipOptions options_;
  InstanceInfo self_;
  Instant started_;
  bool leaving_ = false;
  bool list_received_ = false;
  std::vector<InstanceInfo> list_;
  std::map<std::string, PeerState> peers_;
  std::map<std::string, Instant> workers_last_listed_;
  Instant last_departure_;
};

}  // namespace doorwood

#endif  // DOORWOOD_MEMBERSHIP_H_
