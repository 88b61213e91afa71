// SPDX-License-Identifier: Apache-2.0

#include "fakes/serial_adviser.h"

#include <utility>

#include "doorwood/error.h"

namespace doorwood::fakes {
namespace {

constexpr Millis kOneWay{2};
constexpr size_t kMaxWaiting = 32;

}  // namespace

void SerialAdviser::RequestTickets(const std::string& step,
                                   const std::vector<std::string>& workers,
                                   Millis time_limit,
                                   Callback done) {
  ++received_;
  last_named_ = workers;
  const auto once = std::make_shared<Callback>(std::move(done));
  executor_.Schedule(time_limit, [this, once] {
    Answer(once, make_error_code(PeerErrc::kNoAnswer), {});
  });
  if (behavior_->silent) {
    return;
  }
  if (behavior_->busy || waiting_.size() >= kMaxWaiting) {
    Answer(once, make_error_code(CoreErrc::kNoOwner), {});
    return;
  }
  waiting_.push_back({step, workers, once});
  HandleNext();
}

void SerialAdviser::HandleNext() {
  if (deciding_ || waiting_.empty()) {
    return;
  }
  deciding_ = true;
  Call call = std::move(waiting_.front());
  waiting_.pop_front();
  const AdvicePolicy& policy = behavior_->policy;
  const auto stated =
      policy.decision_time +
      policy.decision_time_each * static_cast<int>(call.workers.size());
  const Millis takes(static_cast<int64_t>(static_cast<double>(stated.count()) *
                                          behavior_->slowdown));
  time_.RunAt(time_.now() + takes, [this, call = std::move(call)] {
    TicketGrant grant;
    grant.valid_for = behavior_->policy.ticket_validity;
    for (const std::string& worker : call.workers) {
      if (behavior_->permits && !behavior_->permits(call.step, worker)) {
        continue;
      }
      const std::string token =
          call.step + "@" + worker + "#" + std::to_string(issued_.size());
      issued_[token] = {call.step, worker, time_.now() + grant.valid_for};
      grant.tickets.push_back({worker, token});
    }
    ++answered_;
    workers_named_ += call.workers.size();
    answered_steps_.push_back(call.step);
    deciding_ = false;
    Answer(call.done, {}, grant);
    HandleNext();
  });
}

void SerialAdviser::Answer(const std::shared_ptr<Callback>& done,
                           std::error_code error,
                           const TicketGrant& grant) {
  executor_.DeliverAnswer(kOneWay, [done, error, grant] {
    if (*done) {
      std::exchange(*done, nullptr)(error, grant);
    }
  });
}

bool SerialAdviser::IsValid(const std::string& token,
                            const std::string& step,
                            const std::string& worker) const {
  const auto found = issued_.find(token);
  return found != issued_.end() && found->second.step == step &&
         found->second.worker == worker &&
         time_.now() < found->second.expires_at;
}

}  // namespace doorwood::fakes
