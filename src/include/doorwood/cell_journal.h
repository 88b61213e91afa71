// SPDX-License-Identifier: Apache-2.0

/// \file
/// Records of one cell in the store: group commits under the condition that
/// this process still leads, chained so that a late write can never undo a
/// newer one.
///
/// Each batch expects the lead key and the chain key at the revisions last
/// seen and puts the chain key with the next sequence number. A batch without
/// an answer is sent again unchanged: either it takes effect now, and then the
/// earlier one never will, or the chain key carries its number, and then the
/// earlier one did.

#ifndef DOORWOOD_CELL_JOURNAL_H_
#define DOORWOOD_CELL_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/job_plan.h"
#include "doorwood/live_directory.h"
#include "doorwood/record_store.h"

namespace doorwood {

/// "doorwood/cell/CELL/"
std::string CellPrefix(std::string_view cell);
std::string ChainKey(std::string_view cell);
std::string WorkersKey(std::string_view cell);
std::string PlanKey(std::string_view cell, std::string_view job);
std::string StateKey(std::string_view cell, std::string_view job);
/// Key that tells which cell has a job.
std::string JobIdKey(std::string_view job);

/// A worker that a cell's leader may have given orders to.
struct KnownWorker {
  std::string id;
  std::string address;
};

/// What lies under the chain key: the number of the newest batch.
std::string EncodeSequence(uint64_t sequence);
/// 0 if the text is not of that form.
uint64_t DecodeSequence(std::string_view text);

/// What lies under the workers' key. It stands apart from the chain, since it
/// is long and changes seldom.
std::string EncodeWorkers(const std::vector<KnownWorker>& workers);
std::vector<KnownWorker> DecodeWorkers(std::string_view text);

struct JournalOptions {
  /// How long changes that nobody waits for are gathered.
  Millis delay{80};
  Millis retry_pause{120};
  /// Longest wait of a caller for its job to be recorded.
  Millis patience{2000};
};

/// The cell, as the journal needs it.
class JournalOwner {
 public:
  virtual ~JournalOwner() = default;

  virtual std::string EncodeState(const std::string& job) = 0;
  /// Highest end that a worker has listed, of the workers with ends that are
  /// not recorded yet; all of what they changed is marked dirty.
  virtual std::map<std::string, uint64_t> ListedEnds() = 0;

  virtual void OnAccepted(const JobPlan& plan) = 0;
  virtual void OnStateRecorded(const std::string& job) = 0;
  virtual void OnEndsRecorded(const std::map<std::string, uint64_t>& ends) = 0;
  virtual void OnWorkersRecorded(const std::vector<KnownWorker>& workers) = 0;
  /// Another instance leads, or nobody.
  virtual void OnLeadLost(std::string_view reason) = 0;
};

enum class AcceptOutcome { kAccepted, kKnownAlready };

class CellJournal {
 public:
  /// Failure: CoreErrc::kStoreUnavailable (surely not accepted), kNoOwner (the
  /// lead is lost; surely not accepted) or kOutcomeUnknown.
  using AcceptCallback = std::function<void(std::error_code, AcceptOutcome)>;

  CellJournal(Executor& executor,
              RecordStore& store,
              EventLog& log,
              JournalOwner& owner,
              const JournalOptions& options,
              std::string cell);

  /// Begins with the lead key's revision, the chain key's, and the number under
  /// the chain key.
  void Open(int64_t lead_revision, int64_t chain_revision, uint64_t sequence);
  /// Answers all that wait; sends nothing more.
  void Close();

  void Accept(JobPlan plan, AcceptCallback done);
  void MarkDirty(const std::string& job, bool urgent);
  /// Replaces the workers under the workers' key.
  void SetWorkers(std::vector<KnownWorker> workers);
  /// Removes all keys of a job that is long over.
  void Forget(const std::string& job);

  /// The store does not take writes just now.
  bool refusing() const { return refusing_; }
  /// The job is being recorded; it may stand in the store already.
  bool IsRecording(std::string_view job) const;
  /// Every change is in the store.
  bool idle() const;
  uint64_t commits() const { return commits_; }

 private:
  struct PendingAccept {
    JobPlan plan;
    AcceptCallback done;
    Instant until{};
    bool answered = false;
  };
  struct Batch {
    uint64_t sequence = 0;
    /// Set where the batch records the workers.
    std::optional<std::vector<KnownWorker>> workers;
    std::vector<PendingAccept> accepts;
    std::vector<std::string> states;
    std::vector<std::string> forgotten;
    StoreTransaction transaction;
    /// An earlier sending was not answered.
    bool unanswered = false;
  };

  /// Ends that workers had listed at one moment, and the jobs that they changed
  /// whose new state is not recorded yet.
  struct EndsToRecord {
    std::map<std::string, uint64_t> ends;
    std::set<std::string> jobs;
  };

  void Wake(Millis delay);
  void Send();
  Batch Build();
  void AddAccepts(Batch* batch);
  void AddStates(Batch* batch);
  void AddForgotten(Batch* batch);
  void NoteRecorded(const std::vector<std::string>& jobs);
  void Submit();
  void OnAnswer(std::error_code error, const StoreCommit& commit);
  void OnConflict(const StoreCommit& commit);
  void OnRefused();
  void Succeed(int64_t revision);
  /// Puts everything of the batch back that is not answered.
  void TakeBack(Batch batch);
  void AnswerOverdue();
  static void Answer(PendingAccept* accept,
                     std::error_code error,
                     AcceptOutcome outcome);

  Executor& executor_;
  RecordStore& store_;
  EventLog& log_;
  JournalOwner& owner_;
  const JournalOptions options_;
  const std::string cell_;

  bool open_ = false;
  /// Rises with each opening, so that answers to earlier ones are dropped.
  uint64_t generation_ = 0;
  int64_t lead_revision_ = 0;
  int64_t chain_revision_ = 0;
  uint64_t sequence_ = 0;
  std::vector<KnownWorker> workers_;
  bool workers_changed_ = false;
  /// The next batch carries something even if nothing else changed.
  bool probing_ = false;
  std::deque<PendingAccept> accepts_;
  /// Jobs whose state is to be recorded, and the order in which they changed.
  std::set<std::string> dirty_;
  std::deque<std::string> dirty_order_;
  std::set<std::string> to_forget_;
  std::optional<EndsToRecord> ends_;
  std::optional<Batch> batch_;
  bool refusing_ = false;
  uint64_t commits_ = 0;
  Executor::TimerId timer_ = 0;
  Instant timer_at_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_JOURNAL_H_
