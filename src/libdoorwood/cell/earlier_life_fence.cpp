// SPDX-License-Identifier: Apache-2.0

#include "doorwood/earlier_life_fence.h"

#include <algorithm>

#include "doorwood/worker_session.h"

namespace doorwood {

bool EarlierLifeFence::NoteAnswer(uint64_t token, Instant now) {
  if (!IsOpen() || token <= *earlier_token_) {
    return false;
  }
  closed_at_ = now;
  return true;
}

std::optional<Instant> EarlierLifeFence::settled_at() const {
  if (!earlier_token_ || closed_at_ == Instant{}) {
    return std::nullopt;
  }
  // Both leases end on the same clock, so only the difference counts.
  const Millis excess = std::max(longest_lease_ - run_lease_, Millis(0));
  return closed_at_ + MaxOnLocalClock(excess) + Millis(1);
}

bool EarlierLifeFence::IsSettled(Instant now) const {
  const auto at = settled_at();
  return !earlier_token_ || (at && now >= *at);
}

}  // namespace doorwood
