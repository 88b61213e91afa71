// SPDX-License-Identifier: Apache-2.0

#include "doorwood/job_plan.h"

#include <algorithm>
#include <limits>

#include "doorwood/json_reader.h"
#include "doorwood/known_queues.h"

namespace doorwood {
namespace {

constexpr size_t kIdLength = 16;
constexpr double kMillisPerUnit = 1000.0;

std::string FieldPath(size_t step, std::string_view field) {
  return "steps[" + std::to_string(step) + "]." + std::string(field);
}

bool IsHexId(std::string_view id) {
  return id.size() == kIdLength &&
         id.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

std::optional<std::string> FindStepProblem(const JobPlan& plan, size_t index) {
  const StepPlan& step = plan.steps[index];
  if (step.count < 1) {
    return FieldPath(index, "count") + " must be at least 1";
  }
  const Resources& size = step.size;
  if (size.cpu_millis < 0 || size.memory_mib < 0 || size.accelerators < 0) {
    return FieldPath(index, "cpu") +
           ", memory and accelerators may not be negative";
  }
  if (step.estimate < Millis(0)) {
    return FieldPath(index, "estimate") +
           " (expected run time of a task) may not be negative";
  }
  if (step.max_per_worker < 0) {
    return FieldPath(index, "most_per_worker") +
           " (tasks of the step on one worker) may not be negative";
  }
  for (const int earlier : step.depends_on) {
    if (earlier < 0 || static_cast<size_t>(earlier) >= index) {
      return FieldPath(index, "depends_on") + " may name earlier steps only";
    }
  }
  if (step.long_running && plan.repeat_count > 0) {
    return FieldPath(index, "lasting") +
           " (run until cancelled) may not be combined with times (repeated "
           "runs)";
  }
  return std::nullopt;
}

}  // namespace

bool AllowsCopies(const StepPlan& step) {
  return step.duplicates && !step.gang && !step.long_running &&
         !step.best_effort;
}

std::optional<std::string> FindProblem(const JobPlan& plan) {
  if (!IsHexId(plan.id)) {
    return "id must be 16 hexadecimal digits";
  }
  if (plan.payload.size() > kMaxPayloadBytes) {
    return "payload (text for the workers) may hold at most 4000 bytes";
  }
  if (plan.steps.empty()) {
    return "steps must hold at least one step";
  }
  if (plan.steps.size() > kMaxStepsPerJob) {
    return "steps may hold at most 200 steps";
  }
  if (plan.repeat_count < 0 || plan.repeat_count > kMaxRepetitionsPerJob) {
    return "times (number of runs) must lie between 0 and 10000";
  }
  if (plan.repeat_count > 1 && plan.interval <= Millis(0)) {
    return "interval (time between runs) must be above 0 where times (number "
           "of runs) is above 1";
  }
  int64_t tasks = 0;
  for (size_t i = 0; i < plan.steps.size(); ++i) {
    if (auto problem = FindStepProblem(plan, i)) {
      return problem;
    }
    tasks += plan.steps[i].count;
    if (tasks > kMaxTasksPerJob) {
      return "steps may hold at most 20000 tasks in all";
    }
  }
  return std::nullopt;
}

Millis CriticalPathLength(const JobPlan& plan,
                          std::span<const Millis> run_times) {
  std::vector<Millis> ends(plan.steps.size(), Millis(0));
  Millis longest{0};
  for (size_t i = 0; i < plan.steps.size(); ++i) {
    Millis begin{0};
    for (const int earlier : plan.steps[i].depends_on) {
      begin = std::max(begin, ends[earlier]);
    }
    ends[i] = begin + run_times[i];
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

double EstimatedWork(const JobPlan& plan) {
  double work = 0;
  for (const StepPlan& step : plan.steps) {
    const double cores =
        static_cast<double>(step.size.cpu_millis) / kMillisPerUnit;
    const double seconds =
        static_cast<double>(step.estimate.count()) / kMillisPerUnit;
    work += cores * seconds * step.count;
  }
  return work;
}

namespace {

int ReadIntOrZero(const Json& json, const char* field) {
  constexpr IntegerRange kRange{std::numeric_limits<int>::min(),
                                std::numeric_limits<int>::max()};
  return static_cast<int>(ReadIntegerOr(json, field, 0, kRange));
}

}  // namespace

void to_json(Json& json, const StepPlan& step) {
  json = Json{{"count", step.count},
              {"size", step.size},
              {"estimate_ms", step.estimate.count()}};
  if (!step.depends_on.empty()) {
    json["depends_on"] = step.depends_on;
  }
  const std::pair<const char*, bool> flags[] = {
      {"checkpoints", step.checkpoints}, {"gang", step.gang},
      {"same_rack", step.same_rack},     {"lasting", step.long_running},
      {"fills", step.best_effort},       {"duplicates", step.duplicates}};
  for (const auto& [name, value] : flags) {
    if (value) {
      json[name] = true;
    }
  }
  const std::pair<const char*, const std::string*> texts[] = {
      {"required_label", &step.required_label},
      {"data_rack", &step.data_rack},
      {"image", &step.image}};
  for (const auto& [name, value] : texts) {
    if (!value->empty()) {
      json[name] = *value;
    }
  }
  if (step.max_per_worker > 0) {
    json["most_per_worker"] = step.max_per_worker;
  }
  if (step.max_unavailable) {
    json["may_miss"] = *step.max_unavailable;
  }
  if (step.latency_target > Millis(0)) {
    json["latency_target_ms"] = step.latency_target.count();
  }
}

void from_json(const Json& json, StepPlan& step) {
  step.count = ReadIntOrZero(json, "count");
  json.at("size").get_to(step.size);
  step.estimate = ReadMillis(json, "estimate_ms");
  for (const Json& earlier : ReadListOrEmpty(json, "depends_on")) {
    step.depends_on.push_back(static_cast<int>(
        ToInteger(earlier, "depends_on", {0, kMaxStepsPerJob})));
  }
  step.checkpoints = json.value("checkpoints", false);
  step.gang = json.value("gang", false);
  step.same_rack = json.value("same_rack", false);
  step.long_running = json.value("lasting", false);
  step.best_effort = json.value("fills", false);
  step.duplicates = json.value("duplicates", false);
  step.required_label = json.value("required_label", std::string());
  step.data_rack = json.value("data_rack", std::string());
  step.image = json.value("image", std::string());
  step.max_per_worker = ReadIntOrZero(json, "most_per_worker");
  if (json.contains("may_miss")) {
    step.max_unavailable = ReadIntOrZero(json, "may_miss");
  }
  step.latency_target = ReadMillisOr(json, "latency_target_ms", Millis(0));
}

void to_json(Json& json, const JobPlan& plan) {
  json = Json{{"id", plan.id},
              {"queue", plan.queue},
              {"payload", plan.payload},
              {"steps", plan.steps},
              {"accepted_at", plan.accepted_at}};
  if (plan.repeat_count > 0) {
    json["times"] = plan.repeat_count;
    json["first_due"] = plan.first_due;
    json["interval_ms"] = plan.interval.count();
  }
  if (plan.worker_group > 0) {
    json["worker_group"] = plan.worker_group;
  }
  if (plan.policy) {
    json["policy"] = EncodePolicy(*plan.policy);
  }
}

void from_json(const Json& json, JobPlan& plan) {
  json.at("id").get_to(plan.id);
  json.at("queue").get_to(plan.queue);
  json.at("payload").get_to(plan.payload);
  json.at("steps").get_to(plan.steps);
  plan.accepted_at = ReadIntegerOr(json, "accepted_at", 0);
  plan.repeat_count = ReadIntOrZero(json, "times");
  plan.first_due = ReadIntegerOr(json, "first_due", 0);
  plan.interval = ReadMillisOr(json, "interval_ms", Millis(0));
  plan.worker_group = ReadIntOrZero(json, "worker_group");
  if (json.contains("policy")) {
    plan.policy = DecodePolicy(plan.queue, json.at("policy"));
  }
}

std::optional<JobPlan> ParsePlan(std::string_view text) {
  auto plan =
      DecodeObject(text, [](const Json& json) { return json.get<JobPlan>(); });
  // Instances validate a plan before they record it or send it to another
  // instance, so an invalid one was written by another program.
  return plan && !FindProblem(*plan) ? plan : std::nullopt;
}

}  // namespace doorwood
