// SPDX-License-Identifier: Apache-2.0

/// \file
/// Permissions (tickets) for queues whose policy is known only to an external
/// adviser: which workers may run a step. Tickets are requested in small
/// batches and used until `TicketOptions::expiry_margin` before they expire;
/// from then on, they may be requested again.

#ifndef DOORWOOD_TICKET_BOOK_H_
#define DOORWOOD_TICKET_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"

namespace doorwood {

/// Permission to run a step on one incarnation of a worker.
struct Ticket {
  std::string worker;
  std::string token;
};

struct TicketGrant {
  std::vector<Ticket> tickets;
  /// How long the tickets are valid from the adviser's answer on.
  Millis valid_for{0};
};

/// Port to the adviser. Requests fail with PeerErrc, or with
/// CoreErrc::kNoOwner if the adviser is too busy.
class Adviser {
 public:
  using Callback = std::function<void(std::error_code, TicketGrant)>;

  virtual ~Adviser() = default;

  virtual void RequestTickets(const std::string& step,
                              const std::vector<std::string>& workers,
                              Callback done) = 0;
};

struct TicketOptions {
  /// Maximum number of workers named in one request; each adds to the adviser's
  /// answer time.
  size_t workers_per_request = 30;
  /// Maximum number of pending requests, for all steps together. More would not
  /// be answered sooner: the adviser handles one at a time for each caller.
  int max_pending_requests = 4;
  /// A ticket is not used if it expires within this time.
  Millis expiry_margin{200};
  /// Delay after a failed request for a step before the next one for that step.
  Millis retry_pause{250};
};

class TicketBook {
 public:
  /// `adviser` may be null: then nothing is ever permitted. `on_change` runs
  /// after a request has succeeded, even if the adviser permits nothing, unless
  /// `Clear` was called since the request.
  TicketBook(Executor& executor,
             Adviser* adviser,
             EventLog& log,
             const TicketOptions& options,
             std::function<void()> on_change);

  /// Token of the ticket for the step on the worker; empty: there is no ticket,
  /// or it expires within `TicketOptions::expiry_margin`.
  std::string Find(const std::string& step, const std::string& worker) const;
  /// Requests tickets for the step on those workers for which there is no
  /// answer, or one that expires within `TicketOptions::expiry_margin`; for at
  /// most the first `TicketOptions::workers_per_request` of them. Does nothing:
  /// - without an adviser;
  /// - while a request for the step is pending;
  /// - while `TicketOptions::max_pending_requests` in all are pending;
  /// - for `TicketOptions::retry_pause` after a request for the step failed.
  void RequestTickets(const std::string& step,
                      const std::vector<std::string>& workers);
  /// Drops the tickets for the worker and ignores those that were requested
  /// before: another incarnation has its id now.
  void Forget(const std::string& worker);
  /// Drops all tickets, and ignores the answers to pending requests.
  void Clear();

 private:
  struct Answer {
    /// The ticket's token; empty: the adviser gave no ticket.
    std::string token;
    Instant expires_at{};
  };
  struct Step {
    std::map<std::string, Answer> answers;
    bool request_pending = false;
    Instant retry_at{};
  };

  void OnTicketResponse(const std::string& step,
                        const std::vector<std::string>& requested,
                        Instant sent,
                        std::error_code error,
                        const TicketGrant& grant);

  bool WasForgottenSince(const std::string& worker, Instant sent) const;

  Executor& executor_;
  Adviser* const adviser_;
  EventLog& log_;
  const TicketOptions options_;
  const std::function<void()> on_change_;
  /// Increases with each `Clear`; answers to earlier requests are dropped.
  uint64_t generation_ = 0;
  int pending_requests_ = 0;
  std::map<std::string, Step> steps_;
  /// When `Forget` was last called, by worker.
  std::map<std::string, Instant> forgotten_;
};

}  // namespace doorwood

#endif  // DOORWOOD_TICKET_BOOK_H_
