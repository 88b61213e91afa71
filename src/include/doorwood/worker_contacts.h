// SPDX-License-Identifier: Apache-2.0

/// \file
/// Opens the sessions of a leader with workers that it contacts for the first
/// time, a limited number at a time.

#ifndef DOORWOOD_WORKER_CONTACTS_H_
#define DOORWOOD_WORKER_CONTACTS_H_

#include <deque>
#include <memory>
#include <vector>

#include "doorwood/executor.h"
#include "doorwood/types.h"
#include "doorwood/worker_session.h"

namespace doorwood {

struct WorkerContactOptions {
  /// Maximum number of workers at a time that are contacted, without those that
  /// have not answered for `patience`. A leader that contacts thousands of
  /// workers at once handles their answers only after the time-outs of the
  /// connections, and would have to begin again.
  size_t max_contacts = 128;
  Millis patience{200};
};

class WorkerContacts {
 public:
  WorkerContacts(Executor& executor, const WorkerContactOptions& options)
      : executor_(executor), options_(options) {}

  /// Opens the session as soon as the limit allows, in the order of the calls.
  void Add(std::shared_ptr<WorkerSession> session);
  /// Sessions that are not opened yet never will be.
  void Clear();
  /// Whether there are sessions that are not opened yet.
  bool are_waiting() const { return !waiting_.empty(); }

 private:
  struct Contact {
    std::shared_ptr<WorkerSession> session;
    Instant began{};
  };

  /// Opens sessions as far as the limit allows, and schedules itself while
  /// others wait.
  void OpenNext();

  Executor& executor_;
  const WorkerContactOptions options_;
  std::deque<std::shared_ptr<WorkerSession>> waiting_;
  /// Opened sessions that count towards the limit.
  std::vector<Contact> contacts_;
  Executor::TimerId timer_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_WORKER_CONTACTS_H_
