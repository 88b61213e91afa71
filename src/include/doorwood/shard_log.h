// SPDX-License-Identifier: Apache-2.0

/// \file
/// The log of a job shard in the key-value store. The log has one writer at a
/// time: a new owner first writes itself into the head, the key that names the
/// shard's owner and its epoch, which every takeover increments. The new owner
/// then seals the log by creating the entry at the next position. After that,
/// appends of an older owner fail; ShardLog::set_lease_valid covers the one
/// exception, a truncated log. See docs/design/job-shards.md.

#ifndef DOORWOOD_SHARD_LOG_H_
#define DOORWOOD_SHARD_LOG_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "doorwood/executor.h"
#include "doorwood/kv.h"
#include "doorwood/shard_state.h"

namespace doorwood {

struct ShardLogOptions {
  /// Appends are collected for this long and written as one batch.
  Millis commit_window{20};
  /// Initial and maximum back-off between attempts of a failing write.
  Millis retry_first{100};
  Millis retry_longest{2000};
  /// Number of log entries after which a snapshot is written.
  int snapshot_after = 64;
};

/// Key of the leased registration of a running entry instance.
std::string AliveKey(const std::string& data_centre,
                     const std::string& instance);

/// All methods must be called on the control thread.
class ShardLog : public std::enable_shared_from_this<ShardLog> {
 public:
  using Done = std::function<void(std::error_code)>;

  /// `instance` and `incarnation` identify this writer in its entries.
  ShardLog(const ShardLogOptions& options,
           const ShardId& shard,
           std::string instance,
           uint64_t incarnation,
           Executor& executor,
           KvStore& kv);

  /// Takes over the shard and replays the log. Fails with CoreErrc::kConflict
  /// if the head names another instance that is alive (its registration exists
  /// and has the incarnation in the head), or if another instance takes the
  /// shard over before this owner has sealed the log.
  void Open(Done done);

  /// Queues a record. `done` is called with success once the record is written
  /// and applied to the state. It is called with kNoOwner at once if the log is
  /// not open, and later if another owner replaces this one before the write is
  /// confirmed; the record may then be in the log. With `refusable`, `done` is
  /// called early if the write fails: kStoreUnavailable (the record is dropped;
  /// returned at once while `failing`) or kOutcomeUnknown (it may be written,
  /// and the write is retried). Without `refusable`, `done` may be null and
  /// gets no result other than success and kNoOwner.
  void Append(LogRecord record, bool refusable, Done done);

  /// Releases the shard once all queued records are written. On failure the
  /// shard stays owned and open. Also succeeds if the log is not open or if
  /// another owner takes over before the release. `done` is not called as long
  /// as the writes of queued records fail. If such a failure drops the last
  /// queued records, `done` is called only once a later append is written or
  /// another owner takes over.
  void Close(Done done);

  /// Reads the head; if its epoch is newer than this owner's, the log is
  /// fenced: closed to further appends. Needed after this instance's
  /// registration has lapsed: an owner that writes nothing would otherwise not
  /// notice that it was replaced. `done` gets an error if the head could not be
  /// read.
  void VerifyOwnership(Done done);

  /// Sets the function that is called when this owner finds that another one
  /// has taken over the shard.
  void set_on_fenced(std::function<void()> on_fenced);

  /// Sets the function that is called for each record that this owner wrote,
  /// once the record is applied to the state, even if the append was already
  /// reported as kOutcomeUnknown.
  void set_on_applied(std::function<void(const LogRecord&)> on_applied);

  /// `lease_valid` returns true while this instance's registration is certain
  /// to be valid by the instance's own clock. While it returns false, a
  /// successful append is reported only after a read of the head has shown that
  /// the epoch there is still this owner's: a newer owner may have truncated
  /// the log, and then the write succeeds because the position does not exist
  /// any more.
  void set_lease_valid(std::function<bool()> lease_valid);

  uint64_t epoch() const { return epoch_; }
  const ShardState& state() const { return state_; }
  /// True after an append failed or could not be confirmed, until one succeeds
  /// or, if none is left to write, until the back-off ends. While true,
  /// refusable appends are refused at once.
  bool failing() const { return failing_; }
  bool is_open() const { return open_; }
  int64_t position() const { return position_; }

 private:
  struct Pending {
    LogRecord record;
    bool refusable = false;
    Done done;
  };

  // Key of the head, which names the shard's current owner, that owner's
  // incarnation and its epoch. After a release the owner is empty, and only the
  // epoch is kept.
  std::string HeadKey() const;
  std::string LogKey(int64_t position) const;
  std::string LogPrefix() const;
  std::string SnapshotKey() const;

  void TakeHeadUnlessOwnerAlive(const KvEntry& head, Done done);
  void TakeHead(int64_t version, uint64_t epoch, Done done);
  void ConfirmHead(uint64_t epoch, Done done);
  void Seal(Done done);
  void WriteSeal(int64_t position, Done done);
  void Replay(Done done);
  void ReplayEntries(const KvEntry& snapshot,
                     const std::vector<KvEntry>& entries,
                     Done done);
  bool ApplyEntries(const std::vector<KvEntry>& entries);

  void ScheduleCommit(Millis delay);
  void Commit();
  std::string BatchValue() const;
  void OnCommitted(std::error_code error);
  void OnPositionTaken();
  void FinishBatchIfOwner();
  void FinishBatch();
  void FailRefusableAppends(std::error_code error);
  void RetryLater();
  void BecomeFenced();
  void MaybeSnapshot();
  void TruncateUpTo(int64_t position);
  void WriteClosedHead();
  void ConfirmClosed();
  void FinishClose(std::error_code error);

  ShardLogOptions options_;
  ShardId shard_;
  std::string instance_;
  uint64_t incarnation_;
  Executor& executor_;
  KvStore& kv_;
  std::function<void()> on_fenced_;
  std::function<bool()> lease_valid_;
  std::function<void(const LogRecord&)> on_applied_;

  ShardState state_;
  uint64_t epoch_ = 0;
  int64_t head_version_ = 0;
  // Last position that is known to be written.
  int64_t position_ = 0;
  int64_t snapshot_position_ = 0;
  int64_t snapshot_version_ = 0;
  bool snapshot_running_ = false;
  bool open_ = false;
  bool fenced_ = false;
  bool failing_ = false;
  int takeover_retries_ = 0;

  std::vector<Pending> queue_;
  // The batch being written. Its value does not change once it may have been
  // written, so that a repeated write is recognized as the same one.
  std::vector<Pending> batch_;
  bool commit_scheduled_ = false;
  bool batch_in_flight_ = false;
  bool batch_may_exist_ = false;
  Millis retry_{0};
  Done on_closed_;
};

}  // namespace doorwood

#endif  // DOORWOOD_SHARD_LOG_H_
