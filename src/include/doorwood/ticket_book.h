// SPDX-License-Identifier: Apache-2.0

/// \file
/// Permissions (tickets) for queues whose policy is known only to an external
/// adviser: which workers may run a step.
///
/// The adviser handles the calls of this process one at a time, in turn, also
/// those that the process no longer waits for. The book therefore sends a call
/// only when the adviser is believed to be idle, and never abandons a call
/// because the adviser is slow: a call that is overdue stays open, and its
/// answer is used whenever it comes. Further calls are sent beside overdue
/// ones, ever more rarely, since a call may have been lost.

#ifndef DOORWOOD_TICKET_BOOK_H_
#define DOORWOOD_TICKET_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/ticket_naming.h"

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

/// Port to the adviser.
class Adviser {
 public:
  using Callback = std::function<void(std::error_code, TicketGrant)>;

  virtual ~Adviser() = default;

  /// `done` runs once. Fails with PeerErrc, also if there is no answer within
  /// `time_limit`, or with CoreErrc::kNoOwner if the adviser is too busy.
  virtual void RequestTickets(const std::string& step,
                              const std::vector<std::string>& workers,
                              Millis time_limit,
                              Callback done) = 0;
};

struct TicketOptions {
  /// A ticket is not used if it expires within this time, or within a quarter
  /// of its validity if that is less.
  Millis expiry_margin{200};
  /// A call is overdue this long after the time by which the adviser was
  /// expected to answer. Doubles with each call that is overdue, up to
  /// `longest_patience`.
  Millis patience{1000};
  Millis longest_patience{8000};
  /// A call is abandoned after this time, or four times the expected time if
  /// that is longer. Doubles with each call that was abandoned since the last
  /// answer.
  Millis abandon_after{30'000};
  /// Pause after a call that failed. Doubles with each call that fails, up to
  /// `longest_pause`.
  Millis retry_pause{250};
  Millis longest_pause{2000};
  /// That a worker may not run a step is believed for this long.
  Millis refusal_kept{30'000};
};

struct TicketCounters {
  /// Calls sent, and of these the ones sent beside overdue calls.
  uint64_t sent = 0;
  uint64_t sent_beside_overdue = 0;
  /// Calls that were refused or got no answer.
  uint64_t failed = 0;
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
  /// or it is about to expire, see `TicketOptions::expiry_margin`.
  std::string Find(std::string_view step, std::string_view worker) const;
  /// Whether the step has a ticket that `Find` returns.
  bool HasTicket(std::string_view step) const;
  /// Whether a call may be sent now: there is an adviser, no call is open that
  /// is not overdue, and no pause is under way.
  bool IsIdle() const;
  const TicketCounters& counters() const { return counters_; }
  /// Requests tickets for some of the demand's candidates, see
  /// ChooseWorkersToName. Returns false, and does nothing, if `IsIdle` is false
  /// or all candidates were refused within `TicketOptions::refusal_kept`.
  bool Request(TicketDemand demand);
  /// Drops a ticket that the worker has refused.
  void Drop(std::string_view step, std::string_view worker);
  /// Drops what is known of the worker, also from calls that are open: another
  /// incarnation has its id now.
  void Forget(const std::string& worker);
  /// Drops what is known of a step that needs no more tickets.
  void ForgetStep(std::string_view step);
  /// As `ForgetStep`, for all steps whose names begin with `prefix`.
  void ForgetSteps(std::string_view prefix);
  /// Drops all tickets, and ignores the answers to open calls. These calls
  /// still occupy the adviser.
  void Clear();

 private:
  struct Answer {
    bool permitted = false;
    /// The ticket's token; empty: the worker was refused or the ticket dropped.
    std::string token;
    Instant expires_at{};
    Instant answered_at{};
  };
  struct Step {
    std::map<std::string, Answer, std::less<>> answers;
    /// Workers that answers have named, and permitted, for the first time.
    size_t named = 0;
    size_t permitted = 0;
  };
  struct Call {
    std::string step;
    std::vector<std::string> named;
    Instant sent{};
    /// The adviser's time for it, as the queue states it.
    Millis stated{0};
    Millis time_limit{0};
    /// Its answer is not used: its step was forgotten, or `Clear` was called.
    bool dropped = false;
    /// `Clear` was called since.
    bool cleared = false;
    /// Workers that were forgotten since.
    std::set<std::string> forgotten;
  };

  /// Sets `TicketCandidate::permission`, and removes the candidates that were
  /// refused within `TicketOptions::refusal_kept`.
  void SetPermissions(const Step& step, TicketDemand* demand) const;
  /// Time after which a call is overdue.
  Millis PatienceFor(Millis stated) const;
  void Send(Call call);
  void OnAnswer(uint64_t id, std::error_code error, const TicketGrant& grant);
  void OnFailure(const Call& call, std::error_code error);
  void ApplyGrant(const Call& call, const TicketGrant& grant);
  bool IsUsable(const Answer& answer) const;

  Executor& executor_;
  Adviser* const adviser_;
  EventLog& log_;
  const TicketOptions options_;
  const std::function<void()> on_change_;
  std::map<std::string, Step, std::less<>> steps_;
  PermittedShare permitted_share_;
  TicketCounters counters_;
  /// Open calls that may still be answered, by number.
  std::map<uint64_t, Call> calls_;
  /// No call is sent before. While calls are open: when the newest is overdue.
  Instant next_request_{};
  Instant last_answer_{};
  /// How many times as long as stated the adviser takes, at least 1.
  double slowdown_ = 1;
  /// Since the last answer: calls sent beside overdue ones, calls that failed,
  /// and of these the ones that were abandoned.
  int overdue_ = 0;
  int failures_ = 0;
  int abandoned_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_TICKET_BOOK_H_
