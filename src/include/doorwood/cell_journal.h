// SPDX-License-Identifier: Apache-2.0

/// \file
/// Records of one cell in the store: group commits under the condition that
/// this process still leads, chained so that a late write can never undo a
/// newer one.
///
/// Batches go on lanes, each with a chain key of its own. A batch expects the
/// lead key and its lane's chain key at the revisions last seen and puts the
/// chain key with the next sequence number. A batch without an answer is sent
/// again unchanged: either it takes effect now, and then the earlier one never
/// will, or the chain key carries its number, and then the earlier one did.
///
/// Until a batch's outcome is known, no other lane carries a key of it. A store
/// that answers in milliseconds gets one batch at a time; one that answers
/// slowly, or loses answers, gets several (commit_flow.h).

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

#include "doorwood/commit_flow.h"
#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/job_plan.h"
#include "doorwood/live_directory.h"
#include "doorwood/record_store.h"

namespace doorwood {

/// "doorwood/cell/CELL/"
std::string CellPrefix(std::string_view cell);
/// The key of a lane's chain.
std::string ChainKey(std::string_view cell, size_t lane);
/// The lane whose chain key this is.
std::optional<size_t> LaneOfChainKey(std::string_view cell,
                                     std::string_view key);
std::string WorkersKey(std::string_view cell);
std::string PlanKey(std::string_view cell, std::string_view job);
std::string StateKey(std::string_view cell, std::string_view job);
/// Key that tells which cell has a job.
std::string JobIdKey(std::string_view job);

/// A worker that a cell's leader may have given orders to.
struct KnownWorker {
  std::string id;
  std::string address;
  /// For how long the leaders since the last one that heard it have led without
  /// hearing it. None of them prolonged anything there, so that a successor
  /// need not wait for this time once more. Where the last one that heard it
  /// recorded the silence itself: the time since its last promise there, and
  /// what a successor would wait for its orders after that.
  Millis unheard{0};
  /// All tasks that may run there, or whose end there is not recorded, until a
  /// newer record says otherwise: no leader starts anything else there before.
  /// Nothing: any task may.
  std::optional<std::vector<std::string>> tasks;
};

/// A chain key as it stands.
struct ChainLink {
  int64_t revision = 0;
  uint64_t sequence = 0;
};

/// What lies under a chain key: the number of its lane's newest batch, and
/// JournalOwner::PlacesHoldTo.
std::string EncodeSequence(uint64_t sequence, int64_t places_hold_to);
/// 0 if the text is not of that form.
uint64_t DecodeSequence(std::string_view text);
/// Whoever wrote this chain key starts nothing that `KnownWorker::runs`
/// excludes. Versions that knew of no such names wrote none of this.
bool KeepsToNames(std::string_view text);
/// JournalOwner::PlacesHoldTo of whoever wrote this chain key; 0: unknown.
int64_t DecodePlacesHoldTo(std::string_view text);

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
  CommitFlowOptions flow;
};

/// The cell, as the journal needs it.
class JournalOwner {
 public:
  virtual ~JournalOwner() = default;

  virtual std::string EncodeState(const std::string& job) = 0;
  /// The recorded places of lasting tasks hold, for instances that had
  /// registered in the store up to this revision; 0: for none.
  virtual int64_t PlacesHoldTo() = 0;
  /// Highest end that a worker has listed, of the workers with ends that are
  /// not recorded yet; all of what they changed is marked dirty.
  virtual std::map<std::string, uint64_t> ListedEnds() = 0;

  virtual void OnAccepted(const JobPlan& plan) = 0;
  /// The state stands as it was last encoded; a newer one may wait.
  virtual void OnStateWritten(const std::string& job) = 0;
  /// The newest state stands.
  virtual void OnStateRecorded(const std::string& job) = 0;
  virtual void OnEndsRecorded(const std::map<std::string, uint64_t>& ends) = 0;
  virtual void OnWorkersRecorded(const std::vector<KnownWorker>& workers) = 0;
  /// A batch that was sent then has met the lead key as it is expected.
  virtual void OnLeadShown(Instant sent) = 0;
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

  /// Begins with the lead key's revision and the chain keys that stand, by
  /// lane.
  void Open(int64_t lead_revision, const std::map<size_t, ChainLink>& chains);
  /// Answers all that wait; sends nothing more.
  void Close();

  /// Refused at once, as surely not accepted, where the store does not take
  /// batches, is silent, or would have the job later than callers wait for.
  void Accept(JobPlan plan, AcceptCallback done);
  void MarkDirty(const std::string& job, bool urgent);
  /// Replaces the workers under the workers' key.
  void SetWorkers(std::vector<KnownWorker> workers);
  /// For a leader that hands over: what waits now, new jobs and what somebody
  /// waits for, is still recorded; nothing that comes later is. Ends that are
  /// not recorded stay listed by their workers.
  void Seal();
  /// After `Seal`: all that was to be recorded is, and no batch is under way.
  bool settled() const;
  /// Sends a batch soon, also if there is nothing to record.
  void Touch();
  /// Removes all keys of a job that is long over.
  void Forget(const std::string& job);

  /// The job is being recorded; it may stand in the store already.
  bool IsRecording(std::string_view job) const;
  /// Every change is in the store.
  bool idle() const;
  uint64_t commits() const { return commits_; }
  /// Records that wait to be sent: new jobs and states.
  size_t waiting() const { return accepts_.size() + dirty_.size(); }
  const CommitFlow& flow() const { return flow_; }

 private:
  struct PendingAccept {
    JobPlan plan;
    AcceptCallback done;
    Instant until{};
    bool answered = false;
  };
  struct Batch {
    /// Counts all batches built, on any lane.
    uint64_t number = 0;
    /// Set where the batch records the workers.
    std::optional<std::vector<KnownWorker>> workers;
    std::vector<PendingAccept> accepts;
    std::vector<std::string> states;
    std::vector<std::string> forgotten;
    StoreTransaction transaction;
    Instant sent{};
    /// An earlier sending was not answered.
    bool unanswered = false;
  };
  struct Lane {
    /// Its key's revision in the store, and the number of the newest batch.
    ChainLink chain;
    std::optional<Batch> batch;
    /// The next batch goes even if it carries nothing: a sending of an earlier
    /// one may still be on its way, and ends with it.
    bool probing = false;
  };

  /// Ends that workers had listed at one moment, and the jobs that they changed
  /// whose new state is not recorded yet, each with the number of the first
  /// batch that has that state.
  struct EndsToRecord {
    std::map<std::string, uint64_t> ends;
    std::map<std::string, uint64_t> jobs;
  };

  void Wake(Millis delay);
  void Send();
  std::optional<size_t> LaneToSend() const;
  bool HasSomethingToSend() const;
  bool HasLastUrgent() const;
  /// Nothing if there is only what other lanes carry already.
  std::optional<Batch> Build(size_t lane);
  void NoteEnds();
  void AddWorkers(Batch* batch);
  void AddUrgent(Batch* batch);
  void AddAccepts(Batch* batch);
  void AddStates(Batch* batch);
  void AddState(const std::string& job, Batch* batch);
  void AddForgotten(Batch* batch);
  void NoteRecorded(const Batch& batch);
  void Submit(size_t lane);
  void OnAnswer(size_t lane, std::error_code error, const StoreCommit& commit);
  void OnUnanswered(size_t lane);
  void OnConflict(size_t lane, const StoreCommit& commit);
  void OnRefused(size_t lane);
  void Succeed(size_t lane, int64_t revision);
  /// Takes a batch whose outcome is known off its lane.
  Batch Settle(size_t lane);
  /// Puts everything of the batch back that is not answered.
  void TakeBack(Batch batch);
  void AnswerOverdue();
  void RefuseWaiting();
  void Refuse(PendingAccept* accept);
  /// A lane carries the job: it may take effect yet.
  bool IsUnderWay(std::string_view job) const;
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
  std::vector<Lane> lanes_;
  CommitFlow flow_;
  uint64_t batches_ = 0;
  std::vector<KnownWorker> workers_;
  bool workers_changed_ = false;
  /// A lane carries the workers.
  bool workers_under_way_ = false;
  /// The next batch goes even if it carries nothing, to hear whether the store
  /// takes batches again.
  bool probing_ = false;
  std::deque<PendingAccept> accepts_;
  /// Jobs whose state is to be recorded, and the order in which they changed.
  std::set<std::string> dirty_;
  std::deque<std::string> dirty_order_;
  /// Those of them that somebody waits for.
  std::set<std::string> urgent_;
  /// Once sealed: those of them that are still to be recorded.
  std::optional<std::set<std::string>> last_urgent_;
  /// Jobs that a lane carries a key of.
  std::set<std::string> under_way_;
  std::set<std::string> to_forget_;
  std::optional<EndsToRecord> ends_;
  /// The newest answer says that the store does not take batches.
  bool refusing_ = false;
  Instant last_success_{};
  uint64_t commits_ = 0;
  Executor::TimerId timer_ = 0;
  Instant timer_at_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_JOURNAL_H_
