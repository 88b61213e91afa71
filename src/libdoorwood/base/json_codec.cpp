// SPDX-License-Identifier: Apache-2.0

#include "doorwood/json_codec.h"

#include <array>

namespace doorwood {
namespace {

constexpr std::array<std::string_view, 3> kRoles = {"entry", "worker",
                                                    "backend"};
constexpr std::array<std::string_view, 3> kOrders = {"start", "stop", "forget"};

// Copying and writing JSON take room on the stack for each level, so deeper
// text is refused. No message of ours nests half as deep.
constexpr int kMostDepth = 64;

// The count may be wrong for text that is no JSON: the parser refuses that.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_text = false;
  for (size_t place = 0; place < text.size(); ++place) {
    const char sign = text[place];
    if (sign == '"') {
      in_text = !in_text;
    } else if (in_text) {
      place += sign == '\\' ? 1 : 0;
    } else if (sign == '[' || sign == '{') {
      if (++depth > kMostDepth) {
        return true;
      }
    } else if (sign == ']' || sign == '}') {
      --depth;
    }
  }
  return false;
}

template <size_t kSize>
size_t IndexOf(const std::array<std::string_view, kSize>& words,
               std::string_view word) {
  for (size_t i = 0; i < kSize; ++i) {
    if (words[i] == word) {
      return i;
    }
  }
  return 0;
}

// Writes a member only where it says something, to keep messages small.
template <typename T>
void PutUnless(Json& json, const char* key, const T& value, const T& silent) {
  if (!(value == silent)) {
    json[key] = value;
  }
}

template <typename T>
void Take(const Json& json, const char* key, T* out) {
  const auto item = json.find(key);
  if (item != json.end()) {
    item->get_to(*out);
  }
}

}  // namespace

void to_json(Json& json, const Resources& value) {
  json = Json::object();
  PutUnless<int64_t>(json, "cpu_millis", value.cpu_millis, 0);
  PutUnless<int64_t>(json, "memory_mib", value.memory_mib, 0);
  PutUnless<int64_t>(json, "accelerators", value.accelerators, 0);
}

void from_json(const Json& json, Resources& value) {
  Take(json, "cpu_millis", &value.cpu_millis);
  Take(json, "memory_mib", &value.memory_mib);
  Take(json, "accelerators", &value.accelerators);
}

void to_json(Json& json, const ShardId& value) {
  json = Json::array({value.data_centre, value.index});
}

void from_json(const Json& json, ShardId& value) {
  json.at(0).get_to(value.data_centre);
  json.at(1).get_to(value.index);
}

void to_json(Json& json, const AttemptId& value) {
  json = Json::array({value.epoch, value.counter});
}

void from_json(const Json& json, AttemptId& value) {
  json.at(0).get_to(value.epoch);
  json.at(1).get_to(value.counter);
}

void to_json(Json& json, const TaskId& value) {
  json = Json::array({value.job, value.name});
}

void from_json(const Json& json, TaskId& value) {
  json.at(0).get_to(value.job);
  json.at(1).get_to(value.name);
}

void to_json(Json& json, const TaskSpec& value) {
  const TaskSpec plain;
  json = Json{{"name", value.name}, {"size", value.size}};
  if (value.work_class == WorkClass::kService) {
    json["class"] = "service";
  }
  PutUnless(json, "labels", value.labels, plain.labels);
  PutUnless(json, "beside", value.beside, plain.beside);
  PutUnless(json, "on", value.on, plain.on);
  PutUnless(json, "yields", value.yields, plain.yields);
  PutUnless(json, "repeatable", value.repeatable, plain.repeatable);
  PutUnless(json, "max_attempts", value.max_attempts, plain.max_attempts);
  PutUnless(json, "payload", value.payload, plain.payload);
}

void from_json(const Json& json, TaskSpec& value) {
  Take(json, "name", &value.name);
  Take(json, "size", &value.size);
  const bool service = json.value("class", "") == "service";
  value.work_class = service ? WorkClass::kService : WorkClass::kBatch;
  Take(json, "labels", &value.labels);
  Take(json, "beside", &value.beside);
  Take(json, "on", &value.on);
  Take(json, "yields", &value.yields);
  Take(json, "repeatable", &value.repeatable);
  Take(json, "max_attempts", &value.max_attempts);
  Take(json, "payload", &value.payload);
}

void to_json(Json& json, const JobSpec& value) {
  json = Json{{"id", value.id},
              {"member", value.member},
              {"home", value.home},
              {"tasks", value.tasks}};
}

void from_json(const Json& json, JobSpec& value) {
  Take(json, "id", &value.id);
  Take(json, "member", &value.member);
  Take(json, "home", &value.home);
  Take(json, "tasks", &value.tasks);
}

void to_json(Json& json, const InstanceInfo& value) {
  const InstanceInfo plain;
  json = Json{{"id", value.id},
              {"role", kRoles[static_cast<size_t>(value.role)]},
              {"data_centre", value.data_centre},
              {"address", value.address}};
  PutUnless(json, "rack", value.rack, plain.rack);
  PutUnless(json, "peer_address", value.peer_address, plain.peer_address);
  PutUnless(json, "leaving", value.leaving, plain.leaving);
  PutUnless(json, "labels", value.labels, plain.labels);
  PutUnless(json, "service", value.service, plain.service);
  PutUnless(json, "worker", value.worker, plain.worker);
  PutUnless(json, "slots", value.slots, plain.slots);
  PutUnless(json, "connections", value.connections, plain.connections);
}

void from_json(const Json& json, InstanceInfo& value) {
  Take(json, "id", &value.id);
  const std::string role = json.value("role", "worker");
  value.role = static_cast<InstanceRole>(IndexOf(kRoles, role));
  Take(json, "data_centre", &value.data_centre);
  Take(json, "rack", &value.rack);
  Take(json, "address", &value.address);
  Take(json, "peer_address", &value.peer_address);
  Take(json, "leaving", &value.leaving);
  Take(json, "labels", &value.labels);
  Take(json, "service", &value.service);
  Take(json, "worker", &value.worker);
  Take(json, "slots", &value.slots);
  Take(json, "connections", &value.connections);
}

void to_json(Json& json, const WorkerTask& value) {
  json = Json{{"shard", value.shard},
              {"attempt", value.attempt},
              {"task", value.task},
              {"spec", value.spec}};
  if (value.state == RunState::kEnded) {
    json["end"] = ToString(value.end);
  }
  PutUnless(json, "checkpoint", value.checkpoint, std::string());
}

void from_json(const Json& json, WorkerTask& value) {
  Take(json, "shard", &value.shard);
  Take(json, "attempt", &value.attempt);
  Take(json, "task", &value.task);
  Take(json, "spec", &value.spec);
  const auto end = json.find("end");
  if (end != json.end()) {
    value.state = RunState::kEnded;
    value.end = ParseAttemptEnd(end->get<std::string>());
  }
  Take(json, "checkpoint", &value.checkpoint);
}

void to_json(Json& json, const WorkerInventory& value) {
  json = Json{{"epoch", value.epoch},
              {"boot", value.boot},
              {"capacity", value.capacity},
              {"fences", value.fences},
              {"tasks", value.tasks}};
}

void from_json(const Json& json, WorkerInventory& value) {
  Take(json, "epoch", &value.epoch);
  Take(json, "boot", &value.boot);
  Take(json, "capacity", &value.capacity);
  Take(json, "fences", &value.fences);
  Take(json, "tasks", &value.tasks);
}

void to_json(Json& json, const WorkerOrder& value) {
  json = Json{{"order", kOrders[static_cast<size_t>(value.kind)]},
              {"shard", value.shard},
              {"attempt", value.attempt}};
  if (value.kind == OrderKind::kStart) {
    json["task"] = value.task;
    json["spec"] = value.spec;
    PutUnless(json, "checkpoint", value.checkpoint, std::string());
  }
  if (value.take_checkpoint) {
    json["take_checkpoint"] = true;
  }
}

void from_json(const Json& json, WorkerOrder& value) {
  const std::string order = json.value("order", "");
  value.kind = static_cast<OrderKind>(IndexOf(kOrders, order));
  Take(json, "shard", &value.shard);
  Take(json, "attempt", &value.attempt);
  Take(json, "task", &value.task);
  Take(json, "spec", &value.spec);
  Take(json, "checkpoint", &value.checkpoint);
  Take(json, "take_checkpoint", &value.take_checkpoint);
}

void to_json(Json& json, const WorkerAnswer& value) {
  json = Json{{"boot", value.boot}};
  for (const OrderResult& result : value.results) {
    json["results"].push_back(Json{{"attempt", result.attempt},
                                   {"accepted", result.accepted},
                                   {"reason", result.reason}});
  }
  if (!value.ended.empty()) {
    json["ended"] = value.ended;
  }
}

void from_json(const Json& json, WorkerAnswer& value) {
  Take(json, "boot", &value.boot);
  Take(json, "ended", &value.ended);
  const auto results = json.find("results");
  if (results == json.end()) {
    return;
  }
  for (const Json& item : *results) {
    OrderResult result;
    Take(item, "attempt", &result.attempt);
    Take(item, "accepted", &result.accepted);
    Take(item, "reason", &result.reason);
    value.results.push_back(std::move(result));
  }
}

std::optional<Json> ParseJson(std::string_view text) {
  if (IsTooDeep(text)) {
    return std::nullopt;
  }
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return std::nullopt;
  }
  return json;
}

AttemptEnd ParseAttemptEnd(std::string_view word) {
  for (const AttemptEnd end : {AttemptEnd::kSucceeded, AttemptEnd::kFailed,
                               AttemptEnd::kStopped, AttemptEnd::kNotStarted}) {
    if (ToString(end) == word) {
      return end;
    }
  }
  return AttemptEnd::kLost;
}

}  // namespace doorwood
