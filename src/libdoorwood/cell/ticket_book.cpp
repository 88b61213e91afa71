// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ticket_book.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace doorwood {
namespace {

// Share of a new observation in `slowdown_`.
constexpr double kObservationWeight = 0.5;
constexpr double kMaxSlowdown = 1000;
// Decisions that are stated to be shorter say little about how slow the adviser
// is: the time on the network counts for more.
constexpr Millis kShortestMeasured{20};
constexpr Millis kLongestValidity = std::chrono::hours(24);
constexpr int kMaxDoublings = 10;
constexpr int kAbandonFactor = 4;
constexpr Millis kLongestTimeLimit{600'000};

Millis Multiply(Millis time, double factor) {
  return Millis(std::llround(static_cast<double>(time.count()) * factor));
}

Millis Doubled(Millis time, int times, Millis longest) {
  return std::min(longest, time * (1 << std::min(times, kMaxDoublings)));
}

}  // namespace

TicketBook::TicketBook(Executor& executor,
                       Adviser* adviser,
                       EventLog& log,
                       const TicketOptions& options,
                       std::function<void()> on_change)
    : executor_(executor),
      adviser_(adviser),
      log_(log),
      options_(options),
      on_change_(std::move(on_change)) {}

bool TicketBook::IsUsable(const Answer& answer) const {
  return !answer.token.empty() && executor_.Now() < answer.expires_at;
}

std::string TicketBook::Find(std::string_view step,
                             std::string_view worker) const {
  const auto found = steps_.find(step);
  if (found == steps_.end()) {
    return "";
  }
  const auto answer = found->second.answers.find(worker);
  return answer != found->second.answers.end() && IsUsable(answer->second)
             ? answer->second.token
             : "";
}

bool TicketBook::HasTicket(std::string_view step) const {
  const auto found = steps_.find(step);
  return found != steps_.end() &&
         std::any_of(
             found->second.answers.begin(), found->second.answers.end(),
             [this](const auto& entry) { return IsUsable(entry.second); });
}

bool TicketBook::IsIdle() const {
  return adviser_ != nullptr && executor_.Now() >= next_request_;
}

void TicketBook::SetPermissions(const Step& step, TicketDemand* demand) const {
  const Instant now = executor_.Now();
  std::erase_if(demand->candidates, [&](TicketCandidate& candidate) {
    const auto answer = step.answers.find(candidate.worker);
    if (answer == step.answers.end()) {
      candidate.permission = Permission::kUnknown;
      return false;
    }
    candidate.permission = answer->second.permitted ? Permission::kPermitted
                                                    : Permission::kRefused;
    return candidate.permission == Permission::kRefused &&
           now - answer->second.answered_at < options_.refusal_kept;
  });
}

// --- Calls ---

Millis TicketBook::PatienceFor(Millis stated) const {
  const Millis expected = Multiply(stated, slowdown_);
  return expected + expected / 2 +
         Doubled(options_.patience, overdue_, options_.longest_patience);
}

bool TicketBook::Request(TicketDemand demand) {
  if (!IsIdle()) {
    return false;
  }
  static const Step no_answers;
  const auto found = steps_.find(demand.step);
  const Step& step = found == steps_.end() ? no_answers : found->second;
  SetPermissions(step, &demand);
  Call call;
  call.named = ChooseWorkersToName(
      demand, permitted_share_.Estimate(step.named, step.permitted));
  if (call.named.empty()) {
    return false;
  }
  steps_.try_emplace(demand.step);
  call.step = std::move(demand.step);
  call.sent = executor_.Now();
  call.stated = StatedDecisionTime(demand.policy, call.named.size());
  Send(std::move(call));
  return true;
}

void TicketBook::Send(Call call) {
  if (!calls_.empty()) {
    ++overdue_;
    ++counters_.sent_beside_overdue;
    log_.Write("warn", "tickets",
               "the adviser has not answered in time; asking again",
               {{"step", call.step},
                {"open_calls", calls_.size()},
                {"overdue", overdue_},
                {"slowdown", slowdown_}});
  }
  next_request_ = call.sent + PatienceFor(call.stated);
  const Millis limit =
      std::max(Doubled(options_.abandon_after, abandoned_, kLongestTimeLimit),
               Multiply(call.stated, slowdown_) * kAbandonFactor);
  call.time_limit = limit;
  const uint64_t id = ++counters_.sent;
  const Call& open = calls_.emplace(id, std::move(call)).first->second;
  adviser_->RequestTickets(
      open.step, open.named, limit,
      [this, id](std::error_code error, const TicketGrant& grant) {
        OnAnswer(id, error, grant);
      });
}

void TicketBook::OnAnswer(uint64_t id,
                          std::error_code error,
                          const TicketGrant& grant) {
  const auto found = calls_.extract(id);
  if (found.empty()) {
    return;
  }
  const Call call = std::move(found.mapped());
  if (error) {
    ++counters_.failed;
    OnFailure(call, error);
    return;
  }
  const Instant now = executor_.Now();
  // The adviser began with this call once it had answered the one before.
  const auto took = std::chrono::duration_cast<Millis>(
      now - std::max(call.sent, last_answer_));
  if (call.stated >= kShortestMeasured) {
    const double observed = static_cast<double>(took.count()) /
                            static_cast<double>(call.stated.count());
    slowdown_ =
        std::clamp(slowdown_ + kObservationWeight * (observed - slowdown_), 1.0,
                   kMaxSlowdown);
  }
  last_answer_ = now;
  failures_ = 0;
  abandoned_ = 0;
  overdue_ = 0;
  // The adviser handles calls in turn, so those sent before were lost, and the
  // next open one is handled now.
  calls_.erase(calls_.begin(), calls_.lower_bound(id));
  next_request_ = calls_.empty()
                      ? Instant{}
                      : now + PatienceFor(calls_.begin()->second.stated);
  log_.Write(
      "info", "tickets", "adviser answered a request for tickets",
      {{"step", call.step},
       {"asked", call.named.size()},
       {"permitted", grant.tickets.size()},
       {"valid_ms", grant.valid_for.count()},
       {"took_ms", std::chrono::duration_cast<Millis>(now - call.sent).count()},
       {"stated_ms", call.stated.count()},
       {"open_calls", calls_.size()},
       {"used", !call.dropped}});
  if (!call.dropped) {
    ApplyGrant(call, grant);
  }
  if (!call.cleared) {
    on_change_();
  }
}

void TicketBook::OnFailure(const Call& call, std::error_code error) {
  const Millis pause =
      Doubled(options_.retry_pause, failures_++, options_.longest_pause);
  const Instant now = executor_.Now();
  abandoned_ += now - call.sent >= call.time_limit ? 1 : 0;
  // Open calls keep the adviser busy, so the next one is due no sooner.
  next_request_ =
      calls_.empty() ? now + pause : std::max(next_request_, now + pause);
  log_.Write(
      "warn", "tickets", "request for tickets failed; pausing requests",
      {{"step", call.step},
       {"error", error.message()},
       {"took_ms", std::chrono::duration_cast<Millis>(now - call.sent).count()},
       {"stated_ms", call.stated.count()},
       {"open_calls", calls_.size()},
       {"pause_ms", pause.count()}});
}

void TicketBook::ApplyGrant(const Call& call, const TicketGrant& grant) {
  Step& step = steps_[call.step];
  const Instant now = executor_.Now();
  // Counted from the arrival of the answer: while the call waits at the
  // adviser, its tickets do not exist yet. A worker refuses a ticket that has
  // expired on the way.
  const Millis valid_for = std::min(grant.valid_for, kLongestValidity);
  const Instant expires_at =
      now + valid_for - std::min(options_.expiry_margin, valid_for / 4);
  size_t unknown = 0;
  std::set<std::string> unknown_workers;
  for (const std::string& worker : call.named) {
    if (!call.forgotten.contains(worker)) {
      const auto [answer, is_new] = step.answers.insert_or_assign(
          worker, Answer{false, "", Instant{}, now});
      unknown += is_new ? 1 : 0;
      if (is_new) {
        unknown_workers.insert(worker);
      }
    }
  }
  size_t permitted = 0;
  for (const Ticket& ticket : grant.tickets) {
    if (!call.forgotten.contains(ticket.worker)) {
      step.answers[ticket.worker] = {true, ticket.token, expires_at, now};
      permitted += unknown_workers.contains(ticket.worker) ? 1 : 0;
    }
  }
  step.named += unknown;
  step.permitted += permitted;
  permitted_share_.Observe(unknown, permitted);
}

// --- What is no longer valid ---

void TicketBook::Drop(std::string_view step, std::string_view worker) {
  const auto found = steps_.find(step);
  if (found == steps_.end()) {
    return;
  }
  const auto answer = found->second.answers.find(worker);
  if (answer != found->second.answers.end()) {
    answer->second.token.clear();
  }
}

void TicketBook::Forget(const std::string& worker) {
  for (auto& [id, call] : calls_) {
    call.forgotten.insert(worker);
  }
  for (auto& [name, step] : steps_) {
    step.answers.erase(worker);
  }
}

void TicketBook::ForgetStep(std::string_view step) {
  const auto found = steps_.find(step);
  if (found == steps_.end()) {
    return;
  }
  steps_.erase(found);
  for (auto& [id, call] : calls_) {
    call.dropped = call.dropped || call.step == step;
  }
}

void TicketBook::ForgetSteps(std::string_view prefix) {
  auto step = steps_.lower_bound(prefix);
  while (step != steps_.end() && step->first.starts_with(prefix)) {
    step = steps_.erase(step);
  }
  for (auto& [id, call] : calls_) {
    call.dropped = call.dropped || call.step.starts_with(prefix);
  }
}

void TicketBook::Clear() {
  steps_.clear();
  for (auto& [id, call] : calls_) {
    call.dropped = true;
    call.cleared = true;
  }
}

}  // namespace doorwood
