// SPDX-License-Identifier: Apache-2.0

#include "doorwood/shard_log.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "doorwood/error.h"
#include "shard_log_entries.h"

namespace doorwood {

using pvt::EpochOf;
using pvt::ParseHead;

std::string AliveKey(const std::string& data_centre,
                     const std::string& instance) {
  return "alive/" + data_centre + "/" + instance;
}

ShardLog::ShardLog(const ShardLogOptions& options,
                   const ShardId& shard,
                   std::string instance,
                   uint64_t incarnation,
                   Executor& executor,
                   KvStore& kv)
    : options_(options),
      shard_(shard),
      instance_(std::move(instance)),
      incarnation_(incarnation),
      executor_(executor),
      kv_(kv) {}

void ShardLog::set_on_fenced(std::function<void()> on_fenced) {
  on_fenced_ = std::move(on_fenced);
}

void ShardLog::set_lease_valid(std::function<bool()> lease_valid) {
  lease_valid_ = std::move(lease_valid);
}

void ShardLog::set_on_applied(
    std::function<void(const LogRecord&)> on_applied) {
  on_applied_ = std::move(on_applied);
}

std::string ShardLog::HeadKey() const {
  return "shard/" + ToString(shard_) + "/head";
}

std::string ShardLog::LogPrefix() const {
  return "shard/" + ToString(shard_) + "/log/";
}

std::string ShardLog::LogKey(int64_t position) const {
  constexpr int kDigits = 12;
  std::string digits = std::to_string(position);
  digits.insert(0, kDigits - std::min<size_t>(kDigits, digits.size()), '0');
  return LogPrefix() + digits;
}

std::string ShardLog::SnapshotKey() const {
  return "shard/" + ToString(shard_) + "/snapshot";
}

// --- Appending ---

void ShardLog::Append(LogRecord record, bool refusable, Done done) {
  if (fenced_ || !open_) {
    if (done) {
      done(CoreErrc::kNoOwner);
    }
    return;
  }
  if (refusable && failing_) {
    done(CoreErrc::kStoreUnavailable);
    return;
  }
  queue_.push_back({std::move(record), refusable, std::move(done)});
  ScheduleCommit(options_.commit_window);
}

void ShardLog::ScheduleCommit(Millis delay) {
  if (commit_scheduled_ || batch_in_flight_ || fenced_) {
    return;
  }
  commit_scheduled_ = true;
  executor_.Schedule(delay, [self = shared_from_this()]() {
    self->commit_scheduled_ = false;
    self->Commit();
  });
}

void ShardLog::Commit() {
  if (batch_in_flight_ || fenced_) {
    return;
  }
  if (batch_.empty()) {
    batch_.swap(queue_);
    batch_may_exist_ = false;
  }
  if (batch_.empty()) {
    return;
  }
  batch_in_flight_ = true;
  const bool intent =
      std::any_of(batch_.begin(), batch_.end(), [](const Pending& pending) {
        return std::holds_alternative<IntentRecord>(pending.record) ||
               std::holds_alternative<ClaimRecord>(pending.record);
      });
  const KvWrite write{
      .key = LogKey(position_ + 1),
      .value = BatchValue(),
      .expected_version = 0,
      .priority = intent ? KvPriority::kIntent : KvPriority::kAppend};
  kv_.Write(write, [self = shared_from_this()](std::error_code error, int64_t) {
    self->batch_in_flight_ = false;
    self->OnCommitted(error);
  });
}

std::string ShardLog::BatchValue() const {
  Json records = Json::array();
  for (const Pending& pending : batch_) {
    records.push_back(ToJson(pending.record));
  }
  return Json{{"epoch", epoch_},
              {"owner", instance_},
              {"incarnation", incarnation_},
              {"records", std::move(records)}}
      .dump();
}

void ShardLog::OnCommitted(std::error_code error) {
  if (!error) {
    FinishBatchIfOwner();
    return;
  }
  if (error == KvErrc::kConflict) {
    OnPositionTaken();
    return;
  }
  failing_ = true;
  if (error == KvErrc::kUnknown) {
    batch_may_exist_ = true;
  }
  FailRefusableAppends(batch_may_exist_
                           ? make_error_code(CoreErrc::kOutcomeUnknown)
                           : make_error_code(CoreErrc::kStoreUnavailable));
  RetryLater();
}

// The position of the batch is already written: either an earlier write of this
// batch took effect without being confirmed, or another owner has sealed the
// log.
void ShardLog::OnPositionTaken() {
  batch_in_flight_ = true;
  kv_.Read(
      LogKey(position_ + 1),
      [self = shared_from_this()](std::error_code error, const KvEntry& entry) {
        self->batch_in_flight_ = false;
        if (error) {
          self->RetryLater();
          return;
        }
        if (entry.value == self->BatchValue()) {
          self->FinishBatchIfOwner();
          return;
        }
        self->BecomeFenced();
      });
}

void ShardLog::FinishBatchIfOwner() {
  if (!lease_valid_ || lease_valid_()) {
    FinishBatch();
    return;
  }
  batch_in_flight_ = true;
  batch_may_exist_ = true;
  kv_.Read(HeadKey(), [self = shared_from_this()](std::error_code error,
                                                  const KvEntry& head) {
    self->batch_in_flight_ = false;
    if (error) {
      self->failing_ = true;
      self->FailRefusableAppends(CoreErrc::kOutcomeUnknown);
      // The write is retried, conflicts with the entry that it created, and is
      // then confirmed by OnPositionTaken.
      self->RetryLater();
      return;
    }
    if (EpochOf(head) == self->epoch_) {
      self->FinishBatch();
      return;
    }
    self->BecomeFenced();
  });
}

void ShardLog::FinishBatch() {
  failing_ = false;
  retry_ = Millis(0);
  ++position_;
  std::vector<Pending> batch = std::move(batch_);
  batch_.clear();
  for (const Pending& pending : batch) {
    state_.Apply(pending.record);
    if (on_applied_) {
      on_applied_(pending.record);
    }
  }
  for (const Pending& pending : batch) {
    if (pending.done) {
      pending.done(std::error_code());
    }
  }
  if (!queue_.empty()) {
    ScheduleCommit(options_.commit_window);
  } else if (on_closed_) {
    WriteClosedHead();
    return;
  }
  MaybeSnapshot();
}

void ShardLog::FailRefusableAppends(std::error_code error) {
  const bool droppable = error == make_error_code(CoreErrc::kStoreUnavailable);
  std::vector<Done> refused;
  const auto refuse = [&refused](Pending& pending) {
    if (pending.refusable && pending.done) {
      refused.push_back(std::move(pending.done));
      pending.done = nullptr;
      return true;
    }
    return false;
  };
  for (Pending& pending : batch_) {
    refuse(pending);
  }
  if (droppable) {
    std::erase_if(batch_, [](const Pending& item) { return item.refusable; });
  }
  // Records that are not yet part of a batch have not been sent.
  std::vector<Done> unsent;
  std::erase_if(queue_, [&unsent](Pending& pending) {
    if (!pending.refusable) {
      return false;
    }
    unsent.push_back(std::move(pending.done));
    return true;
  });
  for (const Done& done : refused) {
    done(error);
  }
  for (const Done& done : unsent) {
    done(CoreErrc::kStoreUnavailable);
  }
}

void ShardLog::RetryLater() {
  retry_ = std::clamp(retry_ * 2, options_.retry_first, options_.retry_longest);
  // Half of the back-off is random, so that instances do not retry at the same
  // time.
  const auto half = static_cast<uint64_t>(retry_.count() / 2 + 1);
  const Millis pause =
      retry_ / 2 + Millis(static_cast<int64_t>(executor_.Random() % half));
  if (batch_.empty() && queue_.empty()) {
    // There is nothing left to write. The next append shows whether the store
    // answers again.
    executor_.Schedule(
        pause, [self = shared_from_this()]() { self->failing_ = false; });
    return;
  }
  ScheduleCommit(pause);
}

void ShardLog::BecomeFenced() {
  fenced_ = true;
  open_ = false;
  std::vector<Pending> dropped = std::move(batch_);
  batch_.clear();
  std::move(queue_.begin(), queue_.end(), std::back_inserter(dropped));
  queue_.clear();
  for (const Pending& pending : dropped) {
    if (pending.done) {
      pending.done(CoreErrc::kNoOwner);
    }
  }
  if (on_closed_) {
    const Done done = std::move(on_closed_);
    on_closed_ = nullptr;
    done(std::error_code());
  }
  if (on_fenced_) {
    on_fenced_();
  }
}

void ShardLog::VerifyOwnership(Done done) {
  kv_.Read(HeadKey(), [self = shared_from_this(), done](std::error_code error,
                                                        const KvEntry& head) {
    if (error && error != KvErrc::kNotFound) {
      done(ToCoreError(error));
      return;
    }
    done(std::error_code());
    const bool replaced = self->open_ && EpochOf(head) > self->epoch_;
    if (replaced) {
      self->BecomeFenced();
    }
  });
}

// --- Snapshots ---

void ShardLog::MaybeSnapshot() {
  const bool due = position_ - snapshot_position_ >= options_.snapshot_after;
  if (!due || snapshot_running_ || failing_) {
    return;
  }
  snapshot_running_ = true;
  const int64_t position = position_;
  const Json snapshot{{"position", position}, {"state", state_.ToSnapshot()}};
  const KvWrite write{.key = SnapshotKey(),
                      .value = snapshot.dump(),
                      .expected_version = snapshot_version_,
                      .priority = KvPriority::kSnapshot};
  kv_.Write(write, [self = shared_from_this(), position](std::error_code error,
                                                         int64_t version) {
    self->snapshot_running_ = false;
    if (!error) {
      self->snapshot_version_ = version;
      const int64_t old = self->snapshot_position_;
      self->snapshot_position_ = position;
      self->TruncateUpTo(old);
      return;
    }
    const bool read_back =
        error == KvErrc::kUnknown || error == KvErrc::kConflict;
    if (!read_back) {
      return;
    }
    // The next snapshot needs the current version as its precondition.
    self->kv_.Read(self->SnapshotKey(),
                   [self](std::error_code read_error, const KvEntry& entry) {
                     if (!read_error) {
                       self->snapshot_version_ = entry.version;
                     }
                   });
  });
}

// Removes the log entry at `position`, the position of the snapshot before the
// newest one, and the `snapshot_after` entries before it. The newest snapshot
// covers all of them.
void ShardLog::TruncateUpTo(int64_t position) {
  for (int64_t old = position; old > 0; --old) {
    if (position - old > options_.snapshot_after) {
      return;
    }
    kv_.Remove(LogKey(old), /*expected_version=*/-1,
               [](std::error_code, int64_t) {});
  }
}

// --- Closing ---

void ShardLog::Close(Done done) {
  if (!open_ || fenced_) {
    done(std::error_code());
    return;
  }
  on_closed_ = std::move(done);
  const bool idle = queue_.empty() && batch_.empty() && !batch_in_flight_;
  if (idle) {
    WriteClosedHead();
  }
}

void ShardLog::WriteClosedHead() {
  open_ = false;
  const Json head{{"owner", ""}, {"epoch", epoch_}};
  const KvWrite write{.key = HeadKey(),
                      .value = head.dump(),
                      .expected_version = head_version_,
                      .priority = KvPriority::kLease};
  kv_.Write(write, [self = shared_from_this()](std::error_code error, int64_t) {
    const bool ambiguous =
        error == KvErrc::kUnknown || error == KvErrc::kConflict;
    if (ambiguous) {
      self->ConfirmClosed();
      return;
    }
    self->FinishClose(error);
  });
}

void ShardLog::ConfirmClosed() {
  kv_.Read(HeadKey(), [self = shared_from_this()](std::error_code error,
                                                  const KvEntry& head) {
    if (error) {
      self->FinishClose(error);
      return;
    }
    if (EpochOf(head) != self->epoch_) {
      self->BecomeFenced();
      return;
    }
    self->head_version_ = head.version;
    const bool closed = ParseHead(head).owner.empty();
    self->FinishClose(closed ? std::error_code()
                             : make_error_code(KvErrc::kUnavailable));
  });
}

// If the release is not confirmed, the log is open again: while the head names
// this owner and its registration is valid, no other instance takes the shard
// over. If the release was written after all, the seal of the next owner fences
// this log.
void ShardLog::FinishClose(std::error_code error) {
  open_ = static_cast<bool>(error);
  const Done done = std::move(on_closed_);
  on_closed_ = nullptr;
  done(error ? ToCoreError(error) : std::error_code());
}

}  // namespace doorwood
