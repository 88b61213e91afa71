// SPDX-License-Identifier: Apache-2.0

#include "doorwood/commit_flow.h"

#include <algorithm>

namespace doorwood {
namespace {

Millis Elapsed(Instant from, Instant until) {
  return std::chrono::duration_cast<Millis>(until - from);
}

Millis Scale(Millis time, double factor) {
  return Millis(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

void CommitFlow::OnSent(size_t lane, Instant now) {
  if (sent_.empty()) {
    unanswered_since_ = now;
  }
  sent_[lane] = now;
  last_sent_ = now;
}

void CommitFlow::OnAnswered(size_t lane, Instant now) {
  const auto sent = sent_.find(lane);
  if (sent == sent_.end()) {
    return;
  }
  const Millis taken = Elapsed(sent->second, now);
  const Millis improvement = answer_time_ - taken;
  answer_time_ =
      improvement > Millis(0)
          ? answer_time_ - Scale(improvement, options_.faster_answer_weight)
          : taken;
  unanswered_since_ = now;
  sent_.erase(sent);
}

void CommitFlow::OnResent(size_t lane, Instant now) {
  sent_[lane] = now;
}

void CommitFlow::Clear() {
  sent_.clear();
  last_sent_ = Instant{};
  unanswered_since_ = Instant{};
  answer_time_ = Millis(0);
}

Millis CommitFlow::TimeWithoutAnswer(Instant now) const {
  return sent_.empty() ? Millis(0) : Elapsed(unanswered_since_, now);
}

bool CommitFlow::MaySend(Instant now) const {
  if (sent_.empty()) {
    return true;
  }
  const Millis stall_limit = std::max(
      options_.min_stall_time, Scale(answer_time_, options_.stall_factor));
  return sent_.size() < options_.max_lanes &&
         TimeWithoutAnswer(now) < stall_limit && SendDelay(now) <= Millis(0);
}

Millis CommitFlow::SendDelay(Instant now) const {
  return std::max(Millis(0), options_.send_interval - Elapsed(last_sent_, now));
}

bool CommitFlow::IsUnresponsive(Instant now) const {
  return TimeWithoutAnswer(now) >= options_.unresponsive_after;
}

Millis CommitFlow::ExpectedWait(size_t ahead) const {
  const auto lanes = static_cast<int64_t>(options_.max_lanes);
  const Millis step = std::max(std::min(options_.send_interval, answer_time_),
                               answer_time_ / lanes);
  const auto commits =
      static_cast<int64_t>(ahead / options_.records_per_commit);
  return answer_time_ + step * commits;
}

}  // namespace doorwood
