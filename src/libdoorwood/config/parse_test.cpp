// SPDX-License-Identifier: Apache-2.0

// Parsers of selectors, configurations, manifests and settings: which documents
// are accepted, and the error message for each invalid one.

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "doorwood/config.h"
#include "doorwood/entry_settings.h"
#include "doorwood/manifest.h"
#include "doorwood/selector.h"
#include "doorwood/settings.h"

namespace doorwood {
namespace {

struct SelectorRow {
  const char* selector;
  Labels labels;
  bool matches;
};

BOOST_AUTO_TEST_SUITE(selector)

BOOST_AUTO_TEST_CASE(Matches_SelectorAndLabels_HoldsIfEveryRequirementDoes) {
  const std::vector<SelectorRow> rows = {
      {"", {}, true},
      {"rack=r1", {{"rack", "r1"}}, true},
      {"rack=r1", {{"rack", "r2"}}, false},
      {"rack=r1", {}, false},
      {"rack!=r1", {{"rack", "r2"}}, true},
      {"rack!=r1", {}, true},
      {"rack!=r1", {{"rack", "r1"}}, false},
      {"gpu", {{"gpu", "a"}}, true},
      {"gpu", {}, false},
      {"!gpu", {}, true},
      {"!gpu", {{"gpu", "a"}}, false},
      {" rack = r1 , gpu ", {{"rack", "r1"}, {"gpu", "x"}}, true},
      {"rack=r1,gpu", {{"rack", "r1"}}, false},
  };
  for (const SelectorRow& row : rows) {
    std::string error;
    const auto selector = ParseSelector(row.selector, &error);
    BOOST_REQUIRE_MESSAGE(selector, row.selector << ": " << error);
    BOOST_TEST(Matches(*selector, row.labels) == row.matches, row.selector);
  }
}

BOOST_AUTO_TEST_CASE(ParseSelector_MalformedOrContradictory_IsRejected) {
  for (const char* text : {"=", "a=", "a b", "a=b=c", ",", "a=1,a=2",
                           "a=1,a!=1", "a,!a", "a=1,!a"}) {
    std::string error;
    BOOST_TEST(!ParseSelector(text, &error).has_value(), text);
    BOOST_TEST(!error.empty(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

// An invalid document and the start of the problem line it must produce.
struct InvalidDocument {
  const char* text;
  const char* problem;
};

template <typename Parse>
void CheckRejected(const std::vector<InvalidDocument>& rows, Parse parse) {
  for (const InvalidDocument& row : rows) {
    Problems problems("f");
    BOOST_TEST(!parse(row.text, &problems).has_value(), row.text);
    bool found = false;
    for (const std::string& line : problems.lines()) {
      found = found || line.starts_with(row.problem);
    }
    BOOST_TEST(found, row.problem << " is missing in:\n" << problems.text());
  }
}

BOOST_AUTO_TEST_SUITE(documents)

BOOST_AUTO_TEST_CASE(ParseConfiguration_InvalidText_IsRejectedWithLocation) {
  CheckRejected(
      {{"[1, 2]", "f:1:1: must be a mapping"},
       {"services: 3", "f:1:11: services: must be a list"},
       {"services: [{}]", "f:1:12: services[0].name: is missing"},
       {"services:\n  - name: a\n  - name: a\n",
        "f:3:11: services[1].name: 'a' is defined twice"},
       {"services: [{name: a, objective: .nan}]",
        "f:1:33: services[0].objective: must be a number"},
       {"services: [{name: a, retry_share: 1.5}]",
        "f:1:35: services[0].retry_share: must be a number"},
       {"services: [{name: a, latency_target_ms: 1e3}]",
        "f:1:41: services[0].latency_target_ms: must be a whole number from 1 "
        "to 600000"},
       {"members: [{name: m}]", "f:1:11: members[0].quota: is missing"},
       {"members: [{name: m, quota: {cpus: 3}}]",
        "f:1:29: members[0].quota.cpus: is not a known key"},
       {"rules: [{match: 'a,!a'}]", "f:1:17: rules[0].match: "},
       {"colour: 3", "f:1:1: colour: is not a known key"},
       {"a: [", "f:1:1: is not valid YAML"}},
      ParseConfiguration);
}

BOOST_AUTO_TEST_CASE(ApplyRules_TwoMatchingRules_AreAppliedInOrder) {
  Problems problems("f");
  const auto config = ParseConfiguration(
      "rules:\n"
      "  - {match: kind=render, yields: 80, on: hall=east}\n"
      "  - {match: urgent, yields: 5}\n",
      &problems);
  BOOST_REQUIRE(config);
  TaskSpec spec;
  spec.labels = {{"kind", "render"}, {"urgent", "yes"}};
  ApplyRules(*config, &spec);
  BOOST_TEST(spec.yields == 5);
  BOOST_TEST(spec.on == "hall=east");
}

BOOST_AUTO_TEST_CASE(ParseManifest_InvalidText_IsRejectedWithLocation) {
  CheckRejected(
      {{"tasks: []", "f:1:1: member: is missing"},
       {"member: m\ntasks: []", "f:2:8: tasks: must hold at least one"},
       {"member: m\ntasks: [{name: a}]", "f:2:9: tasks[0].size: is"},
       {"member: m\ntasks: [{name: a, size: {}, class: fast}]",
        "f:2:36: tasks[0].class: must be one of: batch service"},
       {"member: m\nfailover: 30m\ntasks: [{name: a, size: {}}]",
        "f:2:11: failover: must be one of: never"},
       {"member: m\ntasks: [{name: a, size: {}},{name: a, size: {}}]",
        "f:2:36: tasks[1].name: 'a' is defined twice"},
       {"member: m\ntasks: [{name: a, size: {}, count: 300}, {name: b, "
        "size: {}, count: 300}]",
        "f:2:8: tasks: must hold at most 500 tasks"},
       {"member: m\ntasks: [{name: a, size: {}, repeatable: perhaps}]",
        "f:2:41: tasks[0].repeatable: must be true or false"}},
      ParseManifest);
}

BOOST_AUTO_TEST_CASE(ParseManifest_JsonWithCount_GivesNumberedTasks) {
  Problems problems("f");
  const auto job = ParseManifest(
      R"({"member": "m", "tasks": [{"name": "a", "count": 2, "class": "service",
          "size": {"cpu_millis": 500}}]})",
      &problems);
  BOOST_REQUIRE(job);
  BOOST_TEST(job->tasks.size() == 2u);
  BOOST_TEST(job->tasks[1].name == "a-1");
  BOOST_TEST(job->tasks[1].yields == 0);
  BOOST_TEST(job->tasks[1].size.cpu_millis == 500);
}

constexpr const char* kSettings =
    "instance: a\ndata_centre: d\nlisten: 127.0.0.1:1\npeer_listen: "
    "127.0.0.1:2\nkv: 127.0.0.1:3\ndirectory: 127.0.0.1:4\noperator_token: "
    "12345678\npeer_token: 12345678\n";

BOOST_AUTO_TEST_CASE(ParseSettings_InvalidText_IsRejectedWithLocation) {
  const std::string good = kSettings;
  const std::string lease = good + "control_lease_ms: 1000\n";
  const std::string task = good + "task_lease_ms: 4000\n";
  const std::string beat = good + "heartbeat_timeout_ms: 600\n";
  CheckRejected(
      {{"listen: localhost:1", "f:1:9: listen: must be an IP address"},
       {"listen: 1.2.3.256:1", "f:1:9: listen: must be an IP address"},
       {"listen: 1.2.3.4:65536", "f:1:9: listen: must be an IP address"},
       {"listen: 1.2.3.4", "f:1:9: listen: must be an IP address"},
       {"peer_token: short", "f:1:13: peer_token: must be at least 8"},
       {"data_centre: a/b", "f:1:14: data_centre: may hold letters"},
       {lease.c_str(), "f:1:1: renew_interval_ms: is too long: twice"},
       {task.c_str(), "f:9:16: task_lease_ms: must be at least twice"},
       {beat.c_str(), "f:9:23: heartbeat_timeout_ms: must be at least"}},
      ParseSettings);
}

constexpr const char* kEntrySettings =
    "instance: a\ndata_centre: d\nfront: 127.0.0.1:1\nready: 127.0.0.1:2\n"
    "peer: 127.0.0.1:3\nmetrics: 127.0.0.1:4\nstore: 127.0.0.1:5\n";

BOOST_AUTO_TEST_CASE(
    ParseEntrySettings_InvalidHeldCount_IsRejectedWithLocation) {
  const std::string good = kEntrySettings;
  const std::string negative = good + "max_held_submissions: -1\n";
  const std::string many = good + "max_held_submissions: 1001\n";
  const std::string text = good + "max_held_submissions: some\n";
  CheckRejected({{negative.c_str(), "f:8:23: max_held_submissions: must be"},
                 {many.c_str(), "f:8:23: max_held_submissions: must be"},
                 {text.c_str(), "f:8:23: max_held_submissions: must be"}},
                ParseEntrySettings);
}

BOOST_AUTO_TEST_CASE(
    ParseEntrySettings_InvalidClientMemory_IsRejectedWithLocation) {
  const std::string good = kEntrySettings;
  const std::string none = good + "client_memory_mb: 0\n";
  const std::string many = good + "client_memory_mb: 4097\n";
  const std::string peers = good + "peer_memory_mb: 0\n";
  const std::string answers = good + "answer_memory_mb: 0\n";
  CheckRejected({{none.c_str(), "f:8:19: client_memory_mb: must be"},
                 {many.c_str(), "f:8:19: client_memory_mb: must be"},
                 {peers.c_str(), "f:8:17: peer_memory_mb: must be"},
                 {answers.c_str(), "f:8:19: answer_memory_mb: must be"}},
                ParseEntrySettings);
  Problems problems("f");
  const auto settings =
      ParseEntrySettings(good + "client_memory_mb: 1\n", &problems);
  BOOST_REQUIRE_MESSAGE(settings, problems.text());
  BOOST_TEST(settings->client_memory_mb == 1);
}

BOOST_AUTO_TEST_CASE(MakeIngressOptions_ValidSettings_TakesTheirValues) {
  Problems problems("f");
  const std::string good = kEntrySettings;
  auto settings = ParseEntrySettings(good, &problems);
  BOOST_REQUIRE_MESSAGE(settings, problems.text());
  BOOST_TEST(MakeIngressOptions(*settings).returns.max_held == 0u);
  settings = ParseEntrySettings(good + "max_held_submissions: 7\n", &problems);
  BOOST_REQUIRE_MESSAGE(settings, problems.text());
  BOOST_TEST(MakeIngressOptions(*settings).returns.max_held == 7u);
}

BOOST_AUTO_TEST_CASE(MakeInstanceOptions_ValidSettings_TakesTheirValues) {
  Problems problems("f");
  const auto settings = ParseSettings(
      std::string(kSettings) + "control_lease_ms: 4000\nshard_count: 16\n",
      &problems);
  BOOST_REQUIRE_MESSAGE(settings, problems.text());
  const InstanceOptions options = MakeInstanceOptions(*settings, 7);
  BOOST_TEST(options.holder.control_lease.count() == 4000);
  BOOST_TEST(options.shard_count == 16u);
  BOOST_TEST(options.incarnation == 7u);
}

// Applies random byte changes to valid documents: each parser must return
// either a value or a problem for any input.
BOOST_AUTO_TEST_CASE(Parsers_RandomlyChangedText_GiveEitherValueOrProblem) {
  const std::string configuration =
      "services:\n  - name: a\n    objective: 0.99\nmembers:\n  - name: m\n "
      "   quota: {cpu_millis: 5}\nrules:\n  - match: a=b,!c\n    yields: 3\n";
  const std::string manifest_text =
      "member: m\nhome: d\ntasks:\n  - name: a\n    count: 3\n    size: "
      "{cpu_millis: 10, memory_mib: 3}\n    labels: {a: b}\n    beside: x!=y\n";
  const std::vector<std::string> corpus = {configuration, manifest_text,
                                           kSettings, "&a [*a, {? b : c}]",
                                           "a: !!binary |\n  aGk=\n"};
  constexpr int kRounds = 6000;
  constexpr std::string_view kSpecial = ":{}[],&*!|>'\"%@`#-?\n\t \\0~";
  std::mt19937_64 random(4);
  for (int round = 0; round < kRounds; ++round) {
    std::string text = corpus[random() % corpus.size()];
    const int changes = 1 + static_cast<int>(random() % 6);
    for (int n = 0; n < changes && !text.empty(); ++n) {
      const size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text[at] = kSpecial[random() % kSpecial.size()];
          break;
        case 2:
          text.erase(at, 1 + random() % 8);
          break;
        case 3:
          text.insert(at, text.substr(random() % text.size(), 12));
          break;
      }
    }
    Problems config("f");
    Problems manifest("f");
    Problems settings("f");
    const bool config_good = ParseConfiguration(text, &config).has_value();
    const bool manifest_good = ParseManifest(text, &manifest).has_value();
    const bool settings_good = ParseSettings(text, &settings).has_value();
    BOOST_TEST_CONTEXT("document: " << text) {
      BOOST_TEST(config_good == config.empty());
      BOOST_TEST(manifest_good == manifest.empty());
      BOOST_TEST(settings_good == settings.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(entry_settings)

// Guards against copies that are on although no setting asks for them, and
// against a share that leaves no room for work that arrives.
BOOST_AUTO_TEST_CASE(BackupShare_EachValue_IsAcceptedOrLocated) {
  const std::string needed =
      "{instance: a, data_centre: b, front: c, ready: d, peer: e, metrics: f, "
      "store: g";
  const std::vector<std::pair<const char*, double>> accepted = {
      {"", 0}, {", backup_share: 0", 0}, {", backup_share: 0.5", 0.5}};
  for (const auto& [text, share] : accepted) {
    Problems problems("s.yaml");
    const auto settings = ParseEntrySettings(needed + text + "}", &problems);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(MakeCellOptions(*settings).policy.backups.free_share == share);
  }
  for (const char* value : {"0.6", "-0.1", "half", ".nan"}) {
    Problems problems("s.yaml");
    const auto settings = ParseEntrySettings(
        needed + ",\n backup_share: " + value + "}", &problems);
    BOOST_TEST(!settings.has_value());
    BOOST_REQUIRE(problems.lines().size() == 1U);
    BOOST_TEST(problems.lines()[0].starts_with(
                   "s.yaml:2:16: backup_share: must be a number from 0.0"),
               problems.lines()[0]);
  }
}

// Guards against a leader that sends more than its link transfers because a
// wrong rate was accepted.
BOOST_AUTO_TEST_CASE(LinkRate_EachValue_IsAcceptedOrLocated) {
  const std::string needed =
      "{instance: a, data_centre: b, front: c, ready: d, peer: e, metrics: f, "
      "store: g";
  const std::vector<std::pair<const char*, double>> accepted = {
      {"", 0}, {", link_mbps: 0", 0}, {", link_mbps: 2.0", 250'000}};
  for (const auto& [text, rate] : accepted) {
    Problems problems("s.yaml");
    const auto settings = ParseEntrySettings(needed + text + "}", &problems);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(LinkRate(*settings) == rate);
  }
  for (const char* value : {"-1", "1e7", "fast", ".nan"}) {
    Problems problems("s.yaml");
    const auto settings =
        ParseEntrySettings(needed + ",\n link_mbps: " + value + "}", &problems);
    BOOST_TEST(!settings.has_value());
    BOOST_REQUIRE(problems.lines().size() == 1U);
    BOOST_TEST(problems.lines()[0].starts_with(
                   "s.yaml:2:13: link_mbps: must be a number from 0.0"),
               problems.lines()[0]);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
