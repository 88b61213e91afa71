// SPDX-License-Identifier: Apache-2.0

/// \file
/// How many commits go to the store side by side, and whether one more record
/// would be there in time.
///
/// It answers two patterns. A store that answers slowly but steadily: with one
/// commit at a time of 32 entries, answers of 0.4 s carry 80 entries a second,
/// a tenth of what 40 new jobs a second and 250 that keep changing need;
/// several commits on keys that do not meet carry it. A store that falls
/// silent: what is sent then has an unknown outcome, so little is sent, and
/// what has not been sent is refused while that is still true and early.

#ifndef DOORWOOD_COMMIT_FLOW_H_
#define DOORWOOD_COMMIT_FLOW_H_

#include <cstddef>
#include <map>

#include "doorwood/types.h"

namespace doorwood {

struct CommitFlowOptions {
  /// Commits under way at most. At 0.4 s an answer these are 30 a second, some
  /// 900 entries.
  size_t most_lanes = 12;
  /// A further commit beside one under way is sent this long after the one
  /// before, so that a store that answers in milliseconds gets one at a time.
  Millis spread{30};
  /// Weight of an answer that came faster than expected; a slower one counts
  /// fully, since callers wait for it.
  double faster_answer = 0.3;
  /// Without an answer for this multiple of the expected time, and for so long
  /// at least, no further commit is opened beside those under way.
  double doubt_factor = 3.0;
  Millis doubt_after{100};
  /// Without an answer for so long the store is taken to be silent. Slow stores
  /// answer within 0.4 s.
  Millis silent_after{700};
  /// A record that would take longer is refused rather than waited for: callers
  /// have 3 s in all, so that another try can still succeed.
  Millis record_within{1200};
  /// Records of new jobs that one commit carries.
  size_t records_at_once = 8;
};

/// Knows only times, so that tests need neither a store nor a clock.
class CommitFlow {
 public:
  explicit CommitFlow(const CommitFlowOptions& options) : options_(options) {}

  /// A commit leaves on a free lane.
  void OnSent(size_t lane, Instant now);
  /// Its answer came, whatever it says, or it is given up.
  void OnAnswered(size_t lane, Instant now);
  /// Its time ran out without an answer, and it is sent again.
  void OnSentAgain(size_t lane, Instant now);
  void Clear();

  size_t under_way() const { return sent_.size(); }
  /// Time that an answer is expected to take.
  Millis answer_time() const { return answer_time_; }
  /// Whether one more commit may be sent; if not yet, after how long to ask.
  bool MaySend(Instant now) const;
  Millis SendPause(Instant now) const;
  bool IsSilent(Instant now) const;
  /// Time until a record is there that has `ahead` others before it.
  Millis ExpectedWait(size_t ahead) const;
  bool IsInTime(size_t ahead) const {
    return ExpectedWait(ahead) <= options_.record_within;
  }

 private:
  /// How long the commits under way have gone without any answer.
  Millis Unheard(Instant now) const;

  const CommitFlowOptions options_;
  /// When the commit on each lane was sent, or sent again.
  std::map<size_t, Instant> sent_;
  Instant last_sent_{};
  /// The last answer, or the first commit that was sent since all had theirs.
  Instant unheard_since_{};
  Millis answer_time_{0};
};

}  // namespace doorwood

#endif  // DOORWOOD_COMMIT_FLOW_H_
