// SPDX-License-Identifier: Apache-2.0

#include "doorwood/rejected_entry_log.h"

namespace doorwood {

void RejectedEntryLog::Record(const std::string& id, std::string_view reason) {
  ++rejection_count_;
  std::pair<std::string, std::string> pair(id, reason);
  if (logged_entries_.contains(pair)) {
    return;
  }
  if (logged_entries_.size() < kMaxDistinctRejections) {
    logged_entries_.insert(std::move(pair));
    log_.Write("warn", component_, "rejected a directory entry",
               {{"id", id}, {"reason", reason}});
    return;
  }
  if (!limit_logged_) {
    limit_logged_ = true;
    log_.Write("warn", component_,
               "further rejected directory entries are not logged",
               {{"told", kMaxDistinctRejections}});
  }
}

}  // namespace doorwood
