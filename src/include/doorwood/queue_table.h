// SPDX-License-Identifier: Apache-2.0

/// \file
/// The queues in force: which requests belong to which queue, and the policy of
/// each queue. It is one document that is replaced as a whole.

#ifndef DOORWOOD_QUEUE_TABLE_H_
#define DOORWOOD_QUEUE_TABLE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "doorwood/error.h"
#include "doorwood/types.h"

namespace doorwood {

/// Timing of a queue's adviser; see docs/CONFIGURATION.md.
struct AdvicePolicy {
  Millis decision_time{0};
  Millis decision_time_each{0};
  Millis ticket_validity{0};
};

struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  /// Service whose pool of workers runs the queue's tasks.
  std::string service;
  /// Queues with lower numbers are served first; 0 is the highest priority.
  int priority = 0;
  /// Number of failed runs after which a task or gang fails.
  int max_attempts = 1;
  /// A job is on time if it finishes within `max_slowdown` times the duration
  /// of its longest dependency chain plus `latency_target`.
  double max_slowdown = 1.0;
  Millis latency_target{0};
  Millis timeout{0};
  std::optional<AdvicePolicy> advice;
};

/// Limits for incoming HTTP requests.
struct HttpLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
  Millis header_timeout{5000};
  Millis idle_timeout{30000};
};

class QueueTable {
 public:
  QueueTable(int64_t version,
             std::vector<Queue> queues,
             HttpLimits limits,
             std::vector<std::string> services_without_capacity_check,
             std::string source = {});

  int64_t version() const { return version_; }
  const HttpLimits& limits() const { return limits_; }
  const std::vector<Queue>& queues() const { return queues_; }
  /// The text from which the table was decoded, for other instances; may be
  /// empty.
  const std::string& source() const { return source_; }

  /// Returns the queue for `host` with the longest path prefix that `path`
  /// starts with, or null if there is none.
  const Queue* FindByPath(std::string_view host, std::string_view path) const;
  const Queue* FindByName(std::string_view name) const;
  /// Whether the queue is missing here and the table of that version, by which
  /// a request for it was taken, is older.
  bool HasDropped(std::string_view queue, int64_t version) const;
  /// Returns false if the workers of the service start every task they are
  /// sent, without checking their own free capacity.
  bool WorkersCheckCapacity(std::string_view service) const;

 private:
  int64_t version_;
  std::vector<Queue> queues_;
  HttpLimits limits_;
  std::vector<std::string> services_without_capacity_check_;
  std::string source_;
};

/// Interface to the operators' configuration.
class QueueTableSource {
 public:
  struct Snapshot {
    /// Null if nothing changed, no table exists yet, or it is malformed.
    std::shared_ptr<const QueueTable> table;
    /// Store revision at which the snapshot was taken.
    int64_t revision = 0;
    /// Of `WaitForChange`: something changed, the table or another key that
    /// begins with its key.
    bool changed = false;
    /// There is a table that could not be decoded.
    bool malformed = false;
    /// On failure: what went wrong, and on which kind of connection. Only for
    /// logs.
    std::string problem;
  };
  using Callback = std::function<void(std::error_code, Snapshot)>;

  virtual ~QueueTableSource() = default;

  /// Reads the current table.
  virtual void Read(Callback done) = 0;
  /// Waits up to `wait` for a change after store revision `after`.
  virtual void WaitForChange(int64_t after, Millis wait, Callback done) = 0;
  /// Whether a part of an answer with the table has arrived and the rest is
  /// arriving.
  virtual bool IsReceiving() const { return false; }
};

}  // namespace doorwood

#endif  // DOORWOOD_QUEUE_TABLE_H_
