// SPDX-License-Identifier: Apache-2.0

#include "peer_codec.h"

#include <algorithm>
#include <array>

namespace doorwood {
namespace {

// --- Components of messages --------------------------------------------------

void Encode(const ShardId& value, wire::Shard::Builder out) {
  out.setDataCentre(value.data_centre);
  out.setIndex(value.index);
}

ShardId Decode(wire::Shard::Reader in) {
  return {in.getDataCentre(), in.getIndex()};
}

void Encode(const AttemptId& value, wire::Attempt::Builder out) {
  out.setEpoch(value.epoch);
  out.setCounter(value.counter);
}

AttemptId Decode(wire::Attempt::Reader in) {
  return {in.getEpoch(), in.getCounter()};
}

void Encode(const TaskId& value, wire::Task::Builder out) {
  out.setJob(value.job);
  out.setName(value.name);
}

TaskId Decode(wire::Task::Reader in) {
  return {in.getJob(), in.getName()};
}

void Encode(const Resources& value, wire::Resources::Builder out) {
  out.setCpuMillis(value.cpu_millis);
  out.setMemoryMib(value.memory_mib);
  out.setAccelerators(value.accelerators);
}

Resources Decode(wire::Resources::Reader in) {
  return {in.getCpuMillis(), in.getMemoryMib(), in.getAccelerators()};
}

void Encode(const TaskSpec& value, wire::TaskSpec::Builder out) {
  out.setName(value.name);
  out.setService(value.work_class == WorkClass::kService);
  Encode(value.size, out.initSize());
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

TaskSpec Decode(wire::TaskSpec::Reader in) {
  TaskSpec value;
  value.name = in.getName();
  value.work_class = in.getService() ? WorkClass::kService : WorkClass::kBatch;
  value.size = Decode(in.getSize());
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

void Encode(const AttemptReport& value, wire::Sighting::Builder out) {
  Encode(value.attempt, out.initAttempt());
  Encode(value.task, out.initTask());
  out.setWorker(value.worker);
  out.setEnded(value.state == RunState::kEnded);
  out.setEnd(static_cast<uint8_t>(value.end));
  out.setCheckpoint(value.checkpoint);
}

AttemptReport Decode(wire::Sighting::Reader in) {
  constexpr auto kLast = static_cast<uint8_t>(AttemptEnd::kLost);
  AttemptReport value;
  value.attempt = Decode(in.getAttempt());
  value.task = Decode(in.getTask());
  value.worker = in.getWorker();
  value.state = in.getEnded() ? RunState::kEnded : RunState::kRunning;
  value.end = static_cast<AttemptEnd>(std::min(in.getEnd(), kLast));
  value.checkpoint = in.getCheckpoint();
  return value;
}

void EncodeTexts(const std::vector<std::string>& values,
                 capnp::List<capnp::Text>::Builder out) {
  for (unsigned i = 0; i < values.size(); ++i) {
    out.set(i, values[i]);
  }
}

std::vector<std::string> DecodeTexts(capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> values;
  for (const auto text : in) {
    values.emplace_back(text.cStr(), text.size());
  }
  return values;
}

void Encode(const OwnedShard& value, wire::OwnedShard::Builder out) {
  Encode(value.shard, out.initShard());
  out.setEpoch(value.epoch);
}

void Encode(const WorkerAge& value, wire::WorkerAge::Builder out) {
  out.setWorker(value.worker);
  out.setAgeMillis(value.age.count());
}

template <typename T, typename ListBuilder>
void EncodeList(const std::vector<T>& values, ListBuilder out) {
  for (unsigned i = 0; i < values.size(); ++i) {
    Encode(values[i], out[i]);
  }
}

// --- Messages ---------------------------------------------------------------

void Encode(const Heartbeat& value, wire::Heartbeat::Builder out) {
  out.setInstance(value.instance);
  out.setIncarnation(value.incarnation);
  out.setDataCentre(value.data_centre);
  out.setLeaving(value.leaving);
  out.setConfigRevision(value.config_revision);
  out.setLowestRevision(value.lowest_revision);
  EncodeList(value.shards, out.initShards(value.shards.size()));
  Encode(value.free, out.initFree());
  Encode(value.largest_free, out.initLargestRoom());
  out.setWorkers(value.workers);
  out.setHoldingsVersion(value.holdings_version);
  EncodeTexts(value.leaving_workers,
              out.initLeavingWorkers(value.leaving_workers.size()));
  EncodeTexts(value.open_services,
              out.initOpenServices(value.open_services.size()));
  out.setHttpAddress(value.http_address);
}

Heartbeat Decode(wire::Heartbeat::Reader in) {
  Heartbeat value;
  value.instance = in.getInstance();
  value.incarnation = in.getIncarnation();
  value.data_centre = in.getDataCentre();
  value.leaving = in.getLeaving();
  value.config_revision = in.getConfigRevision();
  value.lowest_revision = in.getLowestRevision();
  for (const auto owned : in.getShards()) {
    value.shards.push_back({Decode(owned.getShard()), owned.getEpoch()});
  }
  value.free = Decode(in.getFree());
  value.largest_free = Decode(in.getLargestRoom());
  value.workers = in.getWorkers();
  value.holdings_version = in.getHoldingsVersion();
  value.leaving_workers = DecodeTexts(in.getLeavingWorkers());
  value.open_services = DecodeTexts(in.getOpenServices());
  value.http_address = in.getHttpAddress();
  return value;
}

void Encode(const PlaceRequest& value, wire::PlaceRequest::Builder out) {
  Encode(value.shard, out.initShard());
  Encode(value.attempt, out.initAttempt());
  Encode(value.task, out.initTask());
  Encode(value.spec, out.initSpec());
  out.setCheckpoint(value.checkpoint);
}

PlaceRequest Decode(wire::PlaceRequest::Reader in) {
  return {Decode(in.getShard()), Decode(in.getAttempt()), Decode(in.getTask()),
          Decode(in.getSpec()), in.getCheckpoint()};
}

void Encode(const PlaceReply& value, wire::PlaceReply::Builder out) {
  out.setPlaced(value.placed);
  out.setWorker(value.worker);
  out.setReason(value.reason);
}

PlaceReply Decode(wire::PlaceReply::Reader in) {
  return {in.getPlaced(), in.getWorker(), in.getReason()};
}

void Encode(const StopRequest& value, wire::StopRequest::Builder out) {
  Encode(value.shard, out.initShard());
  Encode(value.attempt, out.initAttempt());
  out.setTakeCheckpoint(value.take_checkpoint);
}

StopRequest Decode(wire::StopRequest::Reader in) {
  return {Decode(in.getShard()), Decode(in.getAttempt()),
          in.getTakeCheckpoint()};
}

void Encode(const StopReply& value, wire::StopReply::Builder out) {
  out.setKnown(value.known);
}

StopReply Decode(wire::StopReply::Reader in) {
  return {in.getKnown()};
}

void Encode(const CensusRequest& value, wire::CensusRequest::Builder out) {
  Encode(value.shard, out.initShard());
  Encode(value.min_attempt, out.initFloor());
}

CensusRequest Decode(wire::CensusRequest::Reader in) {
  return {Decode(in.getShard()), Decode(in.getFloor())};
}

void Encode(const CensusReply& value, wire::CensusReply::Builder out) {
  EncodeList(value.reports, out.initSightings(value.reports.size()));
  EncodeTexts(value.held, out.initHeld(value.held.size()));
  EncodeList(value.released, out.initReleased(value.released.size()));
  out.setUptimeMillis(value.uptime.count());
}

CensusReply Decode(wire::CensusReply::Reader in) {
  CensusReply value;
  for (const auto report : in.getSightings()) {
    value.reports.push_back(Decode(report));
  }
  value.held = DecodeTexts(in.getHeld());
  for (const auto age : in.getReleased()) {
    value.released.push_back({age.getWorker(), Millis(age.getAgeMillis())});
  }
  value.uptime = Millis(in.getUptimeMillis());
  return value;
}

void Encode(const EndReport& value, wire::EndReport::Builder out) {
  Encode(value.shard, out.initShard());
  EncodeList(value.ended, out.initEnded(value.ended.size()));
}

EndReport Decode(wire::EndReport::Reader in) {
  EndReport value;
  value.shard = Decode(in.getShard());
  for (const auto report : in.getEnded()) {
    value.ended.push_back(Decode(report));
  }
  return value;
}

void Encode(const EndReply& value, wire::EndReply::Builder out) {
  EncodeList(value.logged, out.initLogged(value.logged.size()));
}

EndReply Decode(wire::EndReply::Reader in) {
  EndReply value;
  for (const auto attempt : in.getLogged()) {
    value.logged.push_back(Decode(attempt));
  }
  return value;
}

void Encode(const OperatorCall& value, wire::OperatorCall::Builder out) {
  out.setMethod(value.method);
  out.setBody(value.body);
  out.setHops(value.hops);
}

OperatorCall Decode(wire::OperatorCall::Reader in) {
  return {in.getMethod(), in.getBody(), in.getHops()};
}

void Encode(const OperatorReply& value, wire::OperatorReply::Builder out) {
  out.setStatus(value.status);
  out.setBody(value.body);
}

OperatorReply Decode(wire::OperatorReply::Reader in) {
  return {in.getStatus(), in.getBody()};
}

void Encode(const ConfigFetch& value, wire::ConfigFetch::Builder out) {
  out.setNewerThan(value.newer_than);
}

void Encode(const ConfigReply& value, wire::ConfigReply::Builder out) {
  out.setRevision(value.revision);
  out.setValue(value.value);
}

ConfigReply Decode(wire::ConfigReply::Reader in) {
  return {in.getRevision(), in.getValue()};
}

// Sets the union member that corresponds to the kind of message.
struct RequestBuilder {
  wire::Request::Builder out;

  void operator()(const Heartbeat& v) { Encode(v, out.initHeartbeat()); }
  void operator()(const PlaceRequest& v) { Encode(v, out.initPlace()); }
  void operator()(const StopRequest& v) { Encode(v, out.initStop()); }
  void operator()(const CensusRequest& v) { Encode(v, out.initCensus()); }
  void operator()(const EndReport& v) { Encode(v, out.initEnds()); }
  void operator()(const OperatorCall& v) { Encode(v, out.initOperate()); }
  void operator()(const ConfigFetch& v) { Encode(v, out.initConfig()); }
};

struct ReplyBuilder {
  wire::Reply::Builder out;

  void operator()(const Heartbeat& v) { Encode(v, out.initHeartbeat()); }
  void operator()(const PlaceReply& v) { Encode(v, out.initPlace()); }
  void operator()(const StopReply& v) { Encode(v, out.initStop()); }
  void operator()(const CensusReply& v) { Encode(v, out.initCensus()); }
  void operator()(const EndReply& v) { Encode(v, out.initEnds()); }
  void operator()(const OperatorReply& v) { Encode(v, out.initOperate()); }
  void operator()(const ConfigReply& v) { Encode(v, out.initConfig()); }
};

}  // namespace

void EncodeMessage(const PeerRequest& request, wire::Request::Builder out) {
  std::visit(RequestBuilder{out}, request);
}

void EncodeMessage(const PeerReply& reply, wire::Reply::Builder out) {
  std::visit(ReplyBuilder{out}, reply);
}

PeerRequest DecodeMessage(wire::Request::Reader in) {
  switch (in.which()) {
    case wire::Request::HEARTBEAT:
      return Decode(in.getHeartbeat());
    case wire::Request::PLACE:
      return Decode(in.getPlace());
    case wire::Request::STOP:
      return Decode(in.getStop());
    case wire::Request::CENSUS:
      return Decode(in.getCensus());
    case wire::Request::ENDS:
      return Decode(in.getEnds());
    case wire::Request::OPERATE:
      return Decode(in.getOperate());
    case wire::Request::CONFIG:
      return ConfigFetch{in.getConfig().getNewerThan()};
  }
  return Heartbeat();
}

PeerReply DecodeMessage(wire::Reply::Reader in) {
  switch (in.which()) {
    case wire::Reply::HEARTBEAT:
      return Decode(in.getHeartbeat());
    case wire::Reply::PLACE:
      return Decode(in.getPlace());
    case wire::Reply::STOP:
      return Decode(in.getStop());
    case wire::Reply::CENSUS:
      return Decode(in.getCensus());
    case wire::Reply::ENDS:
      return Decode(in.getEnds());
    case wire::Reply::OPERATE:
      return Decode(in.getOperate());
    case wire::Reply::CONFIG:
      return Decode(in.getConfig());
  }
  return Heartbeat();
}

std::string_view KindOf(const PeerRequest& request) {
  constexpr std::array<std::string_view, 7> kKinds = {
      "heartbeat", "place", "stop", "census", "ends", "operate", "config"};
  return kKinds[request.index()];
}

}  // namespace doorwood
