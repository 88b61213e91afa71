// SPDX-License-Identifier: Apache-2.0

#include "doorwood/unaccounted_workers.h"

namespace doorwood {

std::string_view ToString(WorkerWaitReason reason) {
  return reason == WorkerWaitReason::kNotContacted ? "not contacted"
                                                   : "ends not listed";
}

std::string_view ToString(TaskWaitReason reason) {
  switch (reason) {
    case TaskWaitReason::kRecordedPlacement:
      return "recorded placement";
    case TaskWaitReason::kRecordedTask:
      return "recorded task list";
    case TaskWaitReason::kAnyTask:
      break;
  }
  return "any task may run there";
}

const std::string& UnaccountedWorkers::LongerWait(const std::string& a,
                                                  const std::string& b) const {
  return workers_.at(a).left >= workers_.at(b).left ? a : b;
}

void UnaccountedWorkers::Add(std::string_view worker,
                             const WorkerWait& wait,
                             std::span<const std::string> tasks) {
  const std::string id(worker);
  workers_.emplace(id, wait);
  for (const std::string& task : tasks) {
    std::string& longest = tasks_.try_emplace(task, id).first->second;
    longest = LongerWait(longest, id);
  }
}

void UnaccountedWorkers::Add(std::string_view worker,
                             const WorkerWait& wait,
                             WorkerGroup group) {
  const std::string id(worker);
  workers_.emplace(id, wait);
  std::string& longest = groups_.try_emplace(group, id).first->second;
  longest = LongerWait(longest, id);
}

bool UnaccountedWorkers::MayHave(const Task& task) const {
  const WorkerGroup confined_to = ConfinedTo(task);
  const bool may_be_in_group =
      confined_to == 0 ? !groups_.empty() : groups_.contains(confined_to);
  return may_be_in_group || (!tasks_.empty() && tasks_.contains(task.name()));
}

std::optional<TaskWait> UnaccountedWorkers::FindWait(
    const Task& task,
    bool has_recorded_placement) const {
  if (!MayHave(task)) {
    return std::nullopt;
  }
  if (has_recorded_placement) {
    const auto found = workers_.find(task.assigned_worker);
    return found == workers_.end()
               ? std::nullopt
               : std::optional(TaskWait{found->first, found->second,
                                        TaskWaitReason::kRecordedPlacement});
  }
  const WorkerGroup confined_to = ConfinedTo(task);
  const std::string* open = nullptr;
  for (const auto& [group, worker] : groups_) {
    if (confined_to == 0 || group == confined_to) {
      open = open == nullptr ? &worker : &LongerWait(*open, worker);
    }
  }
  const auto listed = tasks_.find(task.name());
  const bool is_listed = listed != tasks_.end();
  const bool list_is_longer =
      is_listed && (open == nullptr ||
                    &LongerWait(listed->second, *open) == &listed->second);
  const std::string& worker = list_is_longer ? listed->second : *open;
  return TaskWait{worker, workers_.at(worker),
                  list_is_longer ? TaskWaitReason::kRecordedTask
                                 : TaskWaitReason::kAnyTask};
}

}  // namespace doorwood
