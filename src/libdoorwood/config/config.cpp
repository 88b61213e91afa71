// SPDX-License-Identifier: Apache-2.0

#include "doorwood/config.h"

#include <algorithm>
#include <set>

#include "doorwood/selector.h"

namespace doorwood {
namespace {

constexpr Range kLatencyMillis{1, 600'000};
constexpr Range kQueueLimit{0, 100'000};
constexpr Range kYields{0, 100};
constexpr double kMinObjective = 0.5;
constexpr double kMaxObjective = 0.99999;

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  const auto item = std::find_if(items.begin(), items.end(),
                                 [&](const T& it) { return it.name == name; });
  return item == items.end() ? nullptr : &*item;
}

// Reads a required name and reports a duplicate as a problem.
void ReadUniqueName(MapReader* reader,
                    std::set<std::string>* seen,
                    std::string* out) {
  reader->Require("name");
  reader->Read("name", out);
  if (!out->empty() && !seen->insert(*out).second) {
    reader->AddProblem("name", "'" + *out + "' is defined twice");
  }
}

ServiceConfig ParseService(const YAML::Node& node,
                           const std::string& path,
                           std::set<std::string>* names,
                           Problems* problems) {
  ServiceConfig service;
  MapReader reader(node, path, problems);
  ReadUniqueName(&reader, names, &service.name);
  reader.Read("latency_target_ms", kLatencyMillis, &service.latency_target);
  reader.Read("objective", kMinObjective, kMaxObjective, &service.objective);
  reader.Read("queue_limit", kQueueLimit, &service.queue_limit);
  reader.Read("retry_share", 0.0, 1.0, &service.retry_share);
  reader.ReportUnknownKeys();
  return service;
}

MemberConfig ParseMember(const YAML::Node& node,
                         const std::string& path,
                         std::set<std::string>* names,
                         Problems* problems) {
  MemberConfig member;
  MapReader reader(node, path, problems);
  ReadUniqueName(&reader, names, &member.name);
  reader.Require("quota");
  reader.Read("quota", &member.quota);
  reader.ReportUnknownKeys();
  return member;
}

RuleConfig ParseRule(const YAML::Node& node,
                     const std::string& path,
                     Problems* problems) {
  constexpr int kNotSet = -1;
  RuleConfig rule;
  int yields = kNotSet;
  MapReader reader(node, path, problems);
  reader.Require("match");
  reader.ReadSelector("match", &rule.match);
  reader.ReadSelector("beside", &rule.beside);
  reader.ReadSelector("on", &rule.on);
  reader.Read("yields", kYields, &yields);
  reader.ReportUnknownKeys();
  if (yields != kNotSet) {
    rule.yields = yields;
  }
  return rule;
}

}  // namespace

std::optional<Configuration> ParseConfiguration(std::string_view text,
                                                Problems* problems) {
  const YAML::Node root = ParseYamlMap(text, problems);
  if (!root.IsMap()) {
    return std::nullopt;
  }
  Configuration config;
  std::set<std::string> services;
  std::set<std::string> members;
  MapReader reader(root, "", problems);
  reader.ReadSequence("services", [&](const YAML::Node& node,
                                      std::string path) {
    config.services.push_back(ParseService(node, path, &services, problems));
  });
  reader.ReadSequence("members", [&](const YAML::Node& node, std::string path) {
    config.members.push_back(ParseMember(node, path, &members, problems));
  });
  reader.ReadSequence("rules", [&](const YAML::Node& node, std::string path) {
    config.rules.push_back(ParseRule(node, path, problems));
  });
  reader.ReportUnknownKeys();
  if (!problems->empty()) {
    return std::nullopt;
  }
  return config;
}

const ServiceConfig* FindService(const Configuration& config,
                                 std::string_view name) {
  return FindByName(config.services, name);
}

const MemberConfig* FindMember(const Configuration& config,
                               std::string_view name) {
  return FindByName(config.members, name);
}

void ApplyRules(const Configuration& config, TaskSpec* spec) {
  std::string error;
  for (const RuleConfig& rule : config.rules) {
    const auto match = ParseSelector(rule.match, &error);
    if (!match || !Matches(*match, spec->labels)) {
      continue;
    }
    if (!rule.beside.empty()) {
      spec->beside = rule.beside;
    }
    if (!rule.on.empty()) {
      spec->on = rule.on;
    }
    if (rule.yields) {
      spec->yields = *rule.yields;
    }
  }
}

}  // namespace doorwood
