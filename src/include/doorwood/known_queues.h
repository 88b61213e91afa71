// SPDX-License-Identifier: Apache-2.0

/// \file
/// The policies by which jobs are scheduled: those of the queues in force, and
/// those of queues that the operators have dropped while jobs of them are open.

#ifndef DOORWOOD_KNOWN_QUEUES_H_
#define DOORWOOD_KNOWN_QUEUES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/json_codec.h"
#include "doorwood/queue_table.h"

namespace doorwood {

/// The policy of a queue, and the version of the table that it is from.
struct QueuePolicy {
  Queue queue;
  int64_t version = 0;
};

/// Converts a policy to and from its form in a job's record. Which requests
/// belong to the queue is no part of it.
Json EncodePolicy(const QueuePolicy& policy);
/// Returns nothing if `json` is malformed.
std::optional<QueuePolicy> DecodePolicy(const std::string& name,
                                        const Json& json);
/// Whether jobs are scheduled alike by both, whatever their versions are.
bool HaveSameEffect(const QueuePolicy& a, const QueuePolicy& b);

/// The newest known policy of each queue, by the versions of the tables.
class KnownQueues {
 public:
  /// Takes over the queues in force. Those that the table does not have keep
  /// their last policy. Returns the names of the queues that were not known
  /// before.
  std::vector<std::string> Update(const QueueTable& table);
  /// Adds the policy in the record of a job, unless one of the same or a later
  /// version is known.
  void AddRecorded(const QueuePolicy& policy);

  /// These return null if neither a table nor a record had the queue.
  const Queue* Find(const std::string& name) const;
  const QueuePolicy* FindPolicy(const std::string& name) const;
  /// Whether a queue's tasks run on workers of the service.
  bool NamesService(std::string_view service) const;

 private:
  std::map<std::string, QueuePolicy> policies_;
};

}  // namespace doorwood

#endif  // DOORWOOD_KNOWN_QUEUES_H_
