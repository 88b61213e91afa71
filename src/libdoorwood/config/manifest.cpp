// SPDX-License-Identifier: Apache-2.0

#include "doorwood/manifest.h"

#include <set>

namespace doorwood {
namespace {

constexpr Range kYields{0, 100};
constexpr Range kAttempts{1, 20};
constexpr Range kCount{1, kMaxTasksPerManifest};
constexpr int kServiceYields = 0;

// Reads a task and appends `count` copies of it to the job. Copies are numbered
// if there is more than one.
void ParseTask(const YAML::Node& node,
               const std::string& path,
               std::set<std::string>* names,
               JobSpec* job,
               Problems* problems) {
  TaskSpec task;
  int count = 1;
  size_t work_class = 0;
  MapReader reader(node, path, problems);
  reader.Require("name");
  reader.Read("name", &task.name);
  reader.Read("count", kCount, &count);
  reader.ReadChoice("class", {"batch", "service"}, &work_class);
  task.work_class = work_class == 1 ? WorkClass::kService : WorkClass::kBatch;
  if (task.work_class == WorkClass::kService) {
    task.yields = kServiceYields;
  }
  reader.Require("size");
  reader.Read("size", &task.size);
  reader.Read("labels", &task.labels);
  reader.ReadSelector("beside", &task.beside);
  reader.ReadSelector("on", &task.on);
  reader.Read("yields", kYields, &task.yields);
  reader.Read("repeatable", &task.repeatable);
  reader.Read("max_attempts", kAttempts, &task.max_attempts);
  reader.Read("payload", &task.payload);
  reader.ReportUnknownKeys();
  const std::string base = task.name;
  for (int i = 0; i < count; ++i) {
    if (count > 1) {
      task.name = base + "-" + std::to_string(i);
    }
    if (!names->insert(task.name).second) {
      reader.AddProblem("name", "'" + task.name + "' is defined twice");
      return;
    }
    job->tasks.push_back(task);
  }
}

}  // namespace

std::optional<JobSpec> ParseManifest(std::string_view text,
                                     Problems* problems) {
  const YAML::Node root = ParseYamlMap(text, problems);
  if (!root.IsMap()) {
    return std::nullopt;
  }
  JobSpec job;
  std::set<std::string> names;
  size_t failover = 0;
  MapReader reader(root, "", problems);
  reader.Require("member");
  reader.Read("member", &job.member);
  reader.Read("home", &job.home);
  // Automatic failover of a job to another data centre is not implemented, so
  // only the default is accepted.
  reader.ReadChoice("failover", {"never"}, &failover);
  reader.Require("tasks");
  reader.ReadSequence("tasks", [&](const YAML::Node& node, std::string path) {
    ParseTask(node, path, &names, &job, problems);
  });
  reader.ReportUnknownKeys();
  if (problems->empty() && job.tasks.empty()) {
    reader.AddProblem("tasks", "must hold at least one task");
  }
  if (job.tasks.size() > static_cast<size_t>(kMaxTasksPerManifest)) {
    reader.AddProblem(
        "tasks",
        "must hold at most " + std::to_string(kMaxTasksPerManifest) + " tasks");
  }
  if (!problems->empty()) {
    return std::nullopt;
  }
  return job;
}

}  // namespace doorwood
