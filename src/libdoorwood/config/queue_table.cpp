// SPDX-License-Identifier: Apache-2.0

#include "doorwood/queue_table.h"

#include <algorithm>
#include <utility>

namespace doorwood {

QueueTable::QueueTable(int64_t version,
                       std::vector<Queue> queues,
                       FrontLimits limits,
                       std::vector<std::string> unguarded_services)
    : version_(version),
      queues_(std::move(queues)),
      limits_(limits),
      unguarded_services_(std::move(unguarded_services)) {
  // Longest prefix first, so that the first match is the most specific one.
  std::stable_sort(queues_.begin(), queues_.end(),
                   [](const Queue& a, const Queue& b) {
                     return a.path_prefix.size() > b.path_prefix.size();
                   });
}

const Queue* QueueTable::Match(std::string_view host,
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

bool QueueTable::GuardsCapacity(std::string_view service) const {
  return std::find(unguarded_services_.begin(), unguarded_services_.end(),
                   service) == unguarded_services_.end();
}

}  // namespace doorwood
