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
  const bool holds = answer != known->second.answers.end() &&
                     executor_.Now() + options_.margin < answer->second.until;
  return holds ? answer->second.text : "";
}

void TicketBook::Want(const std::string& step,
                      const std::vector<std::string>& workers) {
  Step& known = steps_[step];
  const Instant now = executor_.Now();
  if (adviser_ == nullptr || known.asking || now < known.not_before ||
      questions_out_ >= options_.questions_at_a_time) {
    return;
  }
  std::vector<std::string> asked;
  for (const std::string& worker : workers) {
    const auto answer = known.answers.find(worker);
    const bool stale = answer == known.answers.end() ||
                       answer->second.until <= now + options_.margin;
    if (stale && asked.size() < options_.workers_a_question) {
      asked.push_back(worker);
    }
  }
  if (asked.empty()) {
    return;
  }
  known.asking = true;
  ++questions_out_;
  adviser_->Ask(step, asked,
                [this, step, asked, now, generation = generation_](
                    std::error_code error, const Advice& advice) {
                  if (generation == generation_) {
                    --questions_out_;
                    OnAdvice(step, asked, now, error, advice);
                  }
                });
}

void TicketBook::OnAdvice(const std::string& step,
                          const std::vector<std::string>& asked,
                          Instant sent,
                          std::error_code error,
                          const Advice& advice) {
  Step& known = steps_[step];
  known.asking = false;
  if (error) {
    known.not_before = executor_.Now() + options_.retry_pause;
    log_.Write("warn", "tickets", "no advice",
               {{"step", step}, {"error", error.message()}});
    return;
  }
  // A ticket holds from the adviser's answer on, so from the question on at
  // the earliest. A refusal stands as long: which workers may run a step does
  // not change.
  const Instant until = sent + advice.valid;
  for (const std::string& worker : asked) {
    known.answers[worker] = {"", until};
  }
  for (const Ticket& ticket : advice.tickets) {
    known.answers[ticket.worker] = {ticket.text, until};
  }
  log_.Write("info", "tickets", "advice taken",
             {{"step", step},
              {"asked", asked.size()},
              {"permitted", advice.tickets.size()},
              {"valid_ms", advice.valid.count()}});
  on_change_();
}

void TicketBook::Clear() {
  ++generation_;
  questions_out_ = 0;
  steps_.clear();
}

}  // namespace doorwood
