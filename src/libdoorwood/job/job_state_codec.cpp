// SPDX-License-Identifier: Apache-2.0

// The state of a job as it is kept in the store.

#include <algorithm>
#include <array>
#include <map>
#include <stdexcept>
#include <utility>

#include "doorwood/job_repetitions.h"
#include "doorwood/job_table.h"
#include "doorwood/json_codec.h"
#include "doorwood/known_queues.h"

namespace doorwood {
namespace {

constexpr std::array<std::pair<JobOutcome, char>, 4> kOutcomeLetters = {
    {{JobOutcome::kOpen, 'o'},
     {JobOutcome::kCompleted, 'd'},
     {JobOutcome::kFailed, 'f'},
     {JobOutcome::kCancelled, 'c'}}};

bool HasStateToStore(const Task& task) {
  return task.done || task.last_run > 0;
}

constexpr size_t kCrashesColumn = 8;
constexpr size_t kAssignedWorkerColumn = 9;

// [run, machine, worker, evidence, suspect, in trial, mass crash, observed
// running (ms)]
Json EncodeCrash(const CrashNote& crash) {
  return Json::array({crash.run, crash.machine, crash.worker,
                      static_cast<int>(crash.evidence), crash.suspect ? 1 : 0,
                      crash.in_trial ? 1 : 0, crash.mass_crash ? 1 : 0,
                      crash.observed_running.count()});
}

CrashNote DecodeCrash(const Json& row) {
  CrashNote crash;
  row.at(0).get_to(crash.run);
  row.at(1).get_to(crash.machine);
  row.at(2).get_to(crash.worker);
  const int evidence = row.at(3).get<int>();
  crash.evidence = CrashEvidence::kUnconfirmed;
  for (const auto known :
       {CrashEvidence::kRestarted, CrashEvidence::kVanished}) {
    if (evidence == static_cast<int>(known)) {
      crash.evidence = known;
    }
  }
  crash.suspect = row.at(4).get<int>() != 0;
  crash.in_trial = row.at(5).get<int>() != 0;
  crash.mass_crash = row.at(6).get<int>() != 0;
  crash.observed_running = Millis(row.at(7).get<int64_t>());
  return crash;
}

// How much of a task's state is encoded. Without checkpoints, work is done
// again; without crash notes, a task that may crash its workers is tried like
// any other.
enum class Detail { kAll, kNoCheckpoints, kNoCrashes };

// Field of the ranges of `Job::dropped_repetitions`. Versions that do not know
// it take these repetitions as not done.
constexpr const char* kDroppedField = "done_times";
// Field of `Job::dropped_policy`.
constexpr const char* kPolicyField = "policy";
// Fields of `Job::started`. Earlier versions wrote and read the first only, and
// set it once a start was ordered.
constexpr const char* kOrderedField = "begun";
constexpr const char* kBegunField = "ran";
// Field of the names to which the last column of the rows refers by index.
constexpr const char* kWorkersField = "workers";

/// Names of workers, each once.
class WorkerNames {
 public:
  int IndexOf(const std::string& name) {
    const auto [entry, added] =
        indices_.try_emplace(name, static_cast<int>(names_.size()));
    if (added) {
      names_.push_back(name);
    }
    return entry->second;
  }
  const Json& names() const { return names_; }

 private:
  std::map<std::string, int> indices_;
  Json names_ = Json::array();
};

// [repetition, step, index, last run, counted run, failed runs, checkpoint,
// done], followed by the crashes if there are crashes or an assigned worker,
// and by the assigned worker if there is one: its name, or in a state without
// details an index. Older versions ignore the extra columns.
Json EncodeTask(const Task& task, Detail detail, WorkerNames* workers) {
  Json row = Json::array({task.repetition, task.step, task.index, task.last_run,
                          task.counted_run, task.failed_runs,
                          detail == Detail::kAll ? task.checkpoint : "",
                          task.done ? 1 : 0});
  const bool has_crashes =
      !task.crashes.empty() && !task.done && detail != Detail::kNoCrashes;
  if (has_crashes || !task.assigned_worker.empty()) {
    Json crashes = Json::array();
    if (detail != Detail::kNoCrashes) {
      for (const CrashNote& crash : task.crashes) {
        crashes.push_back(EncodeCrash(crash));
      }
    }
    row.push_back(std::move(crashes));
  }
  if (!task.assigned_worker.empty()) {
    row.push_back(detail == Detail::kNoCrashes
                      ? Json(workers->IndexOf(task.assigned_worker))
                      : Json(task.assigned_worker));
  }
  return row;
}

std::string DecodeAssignedWorker(const Json& column, const Json& state) {
  if (column.is_string()) {
    return column.get<std::string>();
  }
  return state.at(kWorkersField).at(column.get<size_t>()).get<std::string>();
}

Task& TaskOfRow(const Json& row, Job* job) {
  RepetitionState* repetition = HoldRepetition(job, row.at(0).get<int>());
  if (repetition == nullptr) {
    throw std::out_of_range("repetition");
  }
  return repetition->steps.at(row.at(1).get<size_t>())
      .tasks.at(row.at(2).get<size_t>());
}

// Whether what was read of the job's tasks shows that one of them has begun.
bool ShowsBegin(const Job& job) {
  const auto has_begun = [](const Task& task) {
    return task.done || !task.failed_runs.empty() || !task.checkpoint.empty();
  };
  const auto has_begun_task = [&](const StepState& step) {
    return std::any_of(step.tasks.begin(), step.tasks.end(), has_begun);
  };
  return job.dropped_repetitions.size() > 0 ||
         std::any_of(job.repetitions.begin(), job.repetitions.end(),
                     [&](const auto& entry) {
                       return std::any_of(entry.second.steps.begin(),
                                          entry.second.steps.end(),
                                          has_begun_task);
                     });
}

std::string Encode(const Job& job, Detail detail) {
  Json tasks = Json::array();
  WorkerNames workers;
  // The tasks of a finished job are no longer needed.
  const bool open = job.outcome == JobOutcome::kOpen;
  if (open) {
    for (const auto& [number, repetition] : job.repetitions) {
      for (const StepState& step : repetition.steps) {
        for (const Task& task : step.tasks) {
          if (HasStateToStore(task)) {
            tasks.push_back(EncodeTask(task, detail, &workers));
          }
        }
      }
    }
  }
  char letter = 'o';
  for (const auto& [outcome, known] : kOutcomeLetters) {
    if (outcome == job.outcome) {
      letter = known;
    }
  }
  Json state{{"outcome", std::string(1, letter)},
             {"finished_at", job.finished_at},
             {kOrderedField, job.started},
             {kBegunField, job.started},
             {"tasks", std::move(tasks)}};
  if (!job.reason.empty()) {
    state["reason"] = job.reason;
  }
  if (job.spread != SpreadRecord::kConfined) {
    state["spread"] = true;
  }
  if (open && job.dropped_policy) {
    state[kPolicyField] = EncodePolicy(*job.dropped_policy);
  }
  if (open && job.dropped_repetitions.size() > 0) {
    state[kDroppedField] = job.dropped_repetitions.ranges();
  }
  if (!workers.names().empty()) {
    state[kWorkersField] = workers.names();
  }
  return state.dump();
}

}  // namespace

std::string EncodeJobState(const Job& job, size_t max_bytes) {
  std::string state;
  for (const Detail detail :
       {Detail::kAll, Detail::kNoCheckpoints, Detail::kNoCrashes}) {
    state = Encode(job, detail);
    if (state.size() <= max_bytes) {
      break;
    }
  }
  return state;
}

bool DecodeJobState(std::string_view text, Job* job) {
  const auto json = ParseJson(text);
  if (!json) {
    return false;
  }
  bool valid = true;
  try {
    const std::string letter = json->at("outcome").get<std::string>();
    job->finished_at = json->at("finished_at").get<int64_t>();
    const bool ordered = json->at(kOrderedField).get<bool>();
    job->started = json->value(kBegunField, false);
    if (json->contains("reason")) {
      job->reason = json->at("reason").get<std::string>();
    }
    if (json->value("spread", false)) {
      job->spread = SpreadRecord::kRecorded;
      job->was_spread = true;
    }
    if (json->contains(kPolicyField)) {
      job->dropped_policy =
          DecodePolicy(job->plan.queue, json->at(kPolicyField));
    }
    for (const Json& range : json->value(kDroppedField, Json::array())) {
      const int end = std::min(range.at(1).get<int>(), job->plan.repetitions());
      job->dropped_repetitions.Add(std::max(range.at(0).get<int>(), 0), end);
    }
    for (const Json& row : json->at("tasks")) {
      Task& task = TaskOfRow(row, job);
      row.at(3).get_to(task.last_run);
      row.at(4).get_to(task.counted_run);
      row.at(5).get_to(task.failed_runs);
      row.at(6).get_to(task.checkpoint);
      task.done = row.at(7).get<int>() != 0;
      if (row.size() > kCrashesColumn) {
        for (const Json& crash : row.at(kCrashesColumn)) {
          task.crashes.push_back(DecodeCrash(crash));
        }
      }
      if (row.size() > kAssignedWorkerColumn) {
        task.assigned_worker =
            DecodeAssignedWorker(row.at(kAssignedWorkerColumn), *json);
      }
    }
    if (ordered && !json->contains(kBegunField)) {
      job->started = ShowsBegin(*job);
    }
    for (const auto& [outcome, known] : kOutcomeLetters) {
      if (letter.size() == 1 && letter[0] == known) {
        job->outcome = outcome;
      }
    }
  } catch (const std::exception&) {
    valid = false;  // keeps what was read before the fault
  }
  RecountTasks(job);
  DropDoneRepetitions(job);
  job->outcome_recorded = job->outcome != JobOutcome::kOpen;
  return valid;
}

}  // namespace doorwood
