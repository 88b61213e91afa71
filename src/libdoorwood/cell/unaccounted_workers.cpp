// SPDX-License-Identifier: Apache-2.0

#include "doorwood/unaccounted_workers.h"

namespace doorwood {

void UnaccountedWorkers::Add(std::string_view worker,
                             std::span<const std::string> tasks) {
  workers_.emplace(worker);
  tasks_.insert(tasks.begin(), tasks.end());
}

void UnaccountedWorkers::Add(std::string_view worker, WorkerGroup group) {
  workers_.emplace(worker);
  groups_.insert(group);
}

bool UnaccountedWorkers::MayHave(const Task& task) const {
  const WorkerGroup confined_to = ConfinedTo(task);
  const bool may_be_in_group =
      confined_to == 0 ? !groups_.empty() : groups_.contains(confined_to);
  return may_be_in_group || (!tasks_.empty() && tasks_.contains(task.name()));
}

}  // namespace doorwood
