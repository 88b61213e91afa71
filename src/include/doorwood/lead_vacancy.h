// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides whether the process that holds a lead is gone although its lead key
/// still stands, and whether this instance removes the key now. The caller
/// passes all times and results of calls, so that tests need neither a network
/// nor a clock.

#ifndef DOORWOOD_LEAD_VACANCY_H_
#define DOORWOOD_LEAD_VACANCY_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "doorwood/types.h"

namespace doorwood {

/// How a call to the address in the lead key ended.
enum class LeadCallResult {
  /// A process answered, whatever the answer was.
  kAnswered,
  /// The machine refused the connection: no process listens at the address.
  kRefused,
  /// Anything else. The machine may be cut off, or the process frozen.
  kNoAnswer,
};

struct LeadVacancyOptions {
  /// The process counts as gone after this many refused calls in a row, of
  /// which the last was sent at least `refusal_time` after the first. A machine
  /// may refuse a single connection for another reason.
  int refusals = 3;
  Millis refusal_time{200};
  /// Pause between the calls that follow the first refused one.
  Millis call_interval{100};
  /// The refused calls prove nothing any more this long after the last one.
  Millis refusal_validity{2000};
  /// An instance waits this long before it removes the key, for each instance
  /// that ranks before it, and at most `max_removal_delay`.
  Millis removal_delay_per_rank{60};
  Millis max_removal_delay{600};
  /// Time after which the removal is tried again if it had no effect.
  Millis removal_retry{300};
};

/// Per lead key. A process holds a lead key only while it listens at the
/// address in that key, from before it takes the lead until it ends. So if
/// nothing listens there, the process that the key belongs to is gone, whether
/// or not another one is about to start.
class LeadVacancy {
 public:
  explicit LeadVacancy(const LeadVacancyOptions& options) : options_(options) {}

  /// A call to the leader of `epoch` at `address`, sent at `sent`, has ended.
  void OnCall(int64_t epoch,
              const std::string& address,
              LeadCallResult result,
              Instant sent);
  /// When to call the leader of `epoch` next to find out whether it is gone;
  /// empty: the calls that are made for other reasons are enough.
  std::optional<Instant> NextCallAt(int64_t epoch) const;
  /// Whether the process of the leader of `epoch` is gone.
  bool IsGone(int64_t epoch, Instant now) const;
  /// When this instance may remove the key, if the leader is still gone then:
  /// `rank` is the number of instances that would do the same before it, and
  /// `reaching_store_since` when the store began to answer it. Empty: the
  /// leader is not gone.
  std::optional<Instant> RemovalTime(int64_t epoch,
                                     int rank,
                                     Instant reaching_store_since,
                                     Instant now) const;
  /// The removal was tried.
  void OnRemovalTried(Instant now) { tried_at_ = now; }

 private:
  const LeadVacancyOptions options_;
  int64_t epoch_ = 0;
  int refusals_ = 0;
  Instant first_refused_{};
  Instant last_refused_{};
  /// When the leader was found to be gone.
  Instant gone_at_{};
  Instant tried_at_{};
  /// Addresses at which a process has answered this instance. At any other
  /// address a refusal may only mean that the address is wrong from here.
  std::set<std::string> answered_addresses_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LEAD_VACANCY_H_
