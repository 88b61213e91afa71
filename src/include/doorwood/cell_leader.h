// SPDX-License-Identifier: Apache-2.0

/// \file
/// One cell: a slice of a data centre's workers and the jobs that run there.
/// While this process holds the cell's lead key, it accepts jobs, gives orders
/// to the cell's workers and records what must last; otherwise it stands by.

#ifndef DOORWOOD_CELL_LEADER_H_
#define DOORWOOD_CELL_LEADER_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/cell_journal.h"
#include "doorwood/cell_options.h"
#include "doorwood/cell_policy.h"
#include "doorwood/crash_guard.h"
#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/job_table.h"
#include "doorwood/lead_proof.h"
#include "doorwood/live_directory.h"
#include "doorwood/machine_platform.h"
#include "doorwood/pacing.h"
#include "doorwood/place_search.h"
#include "doorwood/queue_table.h"
#include "doorwood/record_store.h"
#include "doorwood/refused_entries.h"
#include "doorwood/run_worker.h"
#include "doorwood/ticket_book.h"
#include "doorwood/wave_keeper.h"
#include "doorwood/worker_session.h"

namespace doorwood {

enum class JobPhase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

std::string_view ToString(JobPhase state);

/// What a leader tells about its cell.
struct CellSummary {
  std::string cell;
  int64_t epoch = 0;
  /// Jobs none of whose tasks has begun, by queue.
  std::map<std::string, int> pending;
  /// Work that waits, in core-seconds, and processors in the cell.
  double waiting_work = 0;
  double cores = 0;
};

class CellLeader : public WorkerSessionListener,
                   public JournalOwner,
                   public LeadProofListener,
                   public WaveHost {
 public:
  using SubmitCallback = CellJournal::AcceptCallback;
  /// CoreErrc::kNotFound: no such job here.
  using CancelCallback = std::function<void(std::error_code)>;

  /// `adviser` may be null; then queues that need advice start nothing.
  /// `machines` may be null; then no machine is taken down for upkeep.
  CellLeader(Executor& executor,
             RecordStore& store,
             WorkerDirectory& directory,
             RunWorkers& workers,
             Adviser* adviser,
             MachinePlatform* machines,
             LiveDirectory& live,
             EventLog& log,
             std::function<int64_t()> unix_millis,
             const CellOptions& options);
  ~CellLeader() override;

  void Start();
  /// Records what is open, gives the lead up, then runs `done`.
  void Leave(std::function<void()> done);

  void OnQueueTable(std::shared_ptr<const QueueTable> table);
  /// Instances, leads or the own lease changed.
  void OnLiveChange();
  /// The leader of that epoch has given the lead up, but can't remove its key.
  void OnHandedOver(int64_t epoch);

  bool leading() const { return stage_ == Stage::kLeading; }
  /// How long ago this instance heard the store: asked by a leader that does
  /// not hear it and goes on only while nobody can follow it. Nothing: this
  /// instance does not hear the store, but leads or tries to, so it must not be
  /// taken for one that can't.
  std::optional<Millis> StoreHeardAgo(Instant now) const;
  /// Agrees that a leader which does not hear the store starts lasting work
  /// without recording where; false: this instance hears the store, leads or
  /// tries to.
  bool AgreeToUnrecordedStarts();
  int64_t epoch() const { return epoch_; }
  const std::string& cell() const { return options_.cell; }

  void Submit(JobPlan plan, SubmitCallback done);
  /// Stops a job; `done` runs once that is recorded.
  void Cancel(const std::string& job, CancelCallback done);
  std::optional<JobPhase> Find(const std::string& job) const;
  /// As of the last tick that renewed it.
  const CellSummary& Summary() const { return summary_; }
  const CellCounters& counters() const { return counters_; }
  const CellJournal& journal() const { return journal_; }
  const LeadProof& proof() const { return proof_; }

  // WorkerSessionListener
  void OnRunEnded(WorkerSession& session,
                  const Run& run,
                  RunEnd end,
                  bool told_by_worker) override;
  void OnWorkerLost(WorkerSession& session) override;
  void OnLookFailed(WorkerSession& session) override;
  void OnAnswersAgain(WorkerSession& session) override;
  void OnUnknownEnd(WorkerSession& session, const EndedRun& end) override;
  std::optional<Run> OnUnknownRun(WorkerSession& session,
                                  const ActiveRun& run) override;
  void OnStartRefused(WorkerSession& session,
                      const Run& run,
                      std::error_code error) override;
  void OnReport(WorkerSession& session) override;
  void OnFenced(WorkerSession& session) override;

  // JournalOwner
  std::string EncodeState(const std::string& job) override;
  int64_t PlacesHoldTo() override;
  std::map<std::string, uint64_t> ListedEnds() override;
  void OnAccepted(const JobPlan& plan) override;
  void OnStateWritten(const std::string& job) override;
  void OnStateRecorded(const std::string& job) override;
  void OnEndsRecorded(const std::map<std::string, uint64_t>& ends) override;
  void OnWorkersRecorded(const std::vector<KnownWorker>& workers) override;
  void OnLeadShown(Instant sent) override;
  void OnLeadLost(std::string_view reason) override;

  // LeadProofListener
  void OnLeadProved() override;
  void OnLeadDisproved(std::string_view reason) override;

  // WaveHost
  Occupancy EmptyWorker(const std::string& worker) override;

 private:
  enum class Stage { kStandby, kCampaigning, kReading, kLeading, kLeft };
  /// In no version of its session.
  static constexpr uint64_t kNeverNoted = std::numeric_limits<uint64_t>::max();

  struct Member {
    std::shared_ptr<WorkerSession> session;
    /// As it was last given to the journal for the workers' key; no address: in
    /// none yet.
    KnownWorker noted;
    /// Its address in the workers' key, as the store has it; nothing: the key
    /// doesn't name it.
    std::optional<std::string> recorded_at;
    /// The directory lists it; if not, since when.
    bool listed = false;
    Instant unlisted_since{};
    /// Its entry is another writer's: nothing new goes there, and what runs
    /// there goes on.
    bool doubted = false;
    /// Emptied for its machine's upkeep until then; renewed while that goes on.
    Instant emptied_until{};
    /// A successor has to account for what runs there before it starts
    /// anything that may run there.
    bool from_takeover = false;
    /// How long earlier leaders had waited for it unheard.
    Millis unheard_before{0};
    /// All that may run there by the record of an earlier leader; nothing: any
    /// task may.
    std::optional<std::vector<std::string>> tasks_before;
    /// The record may say that it is unheard: nothing is prolonged there before
    /// it says otherwise, since a successor counts on that.
    bool told_unheard = false;
    /// In `noted` it was one that gets nothing new, and what may run there was
    /// as of that version of the session.
    bool noted_closed = false;
    uint64_t noted_version = kNeverNoted;
    /// The record may name all that runs there: nothing is started there before
    /// it says otherwise, since a successor counts on that.
    bool told_tasks = false;
    /// It proved to be over, and crashes noted untold there were confirmed.
    bool death_noted = false;
    /// It is heard, and that is about to be recorded.
    bool heard_recorded = false;
    /// After a refusal it gets nothing new until then.
    Instant rests_until{};
    /// What placement was told last, of which version and when.
    WorkerRoom room;
    uint64_t room_version = 0;
    Instant room_at{};
  };
  /// The task's name, and what is noted.
  using CrashOfRun = std::pair<std::string, CrashNote>;
  struct CancelWait {
    CancelCallback done;
    Instant until{};
  };
  /// Steps with tasks to start, most urgent first.
  struct ReadyStep {
    StepRank rank;
    Job* job = nullptr;
    int time = 0;
    int step = 0;
  };

  // cell_campaign.cpp: becoming the leader; cell_leader.cpp: leading and giving
  // it up; cell_members.cpp: its workers; cell_calls.cpp: callers
  void ScheduleCampaign();
  void Campaign();
  /// When this instance may try for the lead that nobody has.
  Instant CampaignTurn() const;
  bool MayCampaign() const;
  bool IsOfCell(std::string_view data_centre) const;
  void OnWon(int64_t epoch);
  void ReadRecords();
  void Restore(const StoreItems& items);
  /// Returns how many are open.
  int RestoreJobs(const StoreItems& items);
  /// `newest`: the chain key of the newest batch; null: there is none.
  std::map<size_t, ChainLink> ReadChains(const StoreItems& items,
                                         const StoreItem** newest) const;
  std::vector<KnownWorker> ReadKnownWorkers(const StoreItems& items) const;
  /// How long ago the store held that record at the least.
  Millis AgeOfRecord(int64_t revision) const;
  void StepDown(std::string_view reason);
  /// Starts nothing more and takes no calls: it hands over.
  bool IsHandingOver() const;
  void GiveUpKey();
  void Resign(const LiveInstance& successor);
  void ReadWorkers();
  void ReadClosed();
  void OnClosed(std::set<std::string> closed);
  bool IsClosed(const Member& member) const;
  /// Every worker of the queue's service is in a closed data centre.
  bool IsClosedEverywhere(const std::string& queue) const;
  void OnWorkers(std::vector<WorkerLife> lives);
  /// Takes over what a known worker's entry says, if it may be its own.
  void TakeEntry(const WorkerLife& life, Member* member);
  /// A worker that is not known yet may be taken in.
  bool MayJoin(const WorkerLife& life);
  bool IsNamedService(const std::string& service) const;
  /// Drops from `over_` what is no longer listed.
  void ForgetOver(const std::vector<WorkerLife>& lives);
  void NoteUnlisted();
  void AddMember(const WorkerLife& life, bool from_takeover);
  void DropMembers();
  // cell_member_records.cpp: what is recorded of workers
  /// The workers' key names the worker as it is called, so it may be given
  /// work.
  static bool IsRecorded(const Member& member);
  /// Nothing of this leader has reached it, nor will before it is heard.
  bool IsUnheard(const Member& member) const;
  /// It was heard, and has been silent for most of its runs' lease.
  bool IsLongSilent(const Member& member) const;
  /// For how long nobody has prolonged anything there; zero: it is heard.
  Millis UnheardFor(const Member& member) const;
  Millis LedFor() const;
  void RecordUnheard();
  std::vector<KnownWorker> DescribeMembers() const;
  void RecordMembers();
  /// All that may run there, or has ended there unrecorded; nothing: any task
  /// may run there, or will be started there.
  std::optional<std::vector<std::string>> TasksToRecord(
      const Member& member) const;
  /// It leaves, has left, was never heard, or has been silent for a while. One
  /// that has left goes on getting nothing until it is listed again. Not of one
  /// that is unheard since a takeover.
  bool GetsNothingNew(const Member& member) const;
  bool HasNewsToRecord(const Member& member) const;
  /// Records what has changed of workers that get nothing new.
  void RecordTasks();
  /// Until when orders may be given and leases prolonged.
  Instant OrdersUntil() const;
  /// Moves `orders_until_` on, with the key or with other instances' word that
  /// nobody can lead. That word counts only until that moment: once it has
  /// passed, somebody may have led, and only the key tells.
  void RenewOrders();
  bool MayOrder() const;
  /// The key was seen to stand lately.
  bool IsSure() const;
  /// Tells the worker's session until when it may prolong leases, and until
  /// when this instance surely led.
  void TellSession(const Member& member, Instant orders_until) const;
  Millis WatchingWait() const;
  void Tick();
  void ForgetOldJobs();
  void AnswerCancels();
  bool HasRoomToLast(const JobPlan& plan);
  CellSummary Summarize() const;
  LastingRoom& LastingRoomOf(const std::string& service);
  /// What other work asks of each service beside lasting work.
  void ObserveLoads();

  // cell_takeover.cpp: what earlier leaders may have left running
  void CheckTakeover();
  /// Lets tasks go that no worker which is waited for may run.
  void ReleaseTasks();
  /// For how long after the last order of an earlier leader a run may go on.
  Millis LongestPromise() const;
  /// A worker of an earlier leader has answered, and not listed all its ends.
  bool HasMoreToTell(const Member& member) const;
  /// For how long yet an unheard worker may run what an earlier leader ordered.
  Millis WaitLeft(const Member& member) const;
  /// Workers that are waited for, and what may run there.
  struct UnheardWorkers {
    std::set<std::string_view> workers;
    /// Some of them may run anything.
    bool any_task = false;
    std::set<std::string> tasks;
  };
  UnheardWorkers FindUnheard() const;
  static void AddUnheard(std::string_view worker,
                         const Member& member,
                         UnheardWorkers* unheard);
  /// One of them may run the task, or has ended it unheard.
  bool MayBeThere(const Task& task, const UnheardWorkers& unheard) const;
  /// A worker that is waited for may run the task, or has ended it unheard.
  bool MayRunUnheard(const Task& task) const;
  /// Logs for whom it is waited.
  void TellWait();

  // cell_ends.cpp: what becomes of runs
  void CountEnd(Task* task,
                const WorkerSession& session,
                uint32_t run,
                RunEnd end,
                const std::string& checkpoint);
  /// Counts the end of a run that this leader did not know, or had given up.
  void CountLateEnd(RunEnd end);
  /// Logs what is known of a run whose worker did not tell its end.
  void TellLost(const WorkerSession& session, const Run& run) const;
  void LearnRunTime(Task* task, const Run& run);
  /// What a task of each step is expected to take.
  std::vector<Millis> ExpectRunTimes(const Job& job, int time) const;
  void OnJobOver(Job* job);
  void StopRunsOf(const Job& job);
  void StopRunsOfTask(const std::string& task);
  /// What still runs of a task that is done; of a gang, of all its tasks.
  void StopRunsOfDone(const Task& task);
  int MaxAttempts(const Job& job) const;
  /// Number of the run of the task that a worker has, as far as is known.
  std::optional<uint32_t> NumberOfPlacedRun(const std::string& task) const;
  /// The queue as configured, or as it last was; null: never heard of.
  const Queue* QueueOf(const Job& job) const;
  void MarkDirty(Job* job, bool urgent);

  // cell_crashes.cpp: workers that go down, and what is noted of tasks there
  static std::string MachineOf(const WorkerLife& life);
  /// How it is known that the worker crashed; nothing: it did not, or its
  /// machine was to go down.
  std::optional<CrashEvidence> EvidenceOfCrash(
      const WorkerSession& session) const;
  /// Runs of open jobs that had begun there.
  std::vector<const Run*> RunsAtCrash(const WorkerSession& session);
  std::vector<CrashOfRun> BlameRuns(const WorkerSession& session,
                                    CrashEvidence evidence);
  /// Takes back what was noted untold of the runs there.
  void DropUntold(const WorkerSession& session);
  void NoteDeaths();
  void ConfirmUntold(const std::string& worker);
  /// Notes a crash of what may have been on a worker that went down before this
  /// leader heard it.
  void NoteUnheardDeath(const std::string& worker, const Member& member);
  /// Tasks that may have been on a worker that this leader never heard.
  std::vector<Task*> FindTasksUnheardOn(const std::string& worker,
                                        const Member& member);
  /// Counts the crash; true: it is one of many at a time. Then notes of the
  /// earlier ones are changed as well.
  bool JoinWave(const std::vector<CrashOfRun>& notes);
  void MarkOneOfMany(const std::string& name, uint32_t run);
  void TellCrash(const WorkerSession& session,
                 const std::vector<CrashOfRun>& notes,
                 bool many) const;
  void NoteCrash(Task* task, const CrashNote& crash);
  void GiveUp(Task* task);
  /// 0 to 1.
  double Jitter();
  // cell_suspects.cpp: trials of tasks that may take their workers down
  static bool IsSuspect(const Task& task);
  /// Something there was not seen at work yet.
  bool HasNewRuns(const WorkerSession& session) const;
  static int LossOn(const WorkerSession& session);
  int CountWorkersOf(std::string_view service) const;
  int ChooseForTrial(const Task& task,
                     const StepPlaces& places,
                     const std::vector<WorkerRoom*>& rooms) const;
  /// An earlier leader may have started it since it recorded the last crash.
  static bool MayHaveCrashedUntold(const Task& task);
  /// Notes a start of an earlier leader that nobody told of; false: there is
  /// none to be noted.
  bool NoteUntold(Task* task);
  /// Has it recorded that the task is tried there next; false: the start has to
  /// wait for that.
  bool RecordTrial(Task* task, const WorkerLife& life);
  /// The place where the suspect may be started now; nothing: it waits. `rooms`
  /// are those that `places` judges.
  std::optional<int> PlaceSuspect(const ReadyStep& ready,
                                  Task* task,
                                  const TaskNeed& need,
                                  const std::vector<WorkerRoom*>& rooms,
                                  StepPlaces* places);
  /// Closes workers with new runs to a gang with a suspect; false: it waits.
  bool KeepNewRunsApart(std::vector<Task>* gang,
                        std::vector<WorkerRoom>* rooms);
  void BeginTrial(const Task& task,
                  const std::shared_ptr<WorkerSession>& session);
  /// Asks the worker once what is new there now was at work for so long.
  void LookLater(const std::shared_ptr<WorkerSession>& session, Millis at_work);
  void FollowTrials();
  void ClearCrashes(Task* task);
  void OnCrashesRecorded(Job* job);

  // cell_lasting_places.cpp: on which worker a lasting task may run
  /// Has it recorded; false: the start has to wait for that.
  bool ClaimPlace(Task* task, const std::string& worker);
  /// Has it recorded of a run that goes on.
  void NotePlace(Task* task, const std::string& worker);
  /// Starts may go unrecorded: the store is away for all, and they agreed.
  bool MayStartUnrecorded() const;
  void ReleaseStarts();
  /// Nothing that would speak against a start there has happened since the
  /// worker was chosen.
  bool MayReleaseTo(const Member& member) const;
  /// All lasting tasks run where the store says so, as far as can be known.
  bool KnowsPlaces() const;
  /// Lets instances that have registered lately rely on recorded places.
  void TellPlacesHold();

  // cell_overdue.cpp: runs that take far longer than expected
  void TellOverdue();
  void TellOverdueAt(WorkerSession& session, int* lines);
  bool IsOverdue(const Run& run, Millis* expected) const;

  // cell_scheduling.cpp: starting and moving; cell_places.cpp: room, and how
  // places are judged; cell_pacing.cpp: pacing
  void WakeScheduler();
  void Schedule();
  std::vector<ReadyStep> CollectReady();
  void RankReady(std::vector<ReadyStep>* ready) const;
  /// Tasks that are ready for the first time begin to wait.
  void NoteReadySince(const std::vector<ReadyStep>& ready);
  /// What placement sees of each worker, brought up to date.
  std::vector<WorkerRoom*> CollectRooms();
  /// Work that is meant for it may be ordered there.
  bool IsServing(const Member& member) const;
  /// It may be given work, but for a trial that it is kept for.
  bool IsOpen(const std::string& id, const Member& member) const;
  void RefreshRoom(const std::string& id, Member* member);
  bool IsReady(const Task& task) const;
  bool MayBeAtLastAttempt(const Task& task) const;
  void PlaceStep(const ReadyStep& ready, const std::vector<WorkerRoom*>& rooms);
  void PlaceGang(const ReadyStep& ready, const std::vector<WorkerRoom*>& rooms);
  /// Judges a worker for a step, with `planned` tasks of it placed there but
  /// not ordered yet.
  void JudgePlace(const ReadyStep& ready,
                  const TaskNeed& need,
                  const WorkerRoom& room,
                  size_t place,
                  int planned,
                  StepPlaces* places) const;
  /// Judges all that have changed after a pass.
  void JudgeChanged(const ReadyStep& ready,
                    const TaskNeed& need,
                    const std::vector<WorkerRoom*>& rooms,
                    uint64_t pass,
                    StepPlaces* places) const;
  /// Counts a step that found no place, and whether to say so now.
  bool IsTimeToTell(const ReadyStep& ready);
  void TellWaiting(const Task& task,
                   const StepRank& rank,
                   const ProblemCounts& problems);
  void StartTask(Task* task,
                 uint32_t run,
                 WorkerRoom* room,
                 const std::string& ticket);
  /// Closes, on a copy, the rooms that the step has no ticket for, and asks
  /// for more.
  std::vector<WorkerRoom> PermittedRooms(const ReadyStep& ready,
                                         const std::vector<WorkerRoom*>& rooms);
  void PaceWorker(WorkerSession& session);
  void MoveStuckFills(WorkerSession& session);
  std::vector<ServingStrain> CollectStrains(const WorkerSession& session) const;
  // cell_evacuation.cpp: workers that leave or are emptied
  void EvacuateLeaving();
  void EvacuateDraining(const std::string& id, const Member& member);
  void EvacuateUnlisted(const std::string& id, const Member& member);
  void StopToLeave(const std::string& id,
                   const std::shared_ptr<WorkerSession>& session,
                   const std::vector<std::string>& tasks,
                   std::string_view cause);
  bool MayTakeAway(const Task& task) const;
  std::string RackOfStep(const Job& job, int time, int step) const;

  Executor& executor_;
  RecordStore& store_;
  WorkerDirectory& directory_;
  RunWorkers& workers_;
  LiveDirectory& live_;
  EventLog& log_;
  const std::function<int64_t()> unix_millis_;
  const CellOptions options_;

  Stage stage_ = Stage::kStandby;
  /// Rises with each change of stage; answers to calls of an earlier one are
  /// dropped.
  uint64_t generation_ = 0;
  int64_t epoch_ = 0;
  /// Written with the lead key, to know an unanswered win by: drawn once for
  /// the life of the process.
  const uint64_t nonce_;
  Instant led_since_{};
  /// When it was last logged for whom it is waited.
  Instant wait_told_{};
  /// When it was last recorded for how long workers are unheard.
  Instant unheard_recorded_{};
  /// Not before then is it recorded again what may run on workers that get
  /// nothing new.
  Instant next_tasks_record_{};
  Instant last_tick_{};
  /// See `OrdersUntil`, which also heeds that this process stood still.
  Instant orders_until_{};
  /// The process stood still: its lead must be confirmed before it orders.
  bool unsure_after_pause_ = false;
  /// Since when this instance might try for a lead that nobody has; zero: it
  /// may not, or somebody has it.
  Instant vacant_since_{};
  Executor::TimerId campaign_timer_ = 0;
  bool reading_workers_ = false;
  Instant workers_read_{};
  bool reading_closed_ = false;
  /// When it was last read which data centres are closed, in this term as
  /// leader; zero: not yet, and nothing is started.
  Instant closed_read_{};
  std::set<std::string> closed_;
  /// Told to other instances; renewed by ticks.
  CellSummary summary_;
  Instant summarized_{};
  /// When old jobs were last looked for.
  Instant forgot_{};
  /// When runs that take far too long were last looked for.
  Instant overdue_looked_{};
  Executor::TimerId tick_timer_ = 0;
  bool schedule_posted_ = false;
  /// No pass before then: passes may take only a part of the processor.
  Instant next_pass_{};
  std::function<void()> on_left_;
  /// Since when it is to hand over; zero: it isn't.
  Instant leaving_since_{};

  std::shared_ptr<const QueueTable> table_;
  /// Every queue heard of, so that jobs of a removed one still finish.
  std::map<std::string, Queue> known_queues_;
  JobTable jobs_;
  CellJournal journal_;
  LeadProof proof_;
  WorkerTrust trust_;
  /// The recorded places of lasting tasks held for this instance when it took
  /// the lead; and up to when instances have registered that may rely on them.
  bool places_held_ = false;
  int64_t places_hold_to_ = 0;
  /// Lasting tasks that run where the store does not say so, and those whose
  /// start waits until it does.
  std::set<std::string> unrecorded_places_;
  std::set<std::string> held_starts_;
  CrashTrials trials_;
  CrashWave wave_;
  InterferenceModel interference_;
  RunTimeModel run_times_;
  HopelessFits hopeless_;
  std::map<std::string, LastingRoom> lasting_rooms_;
  /// Counts scheduling passes.
  uint64_t pass_ = 0;
  /// Steps of this pass that found no place; more urgent ones count first.
  int waiting_steps_ = 0;
  Instant waiting_told_{};
  TicketBook tickets_;
  WaveKeeper waves_;
  std::map<std::string, Member> members_;
  /// Lives that are proven over and still listed, with their addresses.
  std::map<std::string, std::string> over_;
  RefusedEntries refused_{log_, "cell"};
  std::multimap<std::string, CancelWait> cancels_;
  /// All runs of the time before the takeover are accounted for.
  bool accounted_ = true;
  /// Since the takeover, tasks were let go, all but `held_`.
  bool released_ = false;
  std::set<std::string> held_;
  CellCounters counters_;
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_LEADER_H_
