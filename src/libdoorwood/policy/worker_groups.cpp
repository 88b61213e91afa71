// SPDX-License-Identifier: Apache-2.0

#include "doorwood/worker_groups.h"

#include <algorithm>

namespace doorwood {

void WorkerGroups::Restore(WorkerGroup group) {
  if (group > 0) {
    ++groups_[group].workers;
  }
}

void WorkerGroups::SetKind(WorkerGroup group,
                           const std::string& service,
                           const std::string& data_centre) {
  const auto found = groups_.find(group);
  if (found != groups_.end()) {
    found->second.kind = {service, data_centre};
  }
}

WorkerGroup WorkerGroups::Assign(const std::string& service,
                                 const std::string& data_centre,
                                 size_t workers_of_cell) {
  if (workers_of_cell < options_.min_workers) {
    return 0;
  }
  const Kind kind{service, data_centre};
  for (auto& [number, group] : groups_) {
    if (group.kind == kind && group.workers < options_.group_size) {
      ++group.workers;
      return number;
    }
  }
  const WorkerGroup next = groups_.empty() ? 1 : groups_.rbegin()->first + 1;
  groups_[next] = {kind, 1, {}};
  return next;
}

void WorkerGroups::Remove(WorkerGroup group) {
  const auto found = groups_.find(group);
  if (found != groups_.end() && --found->second.workers == 0) {
    groups_.erase(found);
  }
}

void WorkerGroups::SetLoads(const std::map<WorkerGroup, Load>& loads) {
  for (auto& [number, group] : groups_) {
    const auto load = loads.find(number);
    group.load = load == loads.end() ? Load{} : load->second;
  }
}

WorkerGroup WorkerGroups::Choose(const std::string& service, int64_t cpu) {
  const auto load_after = [cpu](const Load& load) {
    return static_cast<double>(load.used + cpu) /
           static_cast<double>(load.capacity);
  };
  std::pair<const WorkerGroup, Group>* best = nullptr;
  Load in_use;
  size_t groups_in_use = 0;
  for (auto& entry : groups_) {
    Group& group = entry.second;
    const Load& load = group.load;
    const bool has_room = group.kind.first == service &&
                          2 * cpu <= load.capacity &&
                          load.used + cpu <= load.capacity;
    if (!has_room) {
      continue;
    }
    if (best == nullptr || load_after(load) < load_after(best->second.load)) {
      best = &entry;
    }
    in_use.capacity += load.capacity;
    in_use.used += load.used;
    ++groups_in_use;
    const bool is_enough = load_after(in_use) <= options_.wanted_load &&
                           groups_in_use >= options_.min_groups_in_use;
    if (is_enough) {
      break;
    }
  }
  if (best == nullptr) {
    return 0;
  }
  best->second.load.used += cpu;
  return best->first;
}

}  // namespace doorwood
