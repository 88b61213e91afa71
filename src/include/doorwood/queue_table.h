// SPDX-License-Identifier: Apache-2.0

/// \file
/// The queues in force: which requests belong to which queue, and what the
/// operators ask of each. One document, replaced as a whole.

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

/// Times that an adviser of a queue takes; see docs/CONFIGURATION.md.
struct AdvicePolicy {
  Millis decide{0};
  Millis each{0};
  Millis valid{0};
};

struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  /// Pool of workers that run its tasks.
  std::string service;
  /// 0 comes first.
  int priority = 0;
  /// Runs of a task, or of a gang, that may end in failure.
  int max_attempts = 1;
  /// A job is on time within `stretch` * its longest chain + `latency_target`.
  double stretch = 1.0;
  Millis latency_target{0};
  Millis timeout{0};
  std::optional<AdvicePolicy> advice;
};

struct FrontLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
  Millis header_timeout{5000};
  Millis idle_timeout{30000};
};

class QueueTable {
 public:
  QueueTable(int64_t version,
             std::vector<Queue> queues,
             FrontLimits limits,
             std::vector<std::string> unguarded_services);

  int64_t version() const { return version_; }
  const FrontLimits& limits() const { return limits_; }
  const std::vector<Queue>& queues() const { return queues_; }

  /// The queue whose host is `host` and whose prefix is the longest one that
  /// `path` begins with; null: none.
  const Queue* Match(std::string_view host, std::string_view path) const;
  const Queue* FindByName(std::string_view name) const;
  /// False: workers of the service start whatever they are told.
  bool GuardsCapacity(std::string_view service) const;

 private:
  int64_t version_;
  std::vector<Queue> queues_;
  FrontLimits limits_;
  std::vector<std::string> unguarded_services_;
};

/// Port to the operators' configuration.
class QueueTableSource {
 public:
  struct Snapshot {
    /// Null: nothing changed, or there is none yet.
    std::shared_ptr<const QueueTable> table;
    /// The store's revision that the snapshot is good for.
    int64_t at = 0;
  };
  using Callback = std::function<void(std::error_code, Snapshot)>;

  virtual ~QueueTableSource() = default;

  virtual void Read(Callback done) = 0;
  /// Waits up to `wait` for a change after revision `after`.
  virtual void WaitForChange(int64_t after, Millis wait, Callback done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_QUEUE_TABLE_H_
