// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages between entry instances, and the port that carries them.

#ifndef DOORWOOD_PEER_H_
#define DOORWOOD_PEER_H_

#include <functional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include "doorwood/types.h"
#include "doorwood/worker.h"

namespace doorwood {

/// A shard that the sender owns, and the epoch at which it does.
struct OwnedShard {
  ShardId shard;
  uint64_t epoch = 0;
};

/// State that each instance repeats to its peers. Sent as a request and, with
/// the receiver's state, as the reply.
struct Heartbeat {
  std::string instance;
  /// Differs with each start of the process.
  uint64_t incarnation = 0;
  std::string data_centre;
  bool leaving = false;
  uint64_t config_revision = 0;
  /// Lowest revision that the sender knows of in its data centre.
  uint64_t lowest_revision = 0;
  std::vector<OwnedShard> shards;
  /// Room for batch work on the sender's workers.
  Resources free;
  /// The largest room on one worker of the sender's.
  Resources largest_room;
  /// Workers that the sender holds, and a number that rises whenever that set
  /// changes.
  uint32_t workers = 0;
  uint64_t holdings_version = 0;
  /// Workers that the sender has seen leaving.
  std::vector<std::string> leaving_workers;
  /// Services for which the sender has backend servers with open slots.
  std::vector<std::string> open_services;
  /// Address for requests passed on by a peer.
  std::string http_address;
};

/// Owner to holder: find room for an attempt and start it.
struct PlaceRequest {
  ShardId shard;
  AttemptId attempt;
  TaskId task;
  TaskSpec spec;
  std::string checkpoint;
};

/// `placed` false: the holder surely did and will not start the attempt.
struct PlaceReply {
  bool placed = false;
  std::string worker;
  std::string reason;
};

/// Owner to holder: stop an attempt.
struct StopRequest {
  ShardId shard;
  AttemptId attempt;
  bool take_checkpoint = false;
};

struct StopReply {
  bool known = false;
};

/// Owner to every instance of the data centre: refuse this shard's attempts
/// below `floor` from now on, and tell what is known of the rest.
struct CensusRequest {
  ShardId shard;
  AttemptId floor;
};

/// One attempt as its holder knows it.
struct Sighting {
  AttemptId attempt;
  TaskId task;
  std::string worker;
  RunState state = RunState::kRunning;
  AttemptEnd end = AttemptEnd::kSucceeded;
  std::string checkpoint;
};

/// How long ago an instance last sent a renewal to a worker that it does not
/// hold any more.
struct WorkerAge {
  std::string worker;
  Millis age{0};
};

struct CensusReply {
  std::vector<Sighting> sightings;
  /// Workers held now, inventory taken.
  std::vector<std::string> held;
  std::vector<WorkerAge> released;
  /// How long the sender's process has been running. An earlier process under
  /// its name may have renewed leases until then.
  Millis uptime{0};
};

/// Holder to owner: attempts that ended. The owner answers once the end is
/// in its log; the holder then lets the worker forget it.
struct EndReport {
  ShardId shard;
  std::vector<Sighting> ended;
};

struct EndReply {
  std::vector<AttemptId> logged;
};

/// An operator's call, passed on to the instance that can answer it.
struct OperatorCall {
  std::string method;
  /// JSON text.
  std::string body;
  /// How often the call has been passed on.
  uint32_t hops = 0;
};

struct OperatorReply {
  /// HTTP status.
  int status = 200;
  /// JSON text.
  std::string body;
};

/// Asks for the configuration in force at the receiver.
struct ConfigFetch {
  uint64_t newer_than = 0;
};

struct ConfigReply {
  uint64_t revision = 0;
  std::string value;
};

using PeerRequest = std::variant<Heartbeat,
                                 PlaceRequest,
                                 StopRequest,
                                 CensusRequest,
                                 EndReport,
                                 OperatorCall,
                                 ConfigFetch>;
using PeerReply = std::variant<Heartbeat,
                               PlaceReply,
                               StopReply,
                               CensusReply,
                               EndReply,
                               OperatorReply,
                               ConfigReply>;

/// Sends calls to other entry instances. Calls finish on the control thread,
/// exactly once, with a PeerErrc on failure.
class PeerNetwork {
 public:
  using Callback = std::function<void(std::error_code, PeerReply)>;

  virtual ~PeerNetwork() = default;

  /// `address` is the receiver's `InstanceInfo::peer_address`.
  virtual void Call(const std::string& address,
                    PeerRequest request,
                    Millis timeout,
                    Callback done) = 0;
};

/// Answers calls of other entry instances, on the control thread.
class PeerService {
 public:
  using Reply = std::function<void(PeerReply)>;

  virtual ~PeerService() = default;

  virtual void Handle(const PeerRequest& request, Reply reply) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_PEER_H_
