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
        log_.Write("warn", "config", "the configuration can't be read",
                   {{"error", error.message()},
                    {"version", table_ ? table_->version() : 0}});
      }
      executor_.Schedule(options_.retry_pause, [this] { Read(); });
      return;
    }
    if (!reachable_) {
      reachable_ = true;
      log_.Write("info", "config", "the configuration can be read again",
                 Json::object());
    }
    read_at_ = executor_.Now();
    Take(snapshot);
    if (!table_) {
      executor_.Schedule(options_.retry_pause, [this] { Read(); });
      return;
    }
    Wait();
  });
}

void ConfigFollower::Wait() {
  if (stopped_) {
    return;
  }
  source_.WaitForChange(
      at_, options_.watch_wait,
      [this](std::error_code error,
             const QueueTableSource::Snapshot& snapshot) {
        if (error) {
          executor_.Schedule(options_.retry_pause, [this] { Read(); });
          return;
        }
        Take(snapshot);
        if (executor_.Now() - read_at_ >= options_.read_interval) {
          Read();
        } else {
          Wait();
        }
      });
}

void ConfigFollower::Take(const QueueTableSource::Snapshot& snapshot) {
  at_ = std::max(at_, snapshot.at);
  if (!snapshot.table ||
      (table_ && snapshot.table->version() <= table_->version())) {
    return;
  }
  log_.Write("info", "config", "configuration in force",
             {{"version", snapshot.table->version()},
              {"before", table_ ? table_->version() : 0},
              {"queues", snapshot.table->queues().size()},
              {"revision", snapshot.at}});
  table_ = snapshot.table;
  on_change_(table_);
}

}  // namespace doorwood
