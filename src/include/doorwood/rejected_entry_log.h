// SPDX-License-Identifier: Apache-2.0

/// \file
/// Log of directory entries that are rejected. The directory is read
/// repeatedly, so each combination of entry and reason is logged once, up to a
/// limit.

#ifndef DOORWOOD_REJECTED_ENTRY_LOG_H_
#define DOORWOOD_REJECTED_ENTRY_LOG_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "doorwood/event_log.h"

namespace doorwood {

class RejectedEntryLog {
 public:
  /// Maximum number of different pairs of entry and reason that are logged.
  static constexpr size_t kMaxDistinctRejections = 256;

  /// `component` is the log component of the directory's reader.
  RejectedEntryLog(EventLog& log, std::string component)
      : log_(log), component_(std::move(component)) {}

  /// Counts a rejected entry and logs it if this pair of entry and reason is
  /// new.
  void Record(const std::string& id, std::string_view reason);

  /// Number of different pairs of entry and reason, up to
  /// `kMaxDistinctRejections`.
  size_t distinct_rejection_count() const { return logged_entries_.size(); }
  /// Total number of rejections; an entry is counted again each time it is
  /// read.
  uint64_t rejection_count() const { return rejection_count_; }

 private:
  EventLog& log_;
  const std::string component_;
  std::set<std::pair<std::string, std::string>> logged_entries_;
  uint64_t rejection_count_ = 0;
  bool limit_logged_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_REJECTED_ENTRY_LOG_H_
