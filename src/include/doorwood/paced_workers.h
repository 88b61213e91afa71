// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls to workers at the rate that the network link of this machine bears.
///
/// Answers that queue on a full link arrive after the time limits of their
/// calls. A leader then learns of no end, loses runs that are at work, and
/// cannot renew its lease in the store, which shares the link. Calls therefore
/// wait in this process, where their time limits have not begun.

#ifndef DOORWOOD_PACED_WORKERS_H_
#define DOORWOOD_PACED_WORKERS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

#include "doorwood/executor.h"
#include "doorwood/link_load.h"
#include "doorwood/run_worker.h"

namespace doorwood {

struct WorkerPacingOptions {
  /// Calls wait while the link needs longer than this for what is queued on it.
  /// The rest of a call's time limit, 600 ms for orders, is left for the
  /// worker and for calls that do not wait.
  Millis max_queue_time{60};
  /// A start that has waited for this long is not sent.
  Millis max_start_wait{500};
};

/// Passes calls on in the order of their arrival, orders and polls by turns
/// while both are waiting. A poll that extends leases thus waits for at most as
/// many orders as there are polls before it.
class PacedWorkers : public RunWorkerClient {
 public:
  PacedWorkers(Executor& executor,
               RunWorkerClient& workers,
               LinkLoad& link,
               const WorkerPacingOptions& options);
  ~PacedWorkers() override;

  void Poll(const WorkerIncarnation& worker,
            const PollOrder& order,
            Callback<WorkerReport> done) override;
  void Start(const WorkerIncarnation& worker,
             const StartOrder& order,
             Callback<int64_t> done) override;
  void Stop(const WorkerIncarnation& worker,
            const StopOrder& order,
            Callback<int64_t> done) override;
  void Pace(const WorkerIncarnation& worker,
            const PaceOrder& order,
            Callback<int64_t> done) override;
  Millis OrderDelay() const override;
  double link_rate() const override { return link_.bytes_per_second(); }

  /// Number of calls that are waiting.
  size_t waiting() const { return orders_.size() + polls_.size(); }
  /// Starts that were not sent because they had waited for too long.
  uint64_t starts_not_sent() const { return starts_not_sent_; }

 private:
  struct WaitingCall {
    Instant since{};
    size_t request_bytes = 0;
    size_t reply_bytes = 0;
    std::function<void()> send;
    /// Set if the call is not to be sent after `max_start_wait`.
    std::function<void()> give_up;
  };

  void Enqueue(std::deque<WaitingCall>* queue, WaitingCall call);
  void SendWaiting();
  /// Ends starts that have waited for too long.
  void GiveUpLateStarts();
  void SendFirst(std::deque<WaitingCall>* queue);
  void OnReport(size_t expected_bytes, const WorkerReport& report);

  Executor& executor_;
  RunWorkerClient& workers_;
  LinkLoad& link_;
  const WorkerPacingOptions options_;
  std::deque<WaitingCall> orders_;
  std::deque<WaitingCall> polls_;
  /// Bytes of the calls in `orders_`, in the direction that has more of them.
  size_t waiting_order_bytes_ = 0;
  bool poll_was_sent_last_ = false;
  /// Moving average of the size of a report.
  double mean_report_bytes_;
  uint64_t starts_not_sent_ = 0;
  Executor::TimerId timer_ = 0;
  /// Expires with this object; answers of calls in flight check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace doorwood

#endif  // DOORWOOD_PACED_WORKERS_H_
