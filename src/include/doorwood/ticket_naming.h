// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which workers a call to the adviser names. An adviser takes time for each
/// worker that a call names, and handles the calls of a caller one at a time:
/// each worker that is named in vain delays all later calls. This code makes no
/// calls and reads no clock.

#ifndef DOORWOOD_TICKET_NAMING_H_
#define DOORWOOD_TICKET_NAMING_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "doorwood/queue_table.h"

namespace doorwood {

/// What earlier answers say of a worker and a step. Which workers may run a
/// step does not change, so it is worth knowing after a ticket has expired.
enum class Permission {
  kPermitted,
  kUnknown,
  kRefused,
};

/// A worker that can take tasks of the step now but has no valid ticket.
struct TicketCandidate {
  std::string worker;
  /// Number of the step's tasks that it can take, at least 1.
  int capacity = 1;
  /// Set by the TicketBook.
  Permission permission = Permission::kUnknown;
};

/// The need of a step for tickets.
struct TicketDemand {
  std::string step;
  AdvicePolicy policy;
  /// Number of tasks that are ready and find no place with a ticket, at least
  /// 1.
  int tasks = 1;
  /// The most suitable first.
  std::vector<TicketCandidate> candidates;
};

/// Share (0 to 1) of the named workers that advisers permit, learned from their
/// answers.
class PermittedShare {
 public:
  /// `named` and `permitted`: numbers of workers in one answer.
  void Observe(size_t named, size_t permitted);
  /// For a step of whose workers `named` were unknown and `permitted` of these
  /// were permitted so far.
  double Estimate(size_t named, size_t permitted) const;

 private:
  double named_ = 0;
  double permitted_ = 0;
};

/// The order in which steps are considered for the next call to the adviser.
/// Every second call goes to the most urgent step. The other calls go to the
/// steps in turn, so that each gets one however urgent the others are, and
/// whatever they need again and again.
class TicketTurns {
 public:
  struct Turn {
    /// Index of the step.
    size_t index = 0;
    bool in_turn = false;
  };
  /// Most steps that are considered in one order, for each kind of call.
  static constexpr size_t kMaxConsidered = 32;

  /// `steps`: names of the steps that wait, the most urgent first. `calls`:
  /// number of calls so far. The caller considers the steps in this order until
  /// one needs tickets.
  std::vector<Turn> Order(std::span<const std::string> steps,
                          uint64_t calls) const;
  /// To be called for each step that was considered in its turn.
  void OnConsidered(const std::string& step) { last_in_turn_ = step; }

 private:
  std::string last_in_turn_;
};

/// Most workers that one call may name.
constexpr size_t kMaxNamedWorkers = 100;

/// Time for which the adviser decides a call that names `workers`, as the queue
/// states it.
Millis StatedDecisionTime(const AdvicePolicy& policy, size_t workers);

/// The workers to name in the next call, at most kMaxNamedWorkers. First those
/// that are known to be permitted, then the unknown ones, both in the order of
/// the demand: as many as are expected to take the demand's tasks if
/// `permitted_share` of the unknown ones are permitted, and, while unknown ones
/// are needed, at least as many as do not double the time of the call. Refused
/// ones are named only if there are no others. Empty if there is no candidate.
std::vector<std::string> ChooseWorkersToName(const TicketDemand& demand,
                                             double permitted_share);

}  // namespace doorwood

#endif  // DOORWOOD_TICKET_NAMING_H_
