// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface to the structured log.

#ifndef DOORWOOD_EVENT_LOG_H_
#define DOORWOOD_EVENT_LOG_H_

#include <string_view>

#include "doorwood/json_codec.h"

namespace doorwood {

/// Structured logging, implemented by an adapter.
class EventLog {
 public:
  virtual ~EventLog() = default;

  /// Returns false if lines of this level are dropped, so that callers need not
  /// build their fields.
  virtual bool IsEnabled(std::string_view level) const = 0;
  /// Writes one line. `fields` is a JSON object.
  virtual void Write(std::string_view level,
                     std::string_view component,
                     std::string_view message,
                     const Json& fields) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_EVENT_LOG_H_
