// SPDX-License-Identifier: Apache-2.0

#include "doorwood/lasting_room.h"

#include <algorithm>
#include <cmath>

namespace doorwood {

void LastingRoom::Observe(const ServiceLoad& load, Instant now) {
  const double use = load.left > 0 ? load.asked / load.left : 0;
  const auto passed = std::chrono::duration<double>(now - observed_);
  const auto memory = std::chrono::duration<double>(options_.memory);
  const double kept =
      observed_ == Instant{} ? 0.0 : std::exp(-passed.count() / memory.count());
  use_ = use + std::max(0.0, use_ - use) * kept;
  observed_ = now;
  if (use > options_.seen_use && seen_since_ == Instant{}) {
    seen_since_ = now;
  }
}

bool LastingRoom::IsProved(Instant now) const {
  return seen_since_ != Instant{} && now - seen_since_ >= options_.proof_time;
}

bool LastingRoom::Allows(int64_t asked,
                         int64_t reserved,
                         int64_t capacity,
                         Instant now) const {
  if (capacity <= 0) {
    return true;
  }
  const double share =
      static_cast<double>(asked + reserved) / static_cast<double>(capacity);
  if (use_ > options_.pressed_use) {
    return false;
  }
  const bool has_slack = IsProved(now) && use_ <= options_.slack_use;
  return share <= (has_slack ? options_.proved_share : options_.unproved_share);
}

}  // namespace doorwood
