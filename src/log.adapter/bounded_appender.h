// SPDX-License-Identifier: Apache-2.0

/// \file
/// Non-blocking logging to standard output: lines are buffered and written when
/// the pipe is ready. Lines that do not fit into the buffer are dropped and
/// counted.

#ifndef DOORWOOD_LOG_ADAPTER_BOUNDED_APPENDER_H_
#define DOORWOOD_LOG_ADAPTER_BOUNDED_APPENDER_H_

#include <cstdint>
#include <string_view>

namespace doorwood {

/// Initializes log4cplus on the first call and sets it up to buffer JSON lines
/// for standard output, which `FlushLog` writes. `level` is debug, info, warn
/// or error.
void StartNonBlockingLogging(std::string_view level);

/// Writes as much of the buffer as standard output accepts without blocking.
void FlushLog();

/// Number of lines dropped so far because standard output was not read.
uint64_t DroppedLogLines();

}  // namespace doorwood

#endif  // DOORWOOD_LOG_ADAPTER_BOUNDED_APPENDER_H_
