// SPDX-License-Identifier: Apache-2.0

/// \file
/// Helpers that read log entries and the head, shared by the files that
/// implement ShardLog.

#ifndef DOORWOOD_OWNER_SHARD_LOG_ENTRIES_H_
#define DOORWOOD_OWNER_SHARD_LOG_ENTRIES_H_

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "doorwood/json_reader.h"
#include "doorwood/kv.h"

namespace doorwood::pvt {

// Returns the position of a log entry, which is the last part of its key;
// nothing if another program chose the key.
inline std::optional<int64_t> PositionOf(const KvEntry& entry) {
  const std::string_view digits =
      std::string_view(entry.key).substr(entry.key.rfind('/') + 1);
  int64_t position = 0;
  const char* end = digits.data() + digits.size();
  const auto read = std::from_chars(digits.data(), end, position);
  const bool valid = read.ec == std::errc() && read.ptr == end && position > 0;
  return valid ? std::optional(position) : std::nullopt;
}

struct LogHead {
  std::string owner;
  uint64_t epoch = 0;
  uint64_t incarnation = 0;
};

// Returns the default, no owner and epoch 0, if the value is not a head.
inline LogHead ParseHead(const KvEntry& entry) {
  const auto head = DecodeObject(entry.value, [](const Json& json) {
    const auto incarnation = json.find("incarnation");
    if (incarnation != json.end() && !incarnation->is_number_unsigned()) {
      throw FieldError("incarnation");
    }
    return LogHead{
        ReadStringOrEmpty(json, "owner"),
        static_cast<uint64_t>(
            ReadIntegerOr(json, "epoch", 0, kIdentifierRange)),
        incarnation == json.end() ? 0 : incarnation->get<uint64_t>()};
  });
  return head.value_or(LogHead{});
}

// Returns the epoch of a log entry or of the head; 0 if the value is neither.
inline uint64_t EpochOf(const KvEntry& entry) {
  return ParseHead(entry).epoch;
}

}  // namespace doorwood::pvt

#endif  // DOORWOOD_OWNER_SHARD_LOG_ENTRIES_H_
