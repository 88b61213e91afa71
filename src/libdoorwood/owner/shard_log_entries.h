// SPDX-License-Identifier: Apache-2.0

/// \file
/// Helpers for entries of a shard's log, shared by the files of ShardLog.

#ifndef DOORWOOD_OWNER_SHARD_LOG_ENTRIES_H_
#define DOORWOOD_OWNER_SHARD_LOG_ENTRIES_H_

#include <cstdint>
#include <string>

#include "doorwood/json_codec.h"
#include "doorwood/kv.h"

namespace doorwood::pvt {

// Position at the end of a log key.
inline int64_t PositionOf(const KvEntry& entry) {
  return std::stoll(entry.key.substr(entry.key.rfind('/') + 1));
}

inline uint64_t EpochOf(const KvEntry& entry) {
  const auto json = ParseJson(entry.value);
  return json ? json->value("epoch", uint64_t{0}) : 0;
}

}  // namespace doorwood::pvt

#endif  // DOORWOOD_OWNER_SHARD_LOG_ENTRIES_H_
