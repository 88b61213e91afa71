// SPDX-License-Identifier: Apache-2.0

/// \file
/// Event log that writes JSON lines through log4cplus.

#ifndef DOORWOOD_LOG_ADAPTER_JSON_LOG_H_
#define DOORWOOD_LOG_ADAPTER_JSON_LOG_H_

#include <log4cplus/logger.h>

#include <string>
#include <string_view>

#include "doorwood/event_log.h"

namespace doorwood {

/// The log4cplus level for debug, info, warn or error; info for any other name.
log4cplus::LogLevel LogLevelOf(std::string_view name);

/// Initializes log4cplus on the first call and sets it up to write JSON lines
/// to standard error. `level` is debug, info, warn or error.
void StartLogging(std::string_view level);

class JsonLog : public EventLog {
 public:
  /// `instance` is written as a field of each line.
  explicit JsonLog(std::string_view instance);

  bool IsEnabled(std::string_view level) const override;
  void Write(std::string_view level,
             std::string_view component,
             std::string_view message,
             const Json& fields) override;

 private:
  /// `,"instance":"NAME"`, the form in which it is inserted into each line.
  const std::string quoted_instance_;
  log4cplus::Logger logger_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOG_ADAPTER_JSON_LOG_H_
