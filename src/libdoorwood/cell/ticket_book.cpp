// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ticket_book.h"

#include <utility>

namespace doorwood {

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

std::string TicketBook::Find(const std::string& step,
                             const std::string& worker) const {
  const auto known = steps_.find(step);
  if (known == steps_.end()) {
    return "";
  }
  const auto answer = known->second.answers.find(worker);
  const bool holds =
      answer != known->second.answers.end() &&
      executor_.Now() + options_.expiry_margin < answer->second.expires_at;
  return holds ? answer->second.text : "";
}

void TicketBook::RequestTickets(const std::string& step,
                                const std::vector<std::string>& workers) {
  Step& known = steps_[step];
  const Instant now = executor_.Now();
  if (adviser_ == nullptr || known.request_pending || now < known.retry_at ||
      pending_requests_ >= options_.max_pending_requests) {
    return;
  }
  std::vector<std::string> asked;
  for (const std::string& worker : workers) {
    const auto answer = known.answers.find(worker);
    const bool stale =
        answer == known.answers.end() ||
        answer->second.expires_at <= now + options_.expiry_margin;
    if (stale && asked.size() < options_.workers_per_request) {
      asked.push_back(worker);
    }
  }
  if (asked.empty()) {
    return;
  }
  known.request_pending = true;
  ++pending_requests_;
  adviser_->RequestTickets(
      step, asked,
      [this, step, asked, now, generation = generation_](
          std::error_code error, const TicketGrant& advice) {
        if (generation == generation_) {
          --pending_requests_;
          OnAdvice(step, asked, now, error, advice);
        }
      });
}

void TicketBook::OnAdvice(const std::string& step,
                          const std::vector<std::string>& asked,
                          Instant sent,
                          std::error_code error,
                          const TicketGrant& advice) {
  Step& known = steps_[step];
  known.request_pending = false;
  if (error) {
    known.retry_at = executor_.Now() + options_.retry_pause;
    log_.Write("warn", "tickets", "adviser returned no tickets",
               {{"step", step}, {"error", error.message()}});
    return;
  }
  // A ticket is valid from the adviser's answer on, so counting from the
  // request is on the safe side. A refusal is kept for as long, since the
  // workers that may run a step do not change.
  const Instant expires_at = sent + advice.valid_for;
  for (const std::string& worker : asked) {
    known.answers[worker] = {"", expires_at};
  }
  for (const Ticket& ticket : advice.tickets) {
    known.answers[ticket.worker] = {ticket.token, expires_at};
  }
  log_.Write("info", "tickets", "tickets received from adviser",
             {{"step", step},
              {"asked", asked.size()},
              {"permitted", advice.tickets.size()},
              {"valid_ms", advice.valid_for.count()}});
  on_change_();
}

void TicketBook::Clear() {
  ++generation_;
  pending_requests_ = 0;
  steps_.clear();
}

}  // namespace doorwood
