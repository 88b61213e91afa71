// SPDX-License-Identifier: Apache-2.0

/// \file
/// A simulated adviser in virtual time. It handles the calls of its caller one
/// at a time, in turn, and also those that the caller has given up.

#ifndef DOORWOOD_FAKES_SERIAL_ADVISER_H_
#define DOORWOOD_FAKES_SERIAL_ADVISER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "doorwood/ticket_book.h"
#include "fakes/fakes.h"

namespace doorwood::fakes {

class SerialAdviser : public Adviser {
 public:
  struct Behavior {
    /// The times that the queue states.
    AdvicePolicy policy{Millis(0), Millis(0), Millis(2000)};
    /// A decision takes this multiple of the stated times.
    double slowdown = 1;
    /// Calls neither arrive nor are answered.
    bool silent = false;
    /// Calls are refused as if too many were waiting.
    bool busy = false;
    /// Whether the worker may run the step; empty: each worker may.
    std::function<bool(const std::string& step, const std::string& worker)>
        permits;
  };

  /// Answers through `executor`, the caller's, and decides in `time`, also
  /// while the caller is frozen. `behavior` is shared with the test.
  SerialAdviser(VirtualTime& time,
                FakeExecutor& executor,
                std::shared_ptr<const Behavior> behavior)
      : time_(time), executor_(executor), behavior_(std::move(behavior)) {}

  void RequestTickets(const std::string& step,
                      const std::vector<std::string>& workers,
                      Millis time_limit,
                      Callback done) override;

  /// Whether the ticket is valid now for the step on the worker.
  bool IsValid(const std::string& token,
               const std::string& step,
               const std::string& worker) const;
  /// Calls that were answered with tickets, and workers that these named.
  int answered() const { return answered_; }
  size_t workers_named() const { return workers_named_; }
  /// Calls that arrived, also those that were refused or not answered.
  int received() const { return received_; }
  const std::vector<std::string>& last_named() const { return last_named_; }
  /// Steps of the answered calls, in this order.
  const std::vector<std::string>& answered_steps() const {
    return answered_steps_;
  }

 private:
  struct Call {
    std::string step;
    std::vector<std::string> workers;
    /// Runs once: with the answer, or when the time limit has elapsed.
    std::shared_ptr<Callback> done;
  };
  struct Issued {
    std::string step;
    std::string worker;
    Instant expires_at{};
  };

  void HandleNext();
  void Answer(const std::shared_ptr<Callback>& done,
              std::error_code error,
              const TicketGrant& grant);

  VirtualTime& time_;
  FakeExecutor& executor_;
  const std::shared_ptr<const Behavior> behavior_;
  std::deque<Call> waiting_;
  bool deciding_ = false;
  std::map<std::string, Issued> issued_;
  int received_ = 0;
  int answered_ = 0;
  size_t workers_named_ = 0;
  std::vector<std::string> last_named_;
  std::vector<std::string> answered_steps_;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_FAKES_SERIAL_ADVISER_H_
