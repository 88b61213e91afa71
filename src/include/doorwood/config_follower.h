// SPDX-License-Identifier: Apache-2.0

/// \file
/// Keeps the newest version of the operators' queue table in force, and says
/// how old it may be. The version in force never decreases while the process
/// runs.
///
/// A watch and full reads are independent of each other, so that either alone
/// brings a new version: a watch at once, full reads within `read_interval`
/// plus the time for an answer. In a large deployment, where full reads are
/// sparse, the leader's word takes their place. So each one of these faults
/// leaves a bound: watches that deliver nothing, connections that are silent, a
/// store that forgets its history, a leader that does not answer. An instance
/// that cannot reach the store takes a newer table from the leader that told of
/// it.

#ifndef DOORWOOD_CONFIG_FOLLOWER_H_
#define DOORWOOD_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/queue_table.h"

namespace doorwood {

struct ConfigFollowerOptions {
  /// Interval between the begins of full reads.
  Millis read_interval{1200};
  /// The same for an instance that leads a cell and so tells others the newest
  /// version.
  Millis leader_read_interval{500};
  /// The same for the other instances of a large deployment, whose full reads
  /// would otherwise take much of the store's link.
  Millis sparse_read_interval{6000};
  /// A read that took longer than `slow_read` fills the network link of this
  /// machine; the next one begins this many times its duration later.
  Millis slow_read{300};
  int slow_read_factor = 5;
  /// Maximum time that one watch call waits, and that in a large deployment.
  Millis watch_wait{1000};
  Millis sparse_watch_wait{3000};
  Millis retry_pause{120};
  /// While an answer with the table is arriving, no further read begins; pause
  /// between the checks for that.
  Millis receiving_check_pause{50};
  /// How long a request waits for a version that is known to be in force
  /// elsewhere, and how many may wait.
  Millis max_request_wait{300};
  size_t max_waiting_requests = 200;
  /// The table is logged as possibly out of date if no read has confirmed it
  /// for this much longer than the interval of full reads.
  Millis late_margin{1300};
};

struct ConfigCounters {
  uint64_t reads_failed = 0;
  uint64_t watches_failed = 0;
  /// Tables that could not be decoded.
  uint64_t tables_rejected = 0;
  /// Requests that came while a newer version was known, and those of them that
  /// were refused since it did not come in time.
  uint64_t requests_waited = 0;
  uint64_t requests_refused = 0;
};

class ConfigFollower {
 public:
  using ChangeHandler =
      std::function<void(std::shared_ptr<const QueueTable> table)>;
  using TableCallback = ChangeHandler;

  ConfigFollower(Executor& executor,
                 QueueTableSource& source,
                 EventLog& log,
                 const ConfigFollowerOptions& options);

  /// Reads the table of another instance. Called while `IsOutdated` if the
  /// source cannot be read or has an older table all the same.
  void set_fallback(std::function<void(QueueTableSource::Callback done)> read) {
    read_fallback_ = std::move(read);
  }
  /// `on_change` is called with each table that comes into force.
  void Start(ChangeHandler on_change);
  void Stop() { stopped_ = true; }
  /// Whether this is an instance of a large deployment that does not lead.
  void set_reads_sparsely(bool sparse);
  /// Whether this instance leads a cell.
  void set_leads(bool leads);
  /// Another instance has this version in force. Reads the table unless this
  /// one has that version or a later one.
  void ReadIfOlder(int64_t version);

  /// The table in force; null before the first successful read.
  const std::shared_ptr<const QueueTable>& table() const { return table_; }
  /// Whether a version is known that is newer than the one in force.
  bool IsOutdated() const { return newest_reported_ > version(); }
  /// The table by which a request is to be handled; null: there is none yet, or
  /// `IsOutdated`.
  std::shared_ptr<const QueueTable> current_table() const {
    return IsOutdated() ? nullptr : table_;
  }
  /// Passes that table to `done`, at once or when `IsOutdated` ends. Null:
  /// there is no table yet, or the newer one has not come in time.
  void AwaitCurrent(TableCallback done);

  /// Version in force; 0: none.
  int64_t version() const { return table_ ? table_->version() : 0; }
  /// Newest version that another instance has reported; 0: none.
  int64_t newest_reported() const { return newest_reported_; }
  /// Upper bound of the time for which a newer version may have been in the
  /// store, according to this instance's own reads and watches.
  Millis Age() const;
  const ConfigCounters& counters() const { return counters_; }

 private:
  struct WaitingRequest {
    TableCallback done;
    Executor::TimerId timer = 0;
  };

  void ScheduleRead(Millis delay);
  void BeginRead();
  void OnRead(Instant began,
              std::error_code error,
              const QueueTableSource::Snapshot& snapshot);
  void ReadFallback();
  Millis ReadInterval() const;
  /// Schedules the next read by the begin and the duration of the last.
  void ScheduleNextRead();
  void Watch();
  void OnWatch(Instant began,
               std::error_code error,
               const QueueTableSource::Snapshot& snapshot);
  void ApplyIfNewer(const QueueTableSource::Snapshot& snapshot,
                    std::string_view received_by);
  void RejectTable(const QueueTableSource::Snapshot& snapshot);
  void RefuseRequest(const TableCallback& done);
  void ReleaseWaiting(const std::shared_ptr<const QueueTable>& table);
  void CheckAge();
  void LogState(std::string_view message) const;

  Executor& executor_;
  QueueTableSource& source_;
  EventLog& log_;
  const ConfigFollowerOptions options_;
  std::function<void(QueueTableSource::Callback done)> read_fallback_;
  bool reading_fallback_ = false;
  ChangeHandler on_change_;
  std::shared_ptr<const QueueTable> table_;
  /// Watches ask for changes after this store revision: that of the last full
  /// read or of the newest change that a watch has delivered. An empty answer
  /// does not advance it, so that a watch that failed to deliver a change is
  /// followed by one that delivers it.
  int64_t watch_revision_ = 0;
  int64_t newest_reported_ = 0;
  Instant reported_at_{};
  int64_t rejected_revision_ = 0;
  /// No newer table was in the store at this time.
  Instant as_of_{};
  bool reading_ = false;
  bool watching_ = false;
  Instant read_began_{};
  Instant::duration read_duration_{};
  Executor::TimerId read_timer_ = 0;
  bool reads_sparsely_ = false;
  bool leads_ = false;
  /// Since the last read that succeeded.
  uint64_t reads_failed_ = 0;
  std::error_code read_error_;
  std::string read_problem_;
  bool watch_failing_ = false;
  bool late_ = false;
  bool stopped_ = false;
  uint64_t requests_ = 0;
  /// Version for which refused requests were logged.
  int64_t refused_for_ = 0;
  std::map<uint64_t, WaitingRequest> waiting_;
  ConfigCounters counters_;
};

}  // namespace doorwood

#endif  // DOORWOOD_CONFIG_FOLLOWER_H_
