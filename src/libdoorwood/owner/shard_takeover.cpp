// SPDX-License-Identifier: Apache-2.0

// Takeover of a shard's log: write this owner into the head, seal the log,
// replay the entries.

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include "doorwood/error.h"
#include "doorwood/shard_log.h"
#include "shard_log_entries.h"

namespace doorwood {

using pvt::EpochOf;
using pvt::LogHead;
using pvt::ParseHead;
using pvt::PositionOf;

namespace {

constexpr int kMaxTakeoverRetries = 5;

struct Snapshot {
  int64_t position = 0;
  ShardState state;
};

// Returns an empty snapshot if the value is none.
Snapshot ParseSnapshot(const KvEntry& entry) {
  auto snapshot = DecodeObject(entry.value, [](const Json& json) {
    return Snapshot{ReadInteger(json, "position"),
                    ShardState::FromSnapshot(json.at("state"))};
  });
  return snapshot ? std::move(*snapshot) : Snapshot{};
}

// Returns no records if the value is not a batch, and nothing if it is one with
// a record that cannot be decoded.
std::optional<std::vector<LogRecord>> ParseBatch(const KvEntry& entry) {
  const auto json = ParseJson(entry.value);
  std::vector<LogRecord> records;
  if (!json || !json->is_object() || !json->contains("records") ||
      !json->at("records").is_array()) {
    return records;
  }
  try {
    for (const Json& record : json->at("records")) {
      records.push_back(ParseLogRecord(record));
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return records;
}

// Other programs may have written under the prefix of the log.
void RemoveForeignKeys(std::vector<KvEntry>* entries) {
  std::erase_if(*entries,
                [](const KvEntry& entry) { return !PositionOf(entry); });
}

}  // namespace

void ShardLog::Open(Done done) {
  kv_.Read(HeadKey(), [self = shared_from_this(), done](std::error_code error,
                                                        KvEntry head) {
    if (error && error != KvErrc::kNotFound) {
      done(ToCoreError(error));
      return;
    }
    self->TakeHeadUnlessOwnerAlive(head, done);
  });
}

void ShardLog::TakeHeadUnlessOwnerAlive(const KvEntry& head, Done done) {
  const auto [owner, epoch, incarnation] = ParseHead(head);
  const bool free = owner.empty() || owner == instance_;
  if (free) {
    TakeHead(head.version, epoch + 1, done);
    return;
  }
  // The store removes the owner's registration when its lease expires.
  kv_.Read(AliveKey(shard_.data_centre, owner),
           [self = shared_from_this(), version = head.version, epoch = epoch,
            incarnation = incarnation,
            done](std::error_code error, const KvEntry& alive) {
             if (error == KvErrc::kNotFound) {
               self->TakeHead(version, epoch + 1, done);
               return;
             }
             if (error) {
               done(ToCoreError(error));
               return;
             }
             const bool restarted = alive.value != std::to_string(incarnation);
             if (restarted) {
               self->TakeHead(version, epoch + 1, done);
               return;
             }
             done(CoreErrc::kConflict);
           });
}

void ShardLog::TakeHead(int64_t version, uint64_t epoch, Done done) {
  const Json head{
      {"owner", instance_}, {"incarnation", incarnation_}, {"epoch", epoch}};
  const KvWrite write{.key = HeadKey(),
                      .value = head.dump(),
                      .expected_version = version,
                      .priority = KvPriority::kLease};
  kv_.Write(write, [self = shared_from_this(), epoch, done](
                       std::error_code error, int64_t new_version) {
    if (error == KvErrc::kUnknown) {
      self->ConfirmHead(epoch, done);
      return;
    }
    if (error) {
      done(ToCoreError(error));
      return;
    }
    self->epoch_ = epoch;
    self->head_version_ = new_version;
    self->Seal(done);
  });
}

void ShardLog::ConfirmHead(uint64_t epoch, Done done) {
  kv_.Read(HeadKey(), [self = shared_from_this(), epoch, done](
                          std::error_code error, const KvEntry& head) {
    const LogHead found = error ? LogHead{} : ParseHead(head);
    const bool mine = found.owner == self->instance_ &&
                      found.incarnation == self->incarnation_ &&
                      found.epoch == epoch;
    if (!mine) {
      done(error ? ToCoreError(error) : make_error_code(CoreErrc::kConflict));
      return;
    }
    self->epoch_ = epoch;
    self->head_version_ = head.version;
    self->Seal(done);
  });
}

void ShardLog::Seal(Done done) {
  kv_.Read(SnapshotKey(), [self = shared_from_this(), done](
                              std::error_code error, const KvEntry& snapshot) {
    if (error && error != KvErrc::kNotFound) {
      done(ToCoreError(error));
      return;
    }
    const int64_t after = ParseSnapshot(snapshot).position;
    self->kv_.List(self->LogPrefix(), [self, after, done](
                                          std::error_code list_error,
                                          std::vector<KvEntry> entries) {
      if (list_error) {
        done(ToCoreError(list_error));
        return;
      }
      RemoveForeignKeys(&entries);
      if (!entries.empty() && EpochOf(entries.back()) > self->epoch_) {
        // A newer owner sealed the log while this one was delayed.
        done(CoreErrc::kConflict);
        return;
      }
      const int64_t last = entries.empty() ? 0 : *PositionOf(entries.back());
      self->WriteSeal(std::max(last, after) + 1, done);
    });
  });
}

void ShardLog::WriteSeal(int64_t position, Done done) {
  const Json seal{{"epoch", epoch_},
                  {"owner", instance_},
                  {"incarnation", incarnation_},
                  {"records", Json::array()}};
  const KvWrite write{.key = LogKey(position),
                      .value = seal.dump(),
                      .expected_version = 0,
                      .priority = KvPriority::kLease};
  kv_.Write(write, [self = shared_from_this(), position, done](
                       std::error_code error, int64_t) {
    const bool retry_seal =
        error == KvErrc::kConflict || error == KvErrc::kUnknown;
    if (retry_seal) {
      // Either the position was already written, or it is not known whether
      // this write took effect. A second seal of the same epoch is harmless.
      if (++self->takeover_retries_ > kMaxTakeoverRetries) {
        done(CoreErrc::kOutcomeUnknown);
        return;
      }
      self->Seal(done);
      return;
    }
    if (error) {
      done(ToCoreError(error));
      return;
    }
    self->position_ = position;
    self->takeover_retries_ = 0;
    self->Replay(done);
  });
}

void ShardLog::Replay(Done done) {
  kv_.Read(SnapshotKey(), [self = shared_from_this(), done](
                              std::error_code error, const KvEntry& snapshot) {
    if (error && error != KvErrc::kNotFound) {
      done(ToCoreError(error));
      return;
    }
    self->kv_.List(self->LogPrefix(),
                   [self, snapshot, done](std::error_code list_error,
                                          std::vector<KvEntry> entries) {
                     if (list_error) {
                       done(ToCoreError(list_error));
                       return;
                     }
                     RemoveForeignKeys(&entries);
                     self->ReplayEntries(snapshot, entries, done);
                   });
  });
}

void ShardLog::ReplayEntries(const KvEntry& snapshot,
                             const std::vector<KvEntry>& entries,
                             Done done) {
  Snapshot parsed = ParseSnapshot(snapshot);
  snapshot_version_ = snapshot.version;
  snapshot_position_ = parsed.position;
  state_ = std::move(parsed.state);
  if (ApplyEntries(entries)) {
    open_ = true;
    done(std::error_code());
    return;
  }
  // Either the old owner truncated the log between the reads of the snapshot
  // and of the entries, or a newer owner has changed the log since this owner
  // sealed it.
  if (++takeover_retries_ > kMaxTakeoverRetries) {
    done(CoreErrc::kStoreUnavailable);
    return;
  }
  Replay(done);
}

// Applies the entries after the snapshot. Returns false if they have a gap, if
// the last one is not at the position of this owner's seal, or if a record
// cannot be decoded.
bool ShardLog::ApplyEntries(const std::vector<KvEntry>& entries) {
  int64_t next = snapshot_position_ + 1;
  for (const KvEntry& entry : entries) {
    const int64_t position = *PositionOf(entry);
    if (position < next) {
      continue;
    }
    if (position != next) {
      return false;
    }
    const auto records = ParseBatch(entry);
    if (!records) {
      return false;
    }
    for (const LogRecord& record : *records) {
      state_.Apply(record);
    }
    ++next;
  }
  return next == position_ + 1;
}

}  // namespace doorwood
