# SPDX-License-Identifier: Apache-2.0
# Messages between entry instances; src/include/doorwood/peer.h documents their
# meaning. After a change, run `make generate` and commit the generated files.
@0xc3a9d2f05b7e4181;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("doorwood::wire");

struct Shard {
  dataCentre @0 :Text;
  index @1 :UInt32;
}

struct Attempt {
  epoch @0 :UInt64;
  counter @1 :UInt64;
}

struct Task {
  job @0 :Text;
  name @1 :Text;
}

struct Resources {
  cpuMillis @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :Int64;
}

struct Label {
  key @0 :Text;
  value @1 :Text;
}

struct TaskSpec {
  name @0 :Text;
  service @1 :Bool;
  size @2 :Resources;
  labels @3 :List(Label);
  beside @4 :Text;
  on @5 :Text;
  yields @6 :Int32;
  repeatable @7 :Bool;
  maxAttempts @8 :Int32;
  payload @9 :Text;
}

struct OwnedShard {
  shard @0 :Shard;
  epoch @1 :UInt64;
}

struct Heartbeat {
  instance @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  leaving @3 :Bool;
  configRevision @4 :UInt64;
  lowestRevision @5 :UInt64;
  shards @6 :List(OwnedShard);
  free @7 :Resources;
  largestRoom @8 :Resources;
  workers @9 :UInt32;
  holdingsVersion @10 :UInt64;
  leavingWorkers @11 :List(Text);
  openServices @12 :List(Text);
  httpAddress @13 :Text;
}

struct PlaceRequest {
  shard @0 :Shard;
  attempt @1 :Attempt;
  task @2 :Task;
  spec @3 :TaskSpec;
  checkpoint @4 :Text;
}

struct PlaceReply {
  placed @0 :Bool;
  worker @1 :Text;
  reason @2 :Text;
}

struct StopRequest {
  shard @0 :Shard;
  attempt @1 :Attempt;
  takeCheckpoint @2 :Bool;
}

struct StopReply {
  known @0 :Bool;
}

struct CensusRequest {
  shard @0 :Shard;
  floor @1 :Attempt;
}

struct Sighting {
  attempt @0 :Attempt;
  task @1 :Task;
  worker @2 :Text;
  ended @3 :Bool;
  end @4 :UInt8;
  checkpoint @5 :Text;
}

struct WorkerAge {
  worker @0 :Text;
  ageMillis @1 :Int64;
}

struct CensusReply {
  sightings @0 :List(Sighting);
  held @1 :List(Text);
  released @2 :List(WorkerAge);
  uptimeMillis @3 :Int64;
}

struct EndReport {
  shard @0 :Shard;
  ended @1 :List(Sighting);
}

struct EndReply {
  logged @0 :List(Attempt);
}

struct OperatorCall {
  method @0 :Text;
  body @1 :Text;
  hops @2 :UInt32;
}

struct OperatorReply {
  status @0 :Int32;
  body @1 :Text;
}

struct ConfigFetch {
  newerThan @0 :UInt64;
}

struct ConfigReply {
  revision @0 :UInt64;
  value @1 :Text;
}

struct Request {
  union {
    heartbeat @0 :Heartbeat;
    place @1 :PlaceRequest;
    stop @2 :StopRequest;
    census @3 :CensusRequest;
    ends @4 :EndReport;
    operate @5 :OperatorCall;
    config @6 :ConfigFetch;
  }
}

struct Reply {
  union {
    heartbeat @0 :Heartbeat;
    place @1 :PlaceReply;
    stop @2 :StopReply;
    census @3 :CensusReply;
    ends @4 :EndReply;
    operate @5 :OperatorReply;
    config @6 :ConfigReply;
  }
}

interface Peer {
  call @0 (request :Request) -> (reply :Reply);
}

# Bootstrap interface of a connection: exchanges the token for the peer
# interface.
interface Gate {
  login @0 (token :Text) -> (peer :Peer);
}
