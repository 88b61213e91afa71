// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages between entry instances, and the interface that transports them.

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

/// A shard that the sender owns, and the epoch of its ownership.
struct OwnedShard {
  ShardId shard;
  uint64_t epoch = 0;
};

/// State that each instance sends to its peers periodically. The reply to a
/// heartbeat is a heartbeat with the receiver's state.
struct Heartbeat {
  std::string instance;
  /// Differs with each start of the process.
  uint64_t incarnation = 0;
  std::string data_centre;
  bool leaving = false;
  uint64_t config_revision = 0;
  /// Lowest configuration revision in force at any instance of the sender's
  /// data centre, as known to the sender.
  uint64_t lowest_revision = 0;
  std::vector<OwnedShard> shards;
  /// Free capacity, summed over the workers that the sender holds.
  Resources free;
  /// The largest free amount of each resource on any one worker that the sender
  /// holds. The amounts may be on different workers.
  Resources largest_free;
  /// Number of workers that the sender holds, and a counter that increases
  /// whenever its holdings change.
  uint32_t workers = 0;
  uint64_t holdings_version = 0;
  /// Workers that the sender knows to be shutting down.
  std::vector<std::string> leaving_workers;
  /// Services for which an open backend server of the sender has a free slot
  /// and no request is waiting for one; empty while the sender is leaving.
  std::vector<std::string> open_services;
  /// The sender's own address, to which peers forward HTTP requests.
  std::string http_address;
};

/// Sent by a shard's owner to a worker's holder: find capacity for an attempt
/// and start it.
struct PlaceRequest {
  ShardId shard;
  AttemptId attempt;
  TaskId task;
  TaskSpec spec;
  std::string checkpoint;
};

/// If `placed` is false, this request has not started the attempt and will not.
struct PlaceReply {
  bool placed = false;
  std::string worker;
  /// Why the attempt was not placed. Starts with `never: ` if the task could
  /// not run on any worker that the holder has acquired, even if the worker
  /// were empty.
  std::string reason;
};

/// Sent by a shard's owner to a worker's holder: stop an attempt.
struct StopRequest {
  ShardId shard;
  AttemptId attempt;
  bool take_checkpoint = false;
};

struct StopReply {
  /// False: the receiver has no such attempt.
  bool known = false;
};

/// Sent by a shard's owner to every instance of the data centre: from now on
/// refuse to place this shard's attempts below `min_attempt`, and report the
/// shard's attempts on the workers that the receiver holds.
struct CensusRequest {
  ShardId shard;
  AttemptId min_attempt;
};

/// State of one attempt, as known to the holder of its worker.
struct AttemptReport {
  AttemptId attempt;
  TaskId task;
  std::string worker;
  RunState state = RunState::kRunning;
  AttemptEnd end = AttemptEnd::kSucceeded;
  std::string checkpoint;
};

/// Time since an instance last sent a lease renewal to a worker that it does
/// not hold now, or since the last renewal before it stopped holding the
/// worker. In the latter case it may hold the worker again.
struct WorkerAge {
  std::string worker;
  Millis age{0};
};

struct CensusReply {
  std::vector<AttemptReport> reports;
  /// Workers that are held now and whose inventory is known.
  std::vector<std::string> held;
  std::vector<WorkerAge> released;
  /// How long the sender's process has been running. An earlier process of the
  /// same instance may have renewed leases until this process started.
  Millis uptime{0};
};

/// Sent by a worker's holder to a shard's owner: attempts that ended. The owner
/// answers once the ends are written to its log; the holder then orders the
/// worker to discard its records of them.
struct EndReport {
  ShardId shard;
  std::vector<AttemptReport> ended;
};

struct EndReply {
  std::vector<AttemptId> logged;
};

/// An operator's call, forwarded to the instance that can answer it.
struct OperatorCall {
  std::string method;
  /// JSON text.
  std::string body;
  /// Number of times that the call has been forwarded.
  uint32_t hops = 0;
};

struct OperatorReply {
  /// HTTP status.
  int status = 200;
  /// JSON text.
  std::string body;
};

/// Requests the configuration in force at the receiver.
struct ConfigFetch {
  /// Revision in force at the sender. The receiver answers with its
  /// configuration whatever the value is.
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

/// Sends calls to other entry instances. The callback of each call runs exactly
/// once, on the control thread, with a PeerErrc on failure.
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

/// Answers calls from other entry instances, on the control thread.
class PeerService {
 public:
  using Reply = std::function<void(PeerReply)>;

  virtual ~PeerService() = default;

  virtual void Handle(const PeerRequest& request, Reply reply) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_PEER_H_
