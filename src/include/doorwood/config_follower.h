// SPDX-License-Identifier: Apache-2.0

/// \file
/// Watches the operators' queue table and keeps its newest version in force.
/// The version in force never decreases while the process runs.

#ifndef DOORWOOD_CONFIG_FOLLOWER_H_
#define DOORWOOD_CONFIG_FOLLOWER_H_

#include <functional>
#include <memory>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/queue_table.h"

namespace doorwood {

struct ConfigFollowerOptions {
  /// Maximum time that one watch call waits. It is short because a watch can
  /// stop delivering changes without reporting an error.
  Millis watch_wait{700};
  Millis retry_pause{120};
  /// Interval between full reads, which find changes that the watch missed.
  Millis read_interval{1500};
  /// The same, and the wait of a watch call, if another instance tells the
  /// newest version (`ConfigFollower::ReadIfOlder`). In a large deployment, the
  /// full reads of all instances would otherwise take much of the store's link.
  Millis sparse_read_interval{6000};
  Millis sparse_watch_wait{3000};
};

/// Reads the queue table once, then watches it for changes, and rereads it
/// after errors and at a fixed interval.
class ConfigFollower {
 public:
  using ChangeHandler =
      std::function<void(std::shared_ptr<const QueueTable> table)>;

  ConfigFollower(Executor& executor,
                 QueueTableSource& source,
                 EventLog& log,
                 const ConfigFollowerOptions& options);

  /// `on_change` is called with each table that comes into force.
  void Start(ChangeHandler on_change);
  void Stop() { stopped_ = true; }
  /// Whether `sparse_read_interval` and `sparse_watch_wait` apply.
  void set_reads_sparsely(bool sparse) { reads_sparsely_ = sparse; }
  /// Reads the table unless it has this version or a later one: another
  /// instance has it in force.
  void ReadIfOlder(int64_t version);

  /// The table in force; null before the first successful read.
  const std::shared_ptr<const QueueTable>& table() const { return table_; }

 private:
  void Read();
  void Watch();
  void ApplyIfNewer(const QueueTableSource::Snapshot& snapshot);

  Executor& executor_;
  QueueTableSource& source_;
  EventLog& log_;
  const ConfigFollowerOptions options_;
  ChangeHandler on_change_;
  std::shared_ptr<const QueueTable> table_;
  int64_t watched_revision_ = 0;
  Instant last_read_{};
  bool reads_sparsely_ = false;
  /// A read that `ReadIfOlder` has begun is under way.
  bool reading_newer_ = false;
  bool reachable_ = true;
  bool stopped_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_CONFIG_FOLLOWER_H_
