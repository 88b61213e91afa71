// SPDX-License-Identifier: Apache-2.0

#include "doorwood/known_queues.h"

#include <algorithm>
#include <exception>
#include <limits>

#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr const char* kAdviceField = "advice";
constexpr IntegerRange kIntRange{std::numeric_limits<int>::min(),
                                 std::numeric_limits<int>::max()};

}  // namespace

Json EncodePolicy(const QueuePolicy& policy) {
  const Queue& queue = policy.queue;
  Json json{{"version", policy.version},
            {"service", queue.service},
            {"priority", queue.priority},
            {"max_attempts", queue.max_attempts},
            {"max_slowdown", queue.max_slowdown},
            {"latency_target_ms", queue.latency_target.count()}};
  if (queue.advice) {
    json[kAdviceField] = {
        {"decision_ms", queue.advice->decision_time.count()},
        {"decision_each_ms", queue.advice->decision_time_each.count()},
        {"valid_ms", queue.advice->ticket_validity.count()}};
  }
  return json;
}

std::optional<QueuePolicy> DecodePolicy(const std::string& name,
                                        const Json& json) {
  try {
    QueuePolicy policy;
    policy.version = ReadInteger(json, "version");
    Queue& queue = policy.queue;
    queue.name = name;
    queue.service = ReadNonEmptyString(json, "service");
    queue.priority = static_cast<int>(ReadInteger(json, "priority", kIntRange));
    queue.max_attempts =
        static_cast<int>(ReadInteger(json, "max_attempts", {1, kIntRange.max}));
    queue.max_slowdown = json.at("max_slowdown").get<double>();
    queue.latency_target = ReadMillis(json, "latency_target_ms");
    if (json.contains(kAdviceField)) {
      const Json& advice = json.at(kAdviceField);
      queue.advice = AdvicePolicy{ReadMillis(advice, "decision_ms"),
                                  ReadMillis(advice, "decision_each_ms"),
                                  ReadMillis(advice, "valid_ms")};
    }
    return policy;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

bool HaveSameEffect(const QueuePolicy& a, const QueuePolicy& b) {
  return EncodePolicy({a.queue, 0}) == EncodePolicy({b.queue, 0});
}

std::vector<std::string> KnownQueues::Update(const QueueTable& table) {
  std::vector<std::string> added;
  for (const Queue& queue : table.queues()) {
    if (policies_
            .insert_or_assign(queue.name, QueuePolicy{queue, table.version()})
            .second) {
      added.push_back(queue.name);
    }
  }
  return added;
}

void KnownQueues::AddRecorded(const QueuePolicy& policy) {
  const auto [entry, added] = policies_.try_emplace(policy.queue.name, policy);
  if (!added && entry->second.version < policy.version) {
    entry->second = policy;
  }
}

const Queue* KnownQueues::Find(const std::string& name) const {
  const QueuePolicy* policy = FindPolicy(name);
  return policy == nullptr ? nullptr : &policy->queue;
}

const QueuePolicy* KnownQueues::FindPolicy(const std::string& name) const {
  const auto found = policies_.find(name);
  return found == policies_.end() ? nullptr : &found->second;
}

bool KnownQueues::NamesService(std::string_view service) const {
  return std::any_of(policies_.begin(), policies_.end(),
                     [service](const auto& entry) {
                       return entry.second.queue.service == service;
                     });
}

}  // namespace doorwood
