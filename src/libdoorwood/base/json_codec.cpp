// SPDX-License-Identifier: Apache-2.0

#include "doorwood/json_codec.h"

#include <array>

namespace doorwood {
namespace {

constexpr std::array<std::string_view, 3> kRoles = {"entry", "worker",
                                                    "backend"};
constexpr std::array<std::string_view, 3> kOrders = {"start", "stop", "forget"};

// Copying and serializing JSON use stack space for each nesting level, so
// deeper text is rejected. Messages of this system use less than half this
// depth.
constexpr int kMaxDepth = 64;

// The depth may be wrong for text that is not valid JSON, which the parser
// rejects.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t position = 0; position < text.size(); ++position) {
    const char c = text[position];
    if (c == '"') {
      in_string = !in_string;
    } else if (in_string) {
      position += c == '\\' ? 1 : 0;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

// Returns 0, the first name, for an unknown name.
template <size_t kSize>
size_t IndexOrZero(const std::array<std::string_view, kSize>& names,
                   std::string_view name) {
  for (size_t i = 0; i < kSize; ++i) {
    if (names[i] == name) {
      return i;
    }
  }
  return 0;
}

// Writes a field only if it differs from its default, to keep messages small.
template <typename T>
void WriteUnlessDefault(Json& json,
                        const char* key,
                        const T& value,
                        const T& default_value) {
  if (!(value == default_value)) {
    json[key] = value;
  }
}

template <typename T>
void ReadIfPresent(const Json& json, const char* key, T* out) {
  const auto item = json.find(key);
  if (item != json.end()) {
    item->get_to(*out);
  }
}

}  // namespace

void to_json(Json& json, const Resources& value) {
  json = Json::object();
  WriteUnlessDefault<int64_t>(json, "cpu_millis", value.cpu_millis, 0);
  WriteUnlessDefault<int64_t>(json, "memory_mib", value.memory_mib, 0);
  WriteUnlessDefault<int64_t>(json, "accelerators", value.accelerators, 0);
}

void from_json(const Json& json, Resources& value) {
  ReadIfPresent(json, "cpu_millis", &value.cpu_millis);
  ReadIfPresent(json, "memory_mib", &value.memory_mib);
  ReadIfPresent(json, "accelerators", &value.accelerators);
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
  const TaskSpec defaults;
  json = Json{{"name", value.name}, {"size", value.size}};
  if (value.work_class == WorkClass::kService) {
    json["class"] = "service";
  }
  WriteUnlessDefault(json, "labels", value.labels, defaults.labels);
  WriteUnlessDefault(json, "beside", value.beside, defaults.beside);
  WriteUnlessDefault(json, "on", value.on, defaults.on);
  WriteUnlessDefault(json, "yields", value.yields, defaults.yields);
  WriteUnlessDefault(json, "repeatable", value.repeatable, defaults.repeatable);
  WriteUnlessDefault(json, "max_attempts", value.max_attempts,
                     defaults.max_attempts);
  WriteUnlessDefault(json, "payload", value.payload, defaults.payload);
}

void from_json(const Json& json, TaskSpec& value) {
  ReadIfPresent(json, "name", &value.name);
  ReadIfPresent(json, "size", &value.size);
  const bool service = json.value("class", "") == "service";
  value.work_class = service ? WorkClass::kService : WorkClass::kBatch;
  ReadIfPresent(json, "labels", &value.labels);
  ReadIfPresent(json, "beside", &value.beside);
  ReadIfPresent(json, "on", &value.on);
  ReadIfPresent(json, "yields", &value.yields);
  ReadIfPresent(json, "repeatable", &value.repeatable);
  ReadIfPresent(json, "max_attempts", &value.max_attempts);
  ReadIfPresent(json, "payload", &value.payload);
}

void to_json(Json& json, const JobSpec& value) {
  json = Json{{"id", value.id},
              {"member", value.member},
              {"home", value.home},
              {"tasks", value.tasks}};
}

void from_json(const Json& json, JobSpec& value) {
  ReadIfPresent(json, "id", &value.id);
  ReadIfPresent(json, "member", &value.member);
  ReadIfPresent(json, "home", &value.home);
  ReadIfPresent(json, "tasks", &value.tasks);
}

void to_json(Json& json, const InstanceInfo& value) {
  const InstanceInfo defaults;
  json = Json{{"id", value.id},
              {"role", kRoles[static_cast<size_t>(value.role)]},
              {"data_centre", value.data_centre},
              {"address", value.address}};
  WriteUnlessDefault(json, "rack", value.rack, defaults.rack);
  WriteUnlessDefault(json, "peer_address", value.peer_address,
                     defaults.peer_address);
  WriteUnlessDefault(json, "leaving", value.leaving, defaults.leaving);
  WriteUnlessDefault(json, "labels", value.labels, defaults.labels);
  WriteUnlessDefault(json, "service", value.service, defaults.service);
  WriteUnlessDefault(json, "worker", value.worker, defaults.worker);
  WriteUnlessDefault(json, "slots", value.slots, defaults.slots);
  WriteUnlessDefault(json, "connections", value.connections,
                     defaults.connections);
}

void from_json(const Json& json, InstanceInfo& value) {
  ReadIfPresent(json, "id", &value.id);
  const std::string role = json.value("role", "worker");
  value.role = static_cast<InstanceRole>(IndexOrZero(kRoles, role));
  ReadIfPresent(json, "data_centre", &value.data_centre);
  ReadIfPresent(json, "rack", &value.rack);
  ReadIfPresent(json, "address", &value.address);
  ReadIfPresent(json, "peer_address", &value.peer_address);
  ReadIfPresent(json, "leaving", &value.leaving);
  ReadIfPresent(json, "labels", &value.labels);
  ReadIfPresent(json, "service", &value.service);
  ReadIfPresent(json, "worker", &value.worker);
  ReadIfPresent(json, "slots", &value.slots);
  ReadIfPresent(json, "connections", &value.connections);
}

void to_json(Json& json, const WorkerTask& value) {
  json = Json{{"shard", value.shard},
              {"attempt", value.attempt},
              {"task", value.task},
              {"spec", value.spec}};
  if (value.state == RunState::kEnded) {
    json["end"] = ToString(value.end);
  }
  WriteUnlessDefault(json, "checkpoint", value.checkpoint, std::string());
}

void from_json(const Json& json, WorkerTask& value) {
  ReadIfPresent(json, "shard", &value.shard);
  ReadIfPresent(json, "attempt", &value.attempt);
  ReadIfPresent(json, "task", &value.task);
  ReadIfPresent(json, "spec", &value.spec);
  const auto end = json.find("end");
  if (end != json.end()) {
    value.state = RunState::kEnded;
    value.end = ParseAttemptEnd(end->get<std::string>());
  }
  ReadIfPresent(json, "checkpoint", &value.checkpoint);
}

void to_json(Json& json, const WorkerInventory& value) {
  json = Json{{"epoch", value.epoch},
              {"boot", value.boot_id},
              {"capacity", value.capacity},
              {"fences", value.rejects_stale_epochs},
              {"tasks", value.tasks}};
}

void from_json(const Json& json, WorkerInventory& value) {
  ReadIfPresent(json, "epoch", &value.epoch);
  ReadIfPresent(json, "boot", &value.boot_id);
  ReadIfPresent(json, "capacity", &value.capacity);
  ReadIfPresent(json, "fences", &value.rejects_stale_epochs);
  ReadIfPresent(json, "tasks", &value.tasks);
}

void to_json(Json& json, const WorkerOrder& value) {
  json = Json{{"order", kOrders[static_cast<size_t>(value.kind)]},
              {"shard", value.shard},
              {"attempt", value.attempt}};
  if (value.kind == OrderKind::kStart) {
    json["task"] = value.task;
    json["spec"] = value.spec;
    WriteUnlessDefault(json, "checkpoint", value.checkpoint, std::string());
  }
  if (value.take_checkpoint) {
    json["take_checkpoint"] = true;
  }
}

void from_json(const Json& json, WorkerOrder& value) {
  const std::string order = json.value("order", "");
  value.kind = static_cast<OrderKind>(IndexOrZero(kOrders, order));
  ReadIfPresent(json, "shard", &value.shard);
  ReadIfPresent(json, "attempt", &value.attempt);
  ReadIfPresent(json, "task", &value.task);
  ReadIfPresent(json, "spec", &value.spec);
  ReadIfPresent(json, "checkpoint", &value.checkpoint);
  ReadIfPresent(json, "take_checkpoint", &value.take_checkpoint);
}

void to_json(Json& json, const WorkerAnswer& value) {
  json = Json{{"boot", value.boot_id}};
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
  ReadIfPresent(json, "boot", &value.boot_id);
  ReadIfPresent(json, "ended", &value.ended);
  const auto results = json.find("results");
  if (results == json.end()) {
    return;
  }
  for (const Json& item : *results) {
    OrderResult result;
    ReadIfPresent(item, "attempt", &result.attempt);
    ReadIfPresent(item, "accepted", &result.accepted);
    ReadIfPresent(item, "reason", &result.reason);
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

AttemptEnd ParseAttemptEnd(std::string_view name) {
  for (const AttemptEnd end : {AttemptEnd::kSucceeded, AttemptEnd::kFailed,
                               AttemptEnd::kStopped, AttemptEnd::kNotStarted}) {
    if (ToString(end) == name) {
      return end;
    }
  }
  return AttemptEnd::kLost;
}

}  // namespace doorwood
