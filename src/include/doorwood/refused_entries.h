// SPDX-License-Identifier: Apache-2.0

/// \file
/// Entries of a list that are not used. Lists are read again and again: each
/// entry is told once for each reason, and no more than a bounded number.

#ifndef DOORWOOD_REFUSED_ENTRIES_H_
#define DOORWOOD_REFUSED_ENTRIES_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "doorwood/event_log.h"

namespace doorwood {

class RefusedEntries {
 public:
  /// Pairs of entry and reason that are remembered and logged.
  static constexpr size_t kMostKept = 256;

  /// `component` names the list's reader in the log.
  RefusedEntries(EventLog& log, std::string component)
      : log_(log), component_(std::move(component)) {}

  void Note(const std::string& id, std::string_view reason);

  /// Different pairs of entry and reason, up to the bound.
  size_t kept() const { return kept_.size(); }
  /// Refusals in all, each reading's counted.
  uint64_t total() const { return total_; }

 private:
  EventLog& log_;
  const std::string component_;
  std::set<std::pair<std::string, std::string>> kept_;
  uint64_t total_ = 0;
  bool full_told_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_REFUSED_ENTRIES_H_
