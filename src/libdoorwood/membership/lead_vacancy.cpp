// SPDX-License-Identifier: Apache-2.0

#include "doorwood/lead_vacancy.h"

#include <algorithm>

namespace doorwood {

void LeadVacancy::OnCall(int64_t epoch,
                         const std::string& address,
                         LeadCallResult result,
                         Instant sent) {
  if (epoch < epoch_) {
    return;  // The call of an earlier leader.
  }
  if (epoch > epoch_) {
    epoch_ = epoch;
    refusals_ = 0;
    gone_at_ = Instant{};
    tried_at_ = Instant{};
  }
  if (result == LeadCallResult::kAnswered) {
    constexpr size_t kMaxAddresses = 1000;
    if (answered_addresses_.size() >= kMaxAddresses) {
      answered_addresses_.clear();
    }
    answered_addresses_.insert(address);
  }
  if (result != LeadCallResult::kRefused) {
    // A call that was sent before the refused ones may end after them.
    if (refusals_ > 0 && sent >= first_refused_) {
      refusals_ = 0;
      gone_at_ = Instant{};
    }
    return;
  }
  if (!answered_addresses_.contains(address)) {
    return;
  }
  if (refusals_ == 0 || sent - last_refused_ > options_.refusal_validity) {
    refusals_ = 0;
    gone_at_ = Instant{};
    first_refused_ = sent;
  }
  ++refusals_;
  last_refused_ = std::max(last_refused_, sent);
  const bool is_proof = refusals_ >= options_.refusals &&
                        last_refused_ - first_refused_ >= options_.refusal_time;
  if (is_proof && gone_at_ == Instant{}) {
    gone_at_ = sent;
  }
}

std::optional<Instant> LeadVacancy::NextCallAt(int64_t epoch) const {
  if (epoch != epoch_ || refusals_ == 0 || gone_at_ != Instant{}) {
    return std::nullopt;
  }
  return last_refused_ + options_.call_interval;
}

bool LeadVacancy::IsGone(int64_t epoch, Instant now) const {
  return epoch == epoch_ && gone_at_ != Instant{} &&
         now - last_refused_ <= options_.refusal_validity;
}

std::optional<Instant> LeadVacancy::RemovalTime(int64_t epoch,
                                                int rank,
                                                Instant reaching_store_since,
                                                Instant now) const {
  if (!IsGone(epoch, now)) {
    return std::nullopt;
  }
  const Millis delay = std::min(options_.removal_delay_per_rank * rank,
                                options_.max_removal_delay);
  const Instant first = std::max(gone_at_, reaching_store_since) + delay;
  return tried_at_ == Instant{}
             ? first
             : std::max(first, tried_at_ + options_.removal_retry);
}

}  // namespace doorwood
