// SPDX-License-Identifier: Apache-2.0

/// \file
/// Keeps the newest queue table of the operators in force. A version never
/// goes down within one life of the process.

#ifndef DOORWOOD_CONFIG_FOLLOWER_H_
#define DOORWOOD_CONFIG_FOLLOWER_H_

#include <functional>
#include <memory>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/queue_table.h"

namespace doorwood {

struct ConfigFollowerOptions {
  /// Short, since a watch may hear nothing without saying so.
  Millis watch_wait{700};
  Millis retry_pause{120};
  /// A full read this often, whatever the watch says.
  Millis read_interval{1500};
};

class ConfigFollower {
 public:
  using ChangeHandler =
      std::function<void(std::shared_ptr<const QueueTable> table)>;

  ConfigFollower(Executor& executor,
                 QueueTableSource& source,
                 EventLog& log,
                 const ConfigFollowerOptions& options);

  void Start(ChangeHandler on_change);
  void Stop() { stopped_ = true; }

  const std::shared_ptr<const QueueTable>& table() const { return table_; }

 private:
  void Read();
  void Wait();
  void Take(const QueueTableSource::Snapshot& snapshot);

  Executor& executor_;
  QueueTableSource& source_;
  EventLog& log_;
  const ConfigFollowerOptions options_;
  ChangeHandler on_change_;
  std::shared_ptr<const QueueTable> table_;
  int64_t at_ = 0;
  Instant read_at_{};
  bool reachable_ = true;
  bool stopped_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_CONFIG_FOLLOWER_H_
