// SPDX-License-Identifier: Apache-2.0

#include "doorwood/config_follower.h"

#include <algorithm>
#include <utility>

namespace doorwood {

ConfigFollower::ConfigFollower(Executor& executor,
                               QueueTableSource& source,
                               EventLog& log,
                               const ConfigFollowerOptions& options)
    : executor_(executor), source_(source), log_(log), options_(options) {}

void ConfigFollower::Start(ChangeHandler on_change) {
  on_change_ = std::move(on_change);
  Read();
}

void ConfigFollower::Read() {
  if (stopped_) {
    return;
  }
  source_.Read([this](std::error_code error,
                      const QueueTableSource::Snapshot& snapshot) {
    if (error) {
      if (reachable_) {
        reachable_ = false;
        log_.Write("warn", "config", "cannot read the configuration",
                   {{"error", error.message()},
                    {"version", table_ ? table_->version() : 0}});
      }
      executor_.Schedule(options_.retry_pause, [this] { Read(); });
      return;
    }
    if (!reachable_) {
      reachable_ = true;
      log_.Write("info", "config", "configuration is readable again",
                 Json::object());
    }
    last_read_ = executor_.Now();
    ApplyIfNewer(snapshot);
    if (!table_) {
      executor_.Schedule(options_.retry_pause, [this] { Read(); });
      return;
    }
    Watch();
  });
}

void ConfigFollower::Watch() {
  if (stopped_) {
    return;
  }
  source_.WaitForChange(
      watched_revision_,
      reads_sparsely_ ? options_.sparse_watch_wait : options_.watch_wait,
      [this](std::error_code error,
             const QueueTableSource::Snapshot& snapshot) {
        if (error) {
          executor_.Schedule(options_.retry_pause, [this] { Read(); });
          return;
        }
        ApplyIfNewer(snapshot);
        const Millis interval = reads_sparsely_ ? options_.sparse_read_interval
                                                : options_.read_interval;
        if (executor_.Now() - last_read_ >= interval) {
          Read();
        } else {
          Watch();
        }
      });
}

void ConfigFollower::ReadIfOlder(int64_t version) {
  if (stopped_ || reading_newer_ || !table_ || table_->version() >= version) {
    return;
  }
  reading_newer_ = true;
  source_.Read([this](std::error_code error,
                      const QueueTableSource::Snapshot& snapshot) {
    reading_newer_ = false;
    if (!error && !stopped_) {
      last_read_ = executor_.Now();
      ApplyIfNewer(snapshot);
    }
  });
}

void ConfigFollower::ApplyIfNewer(const QueueTableSource::Snapshot& snapshot) {
  watched_revision_ = std::max(watched_revision_, snapshot.revision);
  if (!snapshot.table ||
      (table_ && snapshot.table->version() <= table_->version())) {
    return;
  }
  log_.Write("info", "config", "new configuration in force",
             {{"version", snapshot.table->version()},
              {"before", table_ ? table_->version() : 0},
              {"queues", snapshot.table->queues().size()},
              {"revision", snapshot.revision}});
  table_ = snapshot.table;
  on_change_(table_);
}

}  // namespace doorwood
