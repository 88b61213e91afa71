// SPDX-License-Identifier: Apache-2.0

#include "doorwood/long_running_admission.h"

#include <algorithm>
#include <cmath>

namespace doorwood {

void LongRunningAdmission::Observe(const ServiceLoad& load, Instant now) {
  const double use = load.available > 0 ? load.requested / load.available : 0;
  const auto passed = std::chrono::duration<double>(now - observed_);
  const auto decay_time =
      std::chrono::duration<double>(options_.peak_decay_time);
  const double kept = observed_ == Instant{}
                          ? 0.0
                          : std::exp(-passed.count() / decay_time.count());
  peak_use_ = use + std::max(0.0, peak_use_ - use) * kept;
  observed_ = now;
  if (use > options_.min_present_use && present_since_ == Instant{}) {
    present_since_ = now;
  }
}

bool LongRunningAdmission::IsObservationTimeOver(Instant now) const {
  return present_since_ != Instant{} &&
         now - present_since_ >= options_.observation_time;
}

bool LongRunningAdmission::Allows(int64_t requested,
                                  int64_t reserved,
                                  int64_t capacity,
                                  Instant now) const {
  if (capacity <= 0) {
    return true;
  }
  const double share =
      static_cast<double>(requested + reserved) / static_cast<double>(capacity);
  if (peak_use_ > options_.max_use) {
    return false;
  }
  const bool has_free_capacity =
      IsObservationTimeOver(now) && peak_use_ <= options_.low_use;
  return share <=
         (has_free_capacity ? options_.raised_share : options_.initial_share);
}

}  // namespace doorwood
