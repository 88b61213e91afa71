// SPDX-License-Identifier: Apache-2.0

/// \file
/// The operators' configuration: services, members and rules. One document,
/// changed as a whole. Format: docs/CONFIGURATION.md.

#ifndef DOORWOOD_CONFIG_H_
#define DOORWOOD_CONFIG_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/types.h"
#include "doorwood/yaml_reader.h"

namespace doorwood {

/// A latency-critical service and what is promised of it.
struct ServiceConfig {
  std::string name;
  /// Requests slower than this miss the target.
  Millis latency_target{100};
  /// Share of requests that must meet the target, as in 0.99.
  double objective = 0.99;
  /// Most requests that wait for a slot at one entry instance.
  int queue_limit = 64;
  /// Share of requests that may be retries, as in 0.1.
  double retry_share = 0.1;
};

/// A member and how much of one data centre its jobs may hold at a time.
struct MemberConfig {
  std::string name;
  Resources quota;
};

/// A rule for all work that carries certain labels. Set parts replace what
/// the work itself declares.
struct RuleConfig {
  /// Selector over the labels of work.
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

/// Parses and checks a whole document. `file` is used in messages. Gives
/// nothing if there is any problem.
std::optional<Configuration> ParseConfiguration(std::string_view text,
                                                Problems* problems);

const ServiceConfig* FindService(const Configuration& config,
                                 std::string_view name);
const MemberConfig* FindMember(const Configuration& config,
                               std::string_view name);

/// Applies the rules to a task, in order.
void ApplyRules(const Configuration& config, TaskSpec* spec);

}  // namespace doorwood

#endif  // DOORWOOD_CONFIG_H_
