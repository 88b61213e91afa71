// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that a leader has removed from its cell.

#ifndef DOORWOOD_FORMER_WORKERS_H_
#define DOORWOOD_FORMER_WORKERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "doorwood/run_worker.h"
#include "doorwood/types.h"

namespace doorwood {

class FormerWorkers {
 public:
  /// Notes that a worker was removed at `now`; orders to it had tokens up to
  /// `token`.
  void NoteRemoved(std::string_view id, uint64_t token, Instant now);
  /// Highest token of orders to a worker with this id that was removed, and
  /// whose orders may still be carried out; empty: there was none.
  std::optional<uint64_t> LatestToken(std::string_view id, Instant now) const;

  /// Notes that another incarnation has answered in the place of this one.
  void NoteReplaced(const WorkerIncarnation& incarnation);
  /// Whether the directory entry is of an incarnation that has been replaced.
  bool IsReplaced(const WorkerIncarnation& entry) const;
  /// Forgets replaced incarnations whose ids the directory no longer lists.
  void ForgetUnlisted(std::span<const WorkerIncarnation> listed);
  void Clear();

 private:
  struct Removed {
    uint64_t token = 0;
    Instant at{};
  };

  std::map<std::string, Removed, std::less<>> removed_;
  std::map<std::string, WorkerIncarnation, std::less<>> replaced_;
};

}  // namespace doorwood

#endif  // DOORWOOD_FORMER_WORKERS_H_
