// SPDX-License-Identifier: Apache-2.0

/// \file
/// JSON conversion of the shared types, for the job log, the worker protocol
/// and the operators' interface. `from_json` throws nlohmann::json::exception
/// if a value has the wrong structure or type; callers that decode external
/// input convert it to their own errors. A missing member of an object leaves
/// the field at its default; an unknown role is read as kEntry, and an unknown
/// or missing order as kStart.

#ifndef DOORWOOD_JSON_CODEC_H_
#define DOORWOOD_JSON_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "doorwood/types.h"
#include "doorwood/worker.h"

namespace doorwood {

using Json = nlohmann::json;

void to_json(Json& json, const Resources& value);
void from_json(const Json& json, Resources& value);
void to_json(Json& json, const ShardId& value);
void from_json(const Json& json, ShardId& value);
void to_json(Json& json, const AttemptId& value);
void from_json(const Json& json, AttemptId& value);
void to_json(Json& json, const TaskId& value);
void from_json(const Json& json, TaskId& value);
void to_json(Json& json, const TaskSpec& value);
void from_json(const Json& json, TaskSpec& value);
void to_json(Json& json, const JobSpec& value);
void from_json(const Json& json, JobSpec& value);
void to_json(Json& json, const InstanceInfo& value);
void from_json(const Json& json, InstanceInfo& value);
void to_json(Json& json, const WorkerTask& value);
void from_json(const Json& json, WorkerTask& value);
void to_json(Json& json, const WorkerInventory& value);
void from_json(const Json& json, WorkerInventory& value);
void to_json(Json& json, const WorkerOrder& value);
void from_json(const Json& json, WorkerOrder& value);
void to_json(Json& json, const WorkerAnswer& value);
void from_json(const Json& json, WorkerAnswer& value);

/// Parses text. Returns nothing if it is not valid JSON or is nested more than
/// 64 levels deep.
std::optional<Json> ParseJson(std::string_view text);

/// Inverse of ToString(AttemptEnd). Returns kLost for an unknown string.
AttemptEnd ParseAttemptEnd(std::string_view name);

}  // namespace doorwood

#endif  // DOORWOOD_JSON_CODEC_H_
