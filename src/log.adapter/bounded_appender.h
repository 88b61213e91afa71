// SPDX-License-Identifier: Apache-2.0

/// \file
/// Log lines to standard output that never block: lines are gathered, written
/// when the pipe takes them, and dropped with a count when it does not.

#ifndef DOORWOOD_LOG_ADAPTER_BOUNDED_APPENDER_H_
#define DOORWOOD_LOG_ADAPTER_BOUNDED_APPENDER_H_

#include <cstdint>
#include <string_view>

namespace doorwood {

/// Sets log4cplus up once for JSON lines on standard output. `level` is debug,
/// info, warn or error. Lines leave with `FlushLog`.
void StartBoundedLogging(std::string_view level);

/// Writes what is gathered as far as standard output takes it.
void FlushLog();

/// Lines dropped so far, because standard output was not read.
uint64_t DroppedLogLines();

}  // namespace doorwood

#endif  // DOORWOOD_LOG_ADAPTER_BOUNDED_APPENDER_H_
