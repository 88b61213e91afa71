// SPDX-License-Identifier: Apache-2.0

/// \file
/// From any entry instance to the cell that has a job, or that a new job
/// should go to.

#ifndef DOORWOOD_INGRESS_H_
#define DOORWOOD_INGRESS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "doorwood/cell_leader.h"
#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/live_directory.h"
#include "doorwood/record_store.h"

namespace doorwood {

/// Calls between entry instances about a cell. They finish on the control
/// thread, exactly once, with a PeerErrc if the peer was not heard, and with
/// the peer's CoreErrc otherwise.
class CellPeers {
 public:
  using SubmitCallback = std::function<void(std::error_code, AcceptOutcome)>;
  using CancelCallback = std::function<void(std::error_code)>;
  using StateCallback = std::function<void(std::error_code, JobPhase)>;
  using SummaryCallback = std::function<void(std::error_code, CellSummary)>;

  virtual ~CellPeers() = default;

  virtual void Submit(const CellLead& lead,
                      const JobPlan& plan,
                      SubmitCallback done) = 0;
  virtual void Cancel(const CellLead& lead,
                      const std::string& job,
                      CancelCallback done) = 0;
  virtual void State(const CellLead& lead,
                     const std::string& job,
                     StateCallback done) = 0;
  virtual void Summary(const CellLead& lead, SummaryCallback done) = 0;
};

struct IngressOptions {
  /// How often other cells' leaders are asked how they are.
  Millis summary_interval{600};
  /// Other cells get a job only if they have this much less work a processor
  /// waiting, in seconds.
  double home_bonus = 0.8;
  /// A leader that has not answered for so long, since it was first asked, gets
  /// nothing from here: callers are refused at once and go to an instance that
  /// reaches it. Two asks and an answer's time.
  Millis leader_silence{1500};
  /// Jobs whose cell is remembered.
  size_t remembered_jobs = 20'000;
};

class Ingress {
 public:
  using SubmitCallback = CellPeers::SubmitCallback;
  using CancelCallback = CellPeers::CancelCallback;
  using StateCallback = CellPeers::StateCallback;

  Ingress(Executor& executor,
          RecordStore& store,
          CellPeers& peers,
          LiveDirectory& live,
          EventLog& log,
          std::vector<CellLeader*> local,
          const IngressOptions& options);

  void Start();

  /// Failure: CoreErrc::kNoOwner or kStoreUnavailable (surely not taken) or
  /// kOutcomeUnknown (the same job may come again).
  void Submit(JobPlan plan, SubmitCallback done);
  /// Failure: CoreErrc::kNotFound only if the store has no such job.
  void Cancel(const std::string& job, CancelCallback done);
  void State(const std::string& job, StateCallback done);
  /// Jobs of a queue none of whose tasks has begun, in all cells.
  int Pending(const std::string& queue) const;
  /// Some cell has a leader that this instance reaches.
  bool ReachesACell() const;

 private:
  struct KnownCell {
    CellSummary summary;
    /// Work sent there since the summary, in core-seconds.
    double sent_since = 0;
    /// The lead that was asked last, since when, and when it last answered.
    int64_t asked_epoch = 0;
    Instant asked_since{};
    Instant heard_at{};
  };
  using CellCallback = std::function<void(std::error_code, std::string)>;

  CellLeader* Local(const std::string& cell) const;
  /// Another instance that leads the cell and answers; null: there is none.
  const CellLead* ReachedLead(const std::string& cell) const;
  void OnSummary(const std::string& cell, const CellSummary& summary);
  std::vector<std::string> CellsByLoad() const;
  double Load(const std::string& cell) const;
  void TrySubmit(std::shared_ptr<JobPlan> plan,
                 std::vector<std::string> cells,
                 SubmitCallback done);
  void SubmitTo(const std::string& cell,
                const JobPlan& plan,
                SubmitCallback done);
  /// The only leader there is, where this instance does not know the job's
  /// cell: it most likely has the job, and answers while the store is slow or
  /// away. Null: look the cell up.
  const CellLead* LeadToAskFirst(const std::string& job) const;
  void CancelWhereRecorded(const std::string& job, CancelCallback done);
  void StateWhereRecorded(const std::string& job, StateCallback done);
  /// What a leader's answer to a cancel means where the store has the job.
  static std::error_code CancelResult(std::error_code error);
  /// The cell that has the job; CoreErrc::kNotFound if the store says that
  /// there is none.
  void FindCell(const std::string& job, CellCallback done);
  void Remember(const std::string& job, const std::string& cell);
  void PollSummaries();

  Executor& executor_;
  RecordStore& store_;
  CellPeers& peers_;
  LiveDirectory& live_;
  EventLog& log_;
  const std::vector<CellLeader*> local_;
  const IngressOptions options_;
  std::map<std::string, KnownCell> cells_;
  std::unordered_map<std::string, std::string> cell_of_job_;
  std::deque<std::string> remembered_;
};

}  // namespace doorwood

#endif  // DOORWOOD_INGRESS_H_
