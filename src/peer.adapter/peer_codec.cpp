// SPDX-License-Identifier: Apache-2.0

#include "peer_codec.h"

#include <algorithm>
#include <array>

namespace doorwood {
namespace {

// --- Parts ------------------------------------------------------------------

void Put(const ShardId& value, wire::Shard::Builder out) {
  out.setDataCentre(value.data_centre);
  out.setIndex(value.index);
}

ShardId Take(wire::Shard::Reader in) {
  return {in.getDataCentre(), in.getIndex()};
}

void Put(const AttemptId& value, wire::Attempt::Builder out) {
  out.setEpoch(value.epoch);
  out.setCounter(value.counter);
}

AttemptId Take(wire::Attempt::Reader in) {
  return {in.getEpoch(), in.getCounter()};
}

void Put(const TaskId& value, wire::Task::Builder out) {
  out.setJob(value.job);
  out.setName(value.name);
}

TaskId Take(wire::Task::Reader in) {
  return {in.getJob(), in.getName()};
}

void Put(const Resources& value, wire::Resources::Builder out) {
  out.setCpuMillis(value.cpu_millis);
  out.setMemoryMib(value.memory_mib);
  out.setAccelerators(value.accelerators);
}

Resources Take(wire::Resources::Reader in) {
  return {in.getCpuMillis(), in.getMemoryMib(), in.getAccelerators()};
}

void Put(const TaskSpec& value, wire::TaskSpec::Builder out) {
  out.setName(value.name);
  out.setService(value.work_class == WorkClass::kService);
  Put(value.size, out.initSize());
  auto labels = out.initLabels(value.labels.size());
  unsigned i = 0;
  for (const auto& [key, label] : value.labels) {
    labels[i].setKey(key);
    labels[i].setValue(label);
    ++i;
  }
  out.setBeside(value.beside);
  out.setOn(value.on);
  out.setYields(value.yields);
  out.setRepeatable(value.repeatable);
  out.setMaxAttempts(value.max_attempts);
  out.setPayload(value.payload);
}

TaskSpec Take(wire::TaskSpec::Reader in) {
  TaskSpec value;
  value.name = in.getName();
  value.work_class = in.getService() ? WorkClass::kService : WorkClass::kBatch;
  value.size = Take(in.getSize());
  for (const auto label : in.getLabels()) {
    value.labels[label.getKey()] = label.getValue().cStr();
  }
  value.beside = in.getBeside();
  value.on = in.getOn();
  value.yields = in.getYields();
  value.repeatable = in.getRepeatable();
  value.max_attempts = in.getMaxAttempts();
  value.payload = in.getPayload();
  return value;
}

void Put(const Sighting& value, wire::Sighting::Builder out) {
  Put(value.attempt, out.initAttempt());
  Put(value.task, out.initTask());
  out.setWorker(value.worker);
  out.setEnded(value.state == RunState::kEnded);
  out.setEnd(static_cast<uint8_t>(value.end));
  out.setCheckpoint(value.checkpoint);
}

Sighting Take(wire::Sighting::Reader in) {
  constexpr auto kLast = static_cast<uint8_t>(AttemptEnd::kLost);
  Sighting value;
  value.attempt = Take(in.getAttempt());
  value.task = Take(in.getTask());
  value.worker = in.getWorker();
  value.state = in.getEnded() ? RunState::kEnded : RunState::kRunning;
  value.end = static_cast<AttemptEnd>(std::min(in.getEnd(), kLast));
  value.checkpoint = in.getCheckpoint();
  return value;
}

void PutTexts(const std::vector<std::string>& values,
              capnp::List<capnp::Text>::Builder out) {
  for (unsigned i = 0; i < values.size(); ++i) {
    out.set(i, values[i]);
  }
}

std::vector<std::string> TakeTexts(capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> values;
  for (const auto text : in) {
    values.emplace_back(text.cStr(), text.size());
  }
  return values;
}

void Put(const OwnedShard& value, wire::OwnedShard::Builder out) {
  Put(value.shard, out.initShard());
  out.setEpoch(value.epoch);
}

void Put(const WorkerAge& value, wire::WorkerAge::Builder out) {
  out.setWorker(value.worker);
  out.setAgeMillis(value.age.count());
}

template <typename T, typename ListBuilder>
void PutList(const std::vector<T>& values, ListBuilder out) {
  for (unsigned i = 0; i < values.size(); ++i) {
    Put(values[i], out[i]);
  }
}

// --- Messages ---------------------------------------------------------------

void Put(const Heartbeat& value, wire::Heartbeat::Builder out) {
  out.setInstance(value.instance);
  out.setIncarnation(value.incarnation);
  out.setDataCentre(value.data_centre);
  out.setLeaving(value.leaving);
  out.setConfigRevision(value.config_revision);
  out.setLowestRevision(value.lowest_revision);
  PutList(value.shards, out.initShards(value.shards.size()));
  Put(value.free, out.initFree());
  Put(value.largest_room, out.initLargestRoom());
  out.setWorkers(value.workers);
  out.setHoldingsVersion(value.holdings_version);
  PutTexts(value.leaving_workers,
           out.initLeavingWorkers(value.leaving_workers.size()));
  PutTexts(value.open_services,
           out.initOpenServices(value.open_services.size()));
  out.setHttpAddress(value.http_address);
}

Heartbeat Take(wire::Heartbeat::Reader in) {
  Heartbeat value;
  value.instance = in.getInstance();
  value.incarnation = in.getIncarnation();
  value.data_centre = in.getDataCentre();
  value.leaving = in.getLeaving();
  value.config_revision = in.getConfigRevision();
  value.lowest_revision = in.getLowestRevision();
  for (const auto owned : in.getShards()) {
    value.shards.push_back({Take(owned.getShard()), owned.getEpoch()});
  }
  value.free = Take(in.getFree());
  value.largest_room = Take(in.getLargestRoom());
  value.workers = in.getWorkers();
  value.holdings_version = in.getHoldingsVersion();
  value.leaving_workers = TakeTexts(in.getLeavingWorkers());
  value.open_services = TakeTexts(in.getOpenServices());
  value.http_address = in.getHttpAddress();
  return value;
}

void Put(const PlaceRequest& value, wire::PlaceRequest::Builder out) {
  Put(value.shard, out.initShard());
  Put(value.attempt, out.initAttempt());
  Put(value.task, out.initTask());
  Put(value.spec, out.initSpec());
  out.setCheckpoint(value.checkpoint);
}

PlaceRequest Take(wire::PlaceRequest::Reader in) {
  return {Take(in.getShard()), Take(in.getAttempt()), Take(in.getTask()),
          Take(in.getSpec()), in.getCheckpoint()};
}

void Put(const PlaceReply& value, wire::PlaceReply::Builder out) {
  out.setPlaced(value.placed);
  out.setWorker(value.worker);
  out.setReason(value.reason);
}

PlaceReply Take(wire::PlaceReply::Reader in) {
  return {in.getPlaced(), in.getWorker(), in.getReason()};
}

void Put(const StopRequest& value, wire::StopRequest::Builder out) {
  Put(value.shard, out.initShard());
  Put(value.attempt, out.initAttempt());
  out.setTakeCheckpoint(value.take_checkpoint);
}

StopRequest Take(wire::StopRequest::Reader in) {
  return {Take(in.getShard()), Take(in.getAttempt()), in.getTakeCheckpoint()};
}

void Put(const StopReply& value, wire::StopReply::Builder out) {
  out.setKnown(value.known);
}

StopReply Take(wire::StopReply::Reader in) {
  return {in.getKnown()};
}

void Put(const CensusRequest& value, wire::CensusRequest::Builder out) {
  Put(value.shard, out.initShard());
  Put(value.floor, out.initFloor());
}

CensusRequest Take(wire::CensusRequest::Reader in) {
  return {Take(in.getShard()), Take(in.getFloor())};
}

void Put(const CensusReply& value, wire::CensusReply::Builder out) {
  PutList(value.sightings, out.initSightings(value.sightings.size()));
  PutTexts(value.held, out.initHeld(value.held.size()));
  PutList(value.released, out.initReleased(value.released.size()));
  out.setUptimeMillis(value.uptime.count());
}

CensusReply Take(wire::CensusReply::Reader in) {
  CensusReply value;
  for (const auto sighting : in.getSightings()) {
    value.sightings.push_back(Take(sighting));
  }
  value.held = TakeTexts(in.getHeld());
  for (const auto age : in.getReleased()) {
    value.released.push_back({age.getWorker(), Millis(age.getAgeMillis())});
  }
  value.uptime = Millis(in.getUptimeMillis());
  return value;
}

void Put(const EndReport& value, wire::EndReport::Builder out) {
  Put(value.shard, out.initShard());
  PutList(value.ended, out.initEnded(value.ended.size()));
}

EndReport Take(wire::EndReport::Reader in) {
  EndReport value;
  value.shard = Take(in.getShard());
  for (const auto sighting : in.getEnded()) {
    value.ended.push_back(Take(sighting));
  }
  return value;
}

void Put(const EndReply& value, wire::EndReply::Builder out) {
  PutList(value.logged, out.initLogged(value.logged.size()));
}

EndReply Take(wire::EndReply::Reader in) {
  EndReply value;
  for (const auto attempt : in.getLogged()) {
    value.logged.push_back(Take(attempt));
  }
  return value;
}

void Put(const OperatorCall& value, wire::OperatorCall::Builder out) {
  out.setMethod(value.method);
  out.setBody(value.body);
  out.setHops(value.hops);
}

OperatorCall Take(wire::OperatorCall::Reader in) {
  return {in.getMethod(), in.getBody(), in.getHops()};
}

void Put(const OperatorReply& value, wire::OperatorReply::Builder out) {
  out.setStatus(value.status);
  out.setBody(value.body);
}

OperatorReply Take(wire::OperatorReply::Reader in) {
  return {in.getStatus(), in.getBody()};
}

void Put(const ConfigFetch& value, wire::ConfigFetch::Builder out) {
  out.setNewerThan(value.newer_than);
}

void Put(const ConfigReply& value, wire::ConfigReply::Builder out) {
  out.setRevision(value.revision);
  out.setValue(value.value);
}

ConfigReply Take(wire::ConfigReply::Reader in) {
  return {in.getRevision(), in.getValue()};
}

// Picks the union member for each kind of message.
struct RequestBuilder {
  wire::Request::Builder out;

  void operator()(const Heartbeat& v) { Put(v, out.initHeartbeat()); }
  void operator()(const PlaceRequest& v) { Put(v, out.initPlace()); }
  void operator()(const StopRequest& v) { Put(v, out.initStop()); }
  void operator()(const CensusRequest& v) { Put(v, out.initCensus()); }
  void operator()(const EndReport& v) { Put(v, out.initEnds()); }
  void operator()(const OperatorCall& v) { Put(v, out.initOperate()); }
  void operator()(const ConfigFetch& v) { Put(v, out.initConfig()); }
};

struct ReplyBuilder {
  wire::Reply::Builder out;

  void operator()(const Heartbeat& v) { Put(v, out.initHeartbeat()); }
  void operator()(const PlaceReply& v) { Put(v, out.initPlace()); }
  void operator()(const StopReply& v) { Put(v, out.initStop()); }
  void operator()(const CensusReply& v) { Put(v, out.initCensus()); }
  void operator()(const EndReply& v) { Put(v, out.initEnds()); }
  void operator()(const OperatorReply& v) { Put(v, out.initOperate()); }
  void operator()(const ConfigReply& v) { Put(v, out.initConfig()); }
};

}  // namespace

void Build(const PeerRequest& request, wire::Request::Builder out) {
  std::visit(RequestBuilder{out}, request);
}

void Build(const PeerReply& reply, wire::Reply::Builder out) {
  std::visit(ReplyBuilder{out}, reply);
}

PeerRequest Parse(wire::Request::Reader in) {
  switch (in.which()) {
    case wire::Request::HEARTBEAT:
      return Take(in.getHeartbeat());
    case wire::Request::PLACE:
      return Take(in.getPlace());
    case wire::Request::STOP:
      return Take(in.getStop());
    case wire::Request::CENSUS:
      return Take(in.getCensus());
    case wire::Request::ENDS:
      return Take(in.getEnds());
    case wire::Request::OPERATE:
      return Take(in.getOperate());
    case wire::Request::CONFIG:
      return ConfigFetch{in.getConfig().getNewerThan()};
  }
  return Heartbeat();
}

PeerReply Parse(wire::Reply::Reader in) {
  switch (in.which()) {
    case wire::Reply::HEARTBEAT:
      return Take(in.getHeartbeat());
    case wire::Reply::PLACE:
      return Take(in.getPlace());
    case wire::Reply::STOP:
      return Take(in.getStop());
    case wire::Reply::CENSUS:
      return Take(in.getCensus());
    case wire::Reply::ENDS:
      return Take(in.getEnds());
    case wire::Reply::OPERATE:
      return Take(in.getOperate());
    case wire::Reply::CONFIG:
      return Take(in.getConfig());
  }
  return Heartbeat();
}

std::string_view KindOf(const PeerRequest& request) {
  constexpr std::array<std::string_view, 7> kKinds = {
      "heartbeat", "place", "stop", "census", "ends", "operate", "config"};
  return kKinds[request.index()];
}

}  // namespace doorwood
