// SPDX-License-Identifier: Apache-2.0

#include "doorwood/shard_state.h"

#include <algorithm>
#include <array>

#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr std::array<std::string_view, 5> kPhases = {
    "open", "succeeded", "failed", "cancelled", "unknown"};

Json RecordJson(const AcceptRecord& record) {
  return Json{{"accept", record.job}};
}

Json RecordJson(const IntentRecord& record) {
  return Json{{"intent", record.task}, {"attempt", record.attempt}};
}

Json RecordJson(const EndRecord& record) {
  return Json{{"end", record.task},
              {"attempt", record.attempt},
              {"how", ToString(record.end)},
              {"checkpoint", record.checkpoint}};
}

Json RecordJson(const CancelRecord& record) {
  return Json{{"cancel", record.job}};
}

Json RecordJson(const ClaimRecord& record) {
  return Json{{"claim", record.key}, {"request", record.request}};
}

Json RecordJson(const UnclaimRecord& record) {
  return Json{{"unclaim", record.key}, {"request", record.request}};
}

// Returns the phase of the task after an attempt ended with `end`.
TaskPhase PhaseAfter(const TaskState& task, AttemptEnd end, bool cancelled) {
  const TaskPhase retry = cancelled ? TaskPhase::kCancelled : TaskPhase::kOpen;
  switch (end) {
    case AttemptEnd::kSucceeded:
      return TaskPhase::kSucceeded;
    case AttemptEnd::kFailed: {
      const bool attempts_exhausted = task.failures >= task.spec.max_attempts;
      return attempts_exhausted || !task.spec.repeatable ? TaskPhase::kFailed
                                                         : retry;
    }
    case AttemptEnd::kStopped: {
      const bool resumable = task.spec.repeatable || !task.checkpoint.empty();
      return resumable || cancelled ? retry : TaskPhase::kFailed;
    }
    case AttemptEnd::kNotStarted:
      return retry;
    case AttemptEnd::kLost:
      return task.spec.repeatable ? retry : TaskPhase::kUnknown;
  }
  return retry;
}

Json TaskJson(const TaskState& task) {
  Json json{{"spec", task.spec},
            {"phase", static_cast<int>(task.phase)},
            {"failures", task.failures},
            {"evictions", task.evictions},
            {"checkpoint", task.checkpoint},
            {"last_ended", task.last_ended}};
  if (task.intent) {
    json["intent"] = *task.intent;
  }
  return json;
}

TaskState ParseTask(const Json& json) {
  TaskState task;
  json.at("spec").get_to(task.spec);
  task.phase = static_cast<TaskPhase>(
      ToInteger(json.at("phase"), "phase",
                {0, static_cast<int64_t>(kPhases.size()) - 1}));
  json.at("failures").get_to(task.failures);
  json.at("evictions").get_to(task.evictions);
  json.at("checkpoint").get_to(task.checkpoint);
  json.at("last_ended").get_to(task.last_ended);
  if (json.contains("intent")) {
    task.intent = json.at("intent").get<AttemptId>();
  }
  return task;
}

}  // namespace

Json ToJson(const LogRecord& record) {
  return std::visit([](const auto& item) { return RecordJson(item); }, record);
}

LogRecord ParseLogRecord(const Json& json) {
  if (json.contains("accept")) {
    return AcceptRecord{json.at("accept").get<JobSpec>()};
  }
  if (json.contains("intent")) {
    return IntentRecord{json.at("intent").get<TaskId>(),
                        json.at("attempt").get<AttemptId>()};
  }
  if (json.contains("end")) {
    return EndRecord{json.at("end").get<TaskId>(),
                     json.at("attempt").get<AttemptId>(),
                     ParseAttemptEnd(json.at("how").get<std::string>()),
                     json.at("checkpoint").get<std::string>()};
  }
  if (json.contains("cancel")) {
    return CancelRecord{json.at("cancel").get<std::string>()};
  }
  if (json.contains("unclaim")) {
    return UnclaimRecord{json.at("unclaim").get<std::string>(),
                         json.at("request").get<std::string>()};
  }
  return ClaimRecord{json.at("claim").get<std::string>(),
                     json.at("request").get<std::string>()};
}

std::string_view ToString(TaskPhase phase) {
  return kPhases[static_cast<size_t>(phase)];
}

bool JobState::finished() const {
  return std::all_of(tasks.begin(), tasks.end(), [](const auto& item) {
    return item.second.phase != TaskPhase::kOpen;
  });
}

void ShardState::Apply(const LogRecord& record) {
  if (const auto* accept = std::get_if<AcceptRecord>(&record)) {
    JobState job{.job = accept->job};
    for (const TaskSpec& spec : accept->job.tasks) {
      job.tasks[spec.name].spec = spec;
    }
    // A repeated record for the same job id has no effect.
    jobs_.try_emplace(accept->job.id, std::move(job));
  } else if (const auto* intent = std::get_if<IntentRecord>(&record)) {
    const auto job = jobs_.find(intent->task.job);
    if (job != jobs_.end()) {
      job->second.tasks[intent->task.name].intent = intent->attempt;
    }
  } else if (const auto* end = std::get_if<EndRecord>(&record)) {
    ApplyEnd(*end);
  } else if (const auto* cancel = std::get_if<CancelRecord>(&record)) {
    const auto job = jobs_.find(cancel->job);
    if (job != jobs_.end()) {
      job->second.cancelled = true;
    }
  } else if (const auto* claim = std::get_if<ClaimRecord>(&record)) {
    ApplyClaim(*claim);
  } else if (const auto* unclaim = std::get_if<UnclaimRecord>(&record)) {
    ApplyUnclaim(*unclaim);
  }
}

void ShardState::ApplyClaim(const ClaimRecord& record) {
  // Only the first claim of a key is valid.
  if (!claims_.try_emplace(record.key, record.request).second) {
    return;
  }
  claim_order_.push_back(record.key);
  if (claim_order_.size() > kClaimsKept) {
    claims_.erase(claim_order_.front());
    claim_order_.pop_front();
  }
}

void ShardState::ApplyUnclaim(const UnclaimRecord& record) {
  if (ClaimedBy(record.key) != record.request) {
    return;
  }
  claims_.erase(record.key);
  std::erase(claim_order_, record.key);
}

void ShardState::ApplyEnd(const EndRecord& record) {
  const auto job = jobs_.find(record.task.job);
  if (job == jobs_.end()) {
    return;
  }
  const auto found = job->second.tasks.find(record.task.name);
  if (found == job->second.tasks.end()) {
    return;
  }
  TaskState& task = found->second;
  const bool repeated = record.attempt <= task.last_ended;
  if (repeated || task.phase != TaskPhase::kOpen) {
    return;
  }
  task.last_ended = record.attempt;
  task.intent.reset();
  if (!record.checkpoint.empty()) {
    task.checkpoint = record.checkpoint;
  }
  if (record.end == AttemptEnd::kFailed) {
    ++task.failures;
  }
  if (record.end == AttemptEnd::kStopped) {
    ++task.evictions;
  }
  task.phase = PhaseAfter(task, record.end, job->second.cancelled);
  if (job->second.finished()) {
    RecordFinishedJob(record.task.job);
  }
}

void ShardState::RecordFinishedJob(const std::string& job) {
  finished_.push_back(job);
  if (finished_.size() > kFinishedJobsKept) {
    jobs_.erase(finished_.front());
    finished_.pop_front();
  }
}

const JobState* ShardState::FindJob(const std::string& id) const {
  const auto job = jobs_.find(id);
  return job == jobs_.end() ? nullptr : &job->second;
}

const TaskState* ShardState::FindTask(const TaskId& task) const {
  const JobState* job = FindJob(task.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto found = job->tasks.find(task.name);
  return found == job->tasks.end() ? nullptr : &found->second;
}

std::string ShardState::ClaimedBy(const std::string& key) const {
  const auto claim = claims_.find(key);
  return claim == claims_.end() ? "" : claim->second;
}

Json ShardState::ToSnapshot() const {
  Json jobs = Json::array();
  for (const auto& [id, job] : jobs_) {
    Json tasks = Json::array();
    for (const auto& [name, task] : job.tasks) {
      tasks.push_back(TaskJson(task));
    }
    jobs.push_back(Json{{"id", id},
                        {"member", job.job.member},
                        {"home", job.job.home},
                        {"cancelled", job.cancelled},
                        {"tasks", std::move(tasks)}});
  }
  Json claims = Json::array();
  for (const std::string& key : claim_order_) {
    claims.push_back(Json::array({key, claims_.at(key)}));
  }
  return Json{{"jobs", std::move(jobs)},
              {"finished", finished_},
              {"claims", std::move(claims)}};
}

ShardState ShardState::FromSnapshot(const Json& json) {
  ShardState state;
  for (const Json& item : json.at("jobs")) {
    JobState job;
    item.at("id").get_to(job.job.id);
    item.at("member").get_to(job.job.member);
    item.at("home").get_to(job.job.home);
    item.at("cancelled").get_to(job.cancelled);
    for (const Json& task_json : item.at("tasks")) {
      TaskState task = ParseTask(task_json);
      job.job.tasks.push_back(task.spec);
      job.tasks.emplace(task.spec.name, std::move(task));
    }
    state.jobs_.emplace(job.job.id, std::move(job));
  }
  json.at("finished").get_to(state.finished_);
  for (const Json& claim : json.at("claims")) {
    state.claims_.emplace(claim.at(0), claim.at(1));
    state.claim_order_.push_back(claim.at(0));
  }
  return state;
}

}  // namespace doorwood
