// SPDX-License-Identifier: Apache-2.0

/// \file
/// Who is there: joins the platform's lagging list with heartbeats between
/// entry instances, and derives who ought to hold which worker and shard.
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
  /// An instance not heard for this long counts as gone.
  Millis heartbeat_timeout{2000};
  /// An instance counts as a holder and owner only once it has been heard for
  /// this long, so that one that comes and goes moves nothing.
  Millis settle{1000};
  /// How long a worker that left the platform's list is remembered.
  Millis worker_memory{20000};
};

/// Highest random weight: of `candidates`, the one that `key` belongs to.
/// When one candidate goes, only its own keys move. Empty without candidates.
std::string Rendezvous(std::string_view key,
                       std::span<const std::string> candidates);

/// Another entry instance, as last heard.
struct PeerState {
  Heartbeat heartbeat;
  Instant first_heard{};
  Instant last_heard{};
};

/// All calls on the control thread; `now` is that thread's clock.
class Membership {
 public:
  Membership(const MembershipOptions& options,
             InstanceInfo self,
             Instant started);

  void OnList(std::vector<InstanceInfo> list, Instant now);
  /// Keeps the newest state of a peer, of this data centre or another.
  void OnHeartbeat(const Heartbeat& heartbeat, Instant now);
  /// Forgets peers that were not heard for too long.
  void Expire(Instant now);
  void set_leaving() { leaving_ = true; }

  bool list_known() const { return list_known_; }
  const std::vector<InstanceInfo>& list() const { return list_; }
  const std::map<std::string, PeerState>& peers() const { return peers_; }

  /// Instances of this data centre that may hold and own, this one included.
  std::vector<std::string> Candidates(Instant now) const;
  /// Workers that this instance ought to hold; leaving ones are marked.
  std::vector<InstanceInfo> WantedWorkers(Instant now) const;
  /// Shards of this data centre that this instance ought to own.
  std::vector<ShardId> WantedShards(uint32_t shard_count, Instant now) const;
  /// Heard, or in the platform's list; this data centre only.
  std::vector<std::string> PossibleHolders() const;
  Instant last_departure() const { return last_departure_; }
  /// Workers of this data centre listed now or lately.
  std::vector<std::string> RecentWorkers(Instant now) const;
  /// Workers seen leaving, by this instance or a peer.
  std::vector<std::string> LeavingWorkers() const;
  /// Entry instances to send heartbeats to: all others of this data centre,
  /// and one of each other data centre. `turn` picks another one each time.
  std::vector<InstanceInfo> HeartbeatTargets(uint64_t turn) const;
  /// Entry instances of another data centre, heard ones first.
  std::vector<InstanceInfo> EntryInstancesOf(
      std::string_view data_centre) const;
  /// Address for calls to an instance; empty if not known.
  std::string PeerAddressOf(std::string_view instance) const;

 private:
  bool IsHere(const InstanceInfo& info) const;
  void NoteDepartures(const std::vector<InstanceInfo>& list, Instant now);

  MembershipOptions options_;
  InstanceInfo self_;
  Instant started_;
  bool leaving_ = false;
  bool list_known_ = false;
  std::vector<InstanceInfo> list_;
  std::map<std::string, PeerState> peers_;
  std::map<std::string, Instant> workers_seen_;
  Instant last_departure_;
};

}  // namespace doorwood

#endif  // DOORWOOD_MEMBERSHIP_H_
