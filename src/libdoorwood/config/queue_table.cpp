// SPDX-License-Identifier: Apache-2.0

#include "doorwood/queue_table.h"

#include <algorithm>
#include <utility>

namespace doorwood {

QueueTable::QueueTable(int64_t version,
                       std::vector<Queue> queues,
                       HttpLimits limits,
                       std::vector<std::string> services_without_capacity_check,
                       std::string source)
    : version_(version),
      queues_(std::move(queues)),
      limits_(limits),
      services_without_capacity_check_(
          std::move(services_without_capacity_check)),
      source_(std::move(source)) {
  // Longest prefix first, so that the first match is the most specific one.
  std::stable_sort(queues_.begin(), queues_.end(),
                   [](const Queue& a, const Queue& b) {
                     return a.path_prefix.size() > b.path_prefix.size();
                   });
}

const Queue* QueueTable::FindByPath(std::string_view host,
                                    std::string_view path) const {
  for (const Queue& queue : queues_) {
    if (queue.host == host && path.starts_with(queue.path_prefix)) {
      return &queue;
    }
  }
  return nullptr;
}

const Queue* QueueTable::FindByName(std::string_view name) const {
  const auto found =
      std::find_if(queues_.begin(), queues_.end(),
                   [name](const Queue& queue) { return queue.name == name; });
  return found == queues_.end() ? nullptr : &*found;
}

bool QueueTable::HasDropped(std::string_view queue, int64_t version) const {
  return version < version_ && FindByName(queue) == nullptr;
}

bool QueueTable::WorkersCheckCapacity(std::string_view service) const {
  return std::find(services_without_capacity_check_.begin(),
                   services_without_capacity_check_.end(),
                   service) == services_without_capacity_check_.end();
}

}  // namespace doorwood
