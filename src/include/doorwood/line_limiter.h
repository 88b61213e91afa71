// SPDX-License-Identifier: Apache-2.0

/// \file
/// Bounds the number of log lines of one kind.

#ifndef DOORWOOD_LINE_LIMITER_H_
#define DOORWOOD_LINE_LIMITER_H_

#include <cstdint>
#include <optional>

namespace doorwood {

/// Allows `max_lines` lines in each second of the clock that the caller uses.
class LineLimiter {
 public:
  explicit LineLimiter(int max_lines = 10) : max_lines_(max_lines) {}

  /// Returns the number of lines left out since the last one that was allowed;
  /// empty if this line must be left out too.
  std::optional<uint64_t> Allow(int64_t second) {
    if (second != second_) {
      second_ = second;
      lines_ = 0;
    }
    if (lines_ >= max_lines_) {
      ++left_out_;
      return std::nullopt;
    }
    ++lines_;
    const uint64_t left_out = left_out_;
    left_out_ = 0;
    return left_out;
  }

 private:
  int max_lines_;
  int64_t second_ = -1;
  int lines_ = 0;
  uint64_t left_out_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_LINE_LIMITER_H_
