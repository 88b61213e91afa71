// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides how many commits are sent to the store concurrently, and whether one
/// more record is expected to be stored in time.
///
/// It handles two kinds of faults. The first is a store that answers slowly but
/// steadily: if each commit of 32 entries takes 0.4 s, one commit at a time
/// carries 80 entries a second, a tenth of what 40 new jobs a second and 250
/// jobs that keep changing need. Several concurrent commits on disjoint keys
/// carry that load. The second is a store that stops answering: the outcome of
/// commits sent then is unknown, so no commit is added to those in flight. New
/// jobs that no commit carries yet are refused early: they certainly had no
/// effect, and the caller still has time to retry.

#ifndef DOORWOOD_COMMIT_FLOW_H_
#define DOORWOOD_COMMIT_FLOW_H_

#include <cstddef>
#include <map>

#include "doorwood/types.h"

namespace doorwood {

struct CommitFlowOptions {
  /// Maximum number of commits in flight. At 0.4 s per answer, 12 lanes carry
  /// 30 commits, or about 900 entries, a second.
  size_t max_lanes = 12;
  /// Minimum time since the last new commit before another one is sent beside
  /// those in flight. A store that answers sooner gets one commit at a time.
  Millis send_interval{30};
  /// Weight of a faster than expected answer in the expected answer time. A
  /// slower answer replaces the expected time, since callers wait for it.
  double faster_answer_weight = 0.3;
  /// If no answer comes for this multiple of the expected answer time, and at
  /// least for `min_stall_time`, no new commit is sent beside those in flight.
  double stall_factor = 3.0;
  Millis min_stall_time{100};
  /// The store is treated as unresponsive if commits are in flight and none was
  /// answered for this long. Slow stores answer within 0.4 s.
  Millis unresponsive_after{700};
  /// A new job is refused at once if `ExpectedWait` for its record is longer,
  /// unless the job is already being recorded. Callers have 3 s in all, so
  /// another attempt can still succeed.
  Millis max_record_wait{1200};
  /// Number of new jobs that `ExpectedWait` assumes one commit to carry. It
  /// limits nothing.
  size_t records_per_commit = 8;
};

/// The caller passes all times, so that tests need neither a store nor a clock.
class CommitFlow {
 public:
  explicit CommitFlow(const CommitFlowOptions& options) : options_(options) {}

  /// A commit is sent on a free lane.
  void OnSent(size_t lane, Instant now);
  /// The outcome of the lane's commit is known, so it is not sent again. Not
  /// called for an answer that leaves the outcome unknown.
  void OnAnswered(size_t lane, Instant now);
  /// The commit, whose outcome is unknown, is sent again on its lane.
  void OnResent(size_t lane, Instant now);
  void Clear();

  size_t in_flight() const { return sent_.size(); }
  /// Time that an answer is expected to take.
  Millis answer_time() const { return answer_time_; }
  /// Whether one more commit may be sent now.
  bool MaySend(Instant now) const;
  /// Time until `send_interval` has passed since the last `OnSent`; zero if it
  /// has passed.
  Millis SendDelay(Instant now) const;
  bool IsUnresponsive(Instant now) const;
  /// Expected time until a record is stored if `ahead` other records are queued
  /// before it.
  Millis ExpectedWait(size_t ahead) const;
  bool IsWithinMaxRecordWait(size_t ahead) const {
    return ExpectedWait(ahead) <= options_.max_record_wait;
  }

 private:
  /// Time for which commits were in flight and none was answered; zero: none is
  /// in flight.
  Millis TimeWithoutAnswer(Instant now) const;

  const CommitFlowOptions options_;
  /// When the commit on each lane was sent or last sent again.
  std::map<size_t, Instant> sent_;
  Instant last_sent_{};
  /// Time of the last answer or, if later, of the first commit sent after all
  /// earlier ones were answered.
  Instant unanswered_since_{};
  Millis answer_time_{0};
};

}  // namespace doorwood

#endif  // DOORWOOD_COMMIT_FLOW_H_
