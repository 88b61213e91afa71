// SPDX-License-Identifier: Apache-2.0

/// \file
/// Permissions for queues whose policy only an outside adviser knows: which
/// workers may run a step. Tickets are asked for in small batches, kept while
/// they hold, and asked for again when they are over.

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

/// Permission to run a step on one life of a worker.
struct Ticket {
  std::string worker;
  std::string text;
};

struct Advice {
  std::vector<Ticket> tickets;
  /// How long they hold.
  Millis valid{0};
};

/// Port to the adviser. Fails with PeerErrc, or CoreErrc::kNoOwner if it is
/// too busy.
class Adviser {
 public:
  using Callback = std::function<void(std::error_code, Advice)>;

  virtual ~Adviser() = default;

  virtual void Ask(const std::string& step,
                   const std::vector<std::string>& workers,
                   Callback done) = 0;
};

struct TicketOptions {
  /// Workers named in one question; each adds to the adviser's time.
  size_t workers_a_question = 30;
  /// Questions out at a time: the adviser takes one at a time of each caller.
  int questions_at_a_time = 4;
  /// Tickets are not used this close to their end.
  Millis margin{200};
  Millis retry_pause{250};
};

class TicketBook {
 public:
  /// `adviser` may be null: then nothing is ever permitted. `on_change` runs
  /// when tickets came.
  TicketBook(Executor& executor,
             Adviser* adviser,
             EventLog& log,
             const TicketOptions& options,
             std::function<void()> on_change);

  /// The ticket for the step on the worker; empty: none that holds.
  std::string Find(const std::string& step, const std::string& worker) const;
  /// Asks about workers that were not asked about lately.
  void Want(const std::string& step, const std::vector<std::string>& workers);
  void Clear();

 private:
  struct Answer {
    /// Empty: refused.
    std::string text;
    Instant until{};
  };
  struct Step {
    std::map<std::string, Answer> answers;
    bool asking = false;
    Instant not_before{};
  };

  void OnAdvice(const std::string& step,
                const std::vector<std::string>& asked,
                Instant sent,
                std::error_code error,
                const Advice& advice);

  Executor& executor_;
  Adviser* const adviser_;
  EventLog& log_;
  const TicketOptions options_;
  const std::function<void()> on_change_;
  /// Rises with each `Clear`; answers to earlier questions are dropped.
  uint64_t generation_ = 0;
  int questions_out_ = 0;
  std::map<std::string, Step> steps_;
};

}  // namespace doorwood

#endif  // DOORWOOD_TICKET_BOOK_H_
