// SPDX-License-Identifier: Apache-2.0

/// \file
/// Helpers that read log entries and the head, shared by the files that
/// implement ShardLog.

#ifndef DOORWOOD_OWNER_SHARD_LOG_ENTRIES_H_
#define DOORWOOD_OWNER_SHARD_LOG_ENTRIES_H_

#include <cstdint>
#include <string>

#include "doorwood/json_codec.h"
#include "doorwood/kv.h"

namespace doorwood::pvt {

// Returns the position of a log entry, which is the last part of its key.
inline int64_t PositionOf(const KvEntry& entry) {
  return std::stoll(entry.key.substr(entry.key.rfind('/') + 1));
}

// Returns the epoch of a log entry or of the head; 0 if the value is not valid
// JSON or is an object without an epoch. Throws nlohmann::json::exception if
// the value is JSON but not an object, or if its epoch cannot be read as a
// number.
inline uint64_t EpochOf(const KvEntry& entry) {
  const auto json = ParseJson(entry.value);
  return json ? json->value("epoch", uint64_t{0}) : 0;
}

}  // namespace doorwood::pvt

#endif  // DOORWOOD_OWNER_SHARD_LOG_ENTRIES_H_
