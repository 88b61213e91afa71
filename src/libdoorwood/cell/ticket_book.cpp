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
  const auto found = steps_.find(step);
  if (found == steps_.end()) {
    return "";
  }
  const auto answer = found->second.answers.find(worker);
  const bool is_valid =
      answer != found->second.answers.end() &&
      executor_.Now() + options_.expiry_margin < answer->second.expires_at;
  return is_valid ? answer->second.token : "";
}

void TicketBook::RequestTickets(const std::string& step,
                                const std::vector<std::string>& workers) {
  Step& entry = steps_[step];
  const Instant now = executor_.Now();
  if (adviser_ == nullptr || entry.request_pending || now < entry.retry_at ||
      pending_requests_ >= options_.max_pending_requests) {
    return;
  }
  std::vector<std::string> requested;
  for (const std::string& worker : workers) {
    const auto answer = entry.answers.find(worker);
    const bool stale =
        answer == entry.answers.end() ||
        answer->second.expires_at <= now + options_.expiry_margin;
    if (stale && requested.size() < options_.workers_per_request) {
      requested.push_back(worker);
    }
  }
  if (requested.empty()) {
    return;
  }
  entry.request_pending = true;
  ++pending_requests_;
  adviser_->RequestTickets(
      step, requested,
      [this, step, requested, now, generation = generation_](
          std::error_code error, const TicketGrant& grant) {
        if (generation == generation_) {
          --pending_requests_;
          OnTicketResponse(step, requested, now, error, grant);
        }
      });
}

void TicketBook::OnTicketResponse(const std::string& step,
                                  const std::vector<std::string>& requested,
                                  Instant sent,
                                  std::error_code error,
                                  const TicketGrant& grant) {
  Step& entry = steps_[step];
  entry.request_pending = false;
  if (error) {
    entry.retry_at = executor_.Now() + options_.retry_pause;
    log_.Write("warn", "tickets",
               "request for tickets failed; pausing requests for the step",
               {{"step", step}, {"error", error.message()}});
    return;
  }
  // A ticket is valid from the adviser's answer on. Its time is counted from
  // the request here, so a ticket may go unused while it is still valid, but is
  // never taken for valid after it has expired. That a worker got no ticket is
  // cached for as long, since the workers that may run a step do not change.
  const Instant expires_at = sent + grant.valid_for;
  for (const std::string& worker : requested) {
    if (!WasForgottenSince(worker, sent)) {
      entry.answers[worker] = {"", expires_at};
    }
  }
  for (const Ticket& ticket : grant.tickets) {
    if (!WasForgottenSince(ticket.worker, sent)) {
      entry.answers[ticket.worker] = {ticket.token, expires_at};
    }
  }
  log_.Write("info", "tickets", "adviser answered a request for tickets",
             {{"step", step},
              {"asked", requested.size()},
              {"permitted", grant.tickets.size()},
              {"valid_ms", grant.valid_for.count()}});
  on_change_();
}

bool TicketBook::WasForgottenSince(const std::string& worker,
                                   Instant sent) const {
  const auto found = forgotten_.find(worker);
  return found != forgotten_.end() && found->second >= sent;
}

void TicketBook::Forget(const std::string& worker) {
  forgotten_[worker] = executor_.Now();
  for (auto& [name, step] : steps_) {
    step.answers.erase(worker);
  }
}

void TicketBook::Clear() {
  ++generation_;
  pending_requests_ = 0;
  steps_.clear();
  forgotten_.clear();
}

}  // namespace doorwood
