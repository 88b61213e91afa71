// SPDX-License-Identifier: Apache-2.0

#include "doorwood/settings.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace doorwood {
namespace {

constexpr Range kConnections{1, 4096};
constexpr Range kBody{1024, 1024LL * 1024 * 1024};
constexpr Range kKvCalls{1, 100'000};
constexpr Range kShards{1, 1024};
constexpr Range kShortMillis{10, 60'000};
constexpr Range kLongMillis{10, 600'000};
constexpr size_t kMinTokenLength = 8;

// Accepts an IPv4 address and a port, for example "127.0.0.1:8080".
bool IsAddress(std::string_view text) {
  constexpr std::array<std::pair<char, int>, 5> kParts = {
      {{'.', 255}, {'.', 255}, {'.', 255}, {':', 255}, {'\0', 65535}}};
  for (const auto& [separator, highest] : kParts) {
    const size_t end = separator == '\0' ? text.size() : text.find(separator);
    if (end == std::string_view::npos) {
      return false;
    }
    int number = -1;
    const auto result = std::from_chars(text.data(), text.data() + end, number);
    const bool valid = result.ec == std::errc() &&
                       result.ptr == text.data() + end && number >= 0 &&
                       number <= highest;
    if (!valid) {
      return false;
    }
    text.remove_prefix(std::min(text.size(), end + 1));
  }
  return true;
}

void ReadAddress(MapReader* reader, std::string_view key, std::string* out) {
  reader->Require(key);
  reader->Read(key, out);
  if (!out->empty() && !IsAddress(*out)) {
    reader->AddProblem(
        key, "must be an IP address and port, for example 127.0.0.1:7300");
  }
}

void ReadToken(MapReader* reader, std::string_view key, std::string* out) {
  reader->Require(key);
  reader->Read(key, out);
  if (!out->empty() && out->size() < kMinTokenLength) {
    reader->AddProblem(key, "must be at least " +
                                std::to_string(kMinTokenLength) +
                                " characters long");
  }
}

// Names of data centres and instances are part of store keys, and a data
// centre's name is also part of job ids, so only characters that are safe there
// are accepted.
void CheckName(MapReader* reader, std::string_view key, std::string_view name) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
  if (name.find_first_not_of(kAllowed) != std::string_view::npos) {
    reader->AddProblem(key, "may hold letters, digits, '-' and '_' only");
  }
}

void ReadDurations(MapReader* reader, Settings* settings) {
  reader->Read("leave_patience_ms", kLongMillis, &settings->shutdown_timeout);
  reader->Read("leave_grace_ms", Range{0, 60'000}, &settings->shutdown_grace);
  reader->Read("heartbeat_interval_ms", kShortMillis,
               &settings->heartbeat_interval);
  reader->Read("heartbeat_timeout_ms", kShortMillis,
               &settings->heartbeat_timeout);
  reader->Read("settle_ms", kShortMillis, &settings->membership_settle_time);
  reader->Read("list_interval_ms", kShortMillis, &settings->list_interval);
  reader->Read("control_lease_ms", kLongMillis, &settings->control_lease);
  reader->Read("task_lease_ms", kLongMillis, &settings->task_lease);
  reader->Read("renew_interval_ms", kLongMillis, &settings->renew_interval);
  reader->Read("registration_ms", kLongMillis,
               &settings->registration_lifetime);
  reader->Read("drift_ms", kShortMillis, &settings->drift);
  if (settings->renew_interval * 2 + settings->drift >
      settings->control_lease) {
    reader->AddProblem(
        "renew_interval_ms",
        "is too long: twice renew_interval_ms plus drift_ms must "
        "not exceed control_lease_ms");
  }
  if (settings->task_lease < settings->control_lease * 2) {
    reader->AddProblem("task_lease_ms",
                       "must be at least twice control_lease_ms, so that "
                       "another instance can adopt the running tasks");
  }
  if (settings->heartbeat_timeout < settings->heartbeat_interval * 2) {
    reader->AddProblem("heartbeat_timeout_ms",
                       "must be at least twice heartbeat_interval_ms");
  }
}

}  // namespace

std::optional<Settings> ParseSettings(std::string_view text,
                                      Problems* problems) {
  const YAML::Node root = ParseYamlMap(text, problems);
  if (!root.IsMap()) {
    return std::nullopt;
  }
  Settings settings;
  MapReader reader(root, "", problems);
  reader.Require("instance");
  reader.Read("instance", &settings.instance);
  CheckName(&reader, "instance", settings.instance);
  reader.Require("data_centre");
  reader.Read("data_centre", &settings.data_centre);
  CheckName(&reader, "data_centre", settings.data_centre);
  ReadAddress(&reader, "listen", &settings.listen);
  ReadAddress(&reader, "peer_listen", &settings.peer_listen);
  ReadAddress(&reader, "kv", &settings.kv);
  ReadAddress(&reader, "directory", &settings.directory);
  ReadToken(&reader, "operator_token", &settings.operator_token);
  ReadToken(&reader, "peer_token", &settings.peer_token);
  size_t level = 1;
  constexpr std::array<const char*, 4> kLevels = {"debug", "info", "warn",
                                                  "error"};
  reader.ReadChoice("log_level", {"debug", "info", "warn", "error"}, &level);
  settings.log_level = kLevels[level];
  reader.Read("connections", kConnections, &settings.connections);
  reader.Read("largest_body", kBody, &settings.max_body_bytes);
  reader.Read("body_memory", kBody, &settings.total_body_bytes);
  reader.Read("kv_calls", kKvCalls, &settings.kv_calls);
  reader.Read("shard_count", kShards, &settings.shard_count);
  ReadDurations(&reader, &settings);
  reader.ReportUnknownKeys();
  if (!problems->empty()) {
    return std::nullopt;
  }
  return settings;
}

InstanceOptions MakeInstanceOptions(const Settings& settings,
                                    uint64_t incarnation) {
  InstanceOptions options;
  options.self.id = settings.instance;
  options.self.role = InstanceRole::kEntry;
  options.self.data_centre = settings.data_centre;
  options.self.address = settings.listen;
  options.self.peer_address = settings.peer_listen;
  options.incarnation = incarnation;
  options.shard_count = static_cast<uint32_t>(settings.shard_count);
  options.heartbeat_interval = settings.heartbeat_interval;
  options.list_interval = settings.list_interval;
  options.registration_lifetime = settings.registration_lifetime;
  options.membership.heartbeat_timeout = settings.heartbeat_timeout;
  options.membership.settle_time = settings.membership_settle_time;
  options.membership.worker_retention = settings.task_lease * 2;
  options.holder.control_lease = settings.control_lease;
  options.holder.task_lease = settings.task_lease;
  options.holder.renew_interval = settings.renew_interval;
  options.holder.drift = settings.drift;
  options.owner.task_lease = settings.task_lease;
  options.owner.drift = settings.drift;
  return options;
}

}  // namespace doorwood
