// SPDX-License-Identifier: Apache-2.0

#include "doorwood/commit_flow.h"

#include <algorithm>

namespace doorwood {
namespace {

Millis Between(Instant from, Instant until) {
  return std::chrono::duration_cast<Millis>(until - from);
}

Millis Times(Millis time, double factor) {
  return Millis(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

void CommitFlow::OnSent(size_t lane, Instant now) {
  if (sent_.empty()) {
    unheard_since_ = now;
  }
  sent_[lane] = now;
  last_sent_ = now;
}

void CommitFlow::OnAnswered(size_t lane, Instant now) {
  const auto sent = sent_.find(lane);
  if (sent == sent_.end()) {
    return;
  }
  const Millis taken = Between(sent->second, now);
  const Millis faster = answer_time_ - taken;
  answer_time_ = faster > Millis(0)
                     ? answer_time_ - Times(faster, options_.faster_answer)
                     : taken;
  unheard_since_ = now;
  sent_.erase(sent);
}

void CommitFlow::OnSentAgain(size_t lane, Instant now) {
  sent_[lane] = now;
}

void CommitFlow::Clear() {
  sent_.clear();
  last_sent_ = Instant{};
  unheard_since_ = Instant{};
  answer_time_ = Millis(0);
}

Millis CommitFlow::Unheard(Instant now) const {
  return sent_.empty() ? Millis(0) : Between(unheard_since_, now);
}

bool CommitFlow::MaySend(Instant now) const {
  if (sent_.empty()) {
    return true;
  }
  const Millis doubt = std::max(options_.doubt_after,
                                Times(answer_time_, options_.doubt_factor));
  return sent_.size() < options_.most_lanes && Unheard(now) < doubt &&
         SendPause(now) <= Millis(0);
}

Millis CommitFlow::SendPause(Instant now) const {
  return std::max(Millis(0), options_.spread - Between(last_sent_, now));
}

bool CommitFlow::IsSilent(Instant now) const {
  return Unheard(now) >= options_.silent_after;
}

Millis CommitFlow::ExpectedWait(size_t ahead) const {
  const auto lanes = static_cast<int64_t>(options_.most_lanes);
  const Millis step =
      std::max(std::min(options_.spread, answer_time_), answer_time_ / lanes);
  const auto commits = static_cast<int64_t>(ahead / options_.records_at_once);
  return answer_time_ + step * commits;
}

}  // namespace doorwood
