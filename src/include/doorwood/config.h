// SPDX-License-Identifier: Apache-2.0

/// \file
/// The operators' configuration: services, workspaces and rules. It is one
/// document that is replaced as a whole. Format: docs/CONFIGURATION.md.

#ifndef DOORWOOD_CONFIG_H_
#define DOORWOOD_CONFIG_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/types.h"
#include "doorwood/yaml_reader.h"

namespace doorwood {

/// A latency-critical service and its service-level objective.
struct ServiceConfig {
  std::string name;
  /// A request that takes longer misses the target.
  Millis latency_target{100};
  /// Fraction of requests that must meet the target, for example 0.99.
  double objective = 0.99;
  /// Maximum number of requests that wait for a slot at one entry instance.
  int queue_limit = 64;
  /// Fraction of requests that may be retries, for example 0.1.
  double retry_share = 0.1;
};

/// A workspace (called member in the configuration) and the maximum resources
/// that its jobs may use in one data centre at a time.
struct MemberConfig {
  std::string name;
  Resources quota;
};

/// A rule for all tasks whose labels match. Fields that are set replace the
/// values that the task itself declares.
struct RuleConfig {
  /// Selector over the labels of tasks.
  std::string match;
  std::string beside;
  std::string on;
  std::optional<int> yields;
};

struct Configuration {
  std::vector<ServiceConfig> services;
  std::vector<MemberConfig> members;
  std::vector<RuleConfig> rules;
};

/// Parses and validates a whole document. Returns nothing if there is any
/// problem; `problems` then holds one line for each.
std::optional<Configuration> ParseConfiguration(std::string_view text,
                                                Problems* problems);

const ServiceConfig* FindService(const Configuration& config,
                                 std::string_view name);
const MemberConfig* FindMember(const Configuration& config,
                               std::string_view name);

/// Applies all matching rules to a task in document order, so that later rules
/// override earlier ones.
void ApplyRules(const Configuration& config, TaskSpec* spec);

}  // namespace doorwood

#endif  // DOORWOOD_CONFIG_H_
