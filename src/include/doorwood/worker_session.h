// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader's dealings with one life of a worker: what runs there, what has
/// ended, orders under way, and when everything there has surely lapsed.

#ifndef DOORWOOD_WORKER_SESSION_H_
#define DOORWOOD_WORKER_SESSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/interference.h"
#include "doorwood/job_table.h"
#include "doorwood/run_worker.h"

namespace doorwood {

enum class RunPhase {
  /// Ordered; the answer is out.
  kStarting,
  /// The order was not answered; it may be carried out, now or later.
  kUnresolved,
  kRunning,
  /// Told to stop; its end is not listed yet.
  kStopping,
};

/// One run of a task on a worker, from the order to its proved end.
struct Run {
  std::string task;
  uint32_t number = 0;
  RunPhase phase = RunPhase::kStarting;
  /// Not ordered yet: it has its room, and waits for `WorkerSession::Release`.
  bool held = false;
  /// When the start was ordered, and when the worker confirmed it.
  Instant ordered{};
  Instant confirmed{};
  /// The worker will refuse the run from now on: its stop was confirmed.
  bool stop_confirmed = false;
  Instant stop_confirmed_at{};
  bool stop_under_way = false;
  Instant stop_sent{};
  /// The worker called the number too old: this very run may have ended there
  /// already, if the order was sent twice.
  bool called_old = false;

  /// Copied from the step, so that a run outlives its job.
  Resources size;
  bool fills = false;
  bool lasting = false;
  Millis latency_target{0};
  Millis estimate{0};
  /// As the leader's model numbers it; set by the leader.
  ImageId image = 0;
  /// "JOB.TIME.STEP", for bounds on a step's tasks on one worker.
  std::string step;

  int progress = 0;
  int64_t figure = -1;
  /// Of a serving task: its own strain without what fills beside it; below 0:
  /// not known yet.
  double load = -1;
  /// Mean of the last figures; below 0: none yet.
  double mean_figure = -1;
  /// Since when that is over the target; zero: it isn't.
  Instant over_since{};
  std::string checkpoint;
  /// Share of its speed that it may work at: wanted, and confirmed.
  int wanted_pace = 100;
  int pace = 100;
  bool pace_under_way = false;
  /// Since when it is held below its full speed; zero: it isn't.
  Instant paced_since{};
  /// When it was last logged that it takes far longer than expected.
  Instant overdue_told{};
  /// It began from a checkpoint, or was held below its full speed, or was
  /// ordered by another leader: how long it takes tells little.
  bool odd_time = false;
  /// An earlier leader ordered it: how long it has been at work is not known.
  bool adopted = false;
};

/// A run of `task` that is not ordered yet, without a checkpoint.
Run MakeRun(const Task& task, uint32_t number);

/// How long a time of a worker's clock may last on ours: it may run 2% slow
/// (the platform's bound).
Millis LongestOnOurClock(Millis on_worker);

struct WorkerSessionOptions {
  /// How long runs may go on without word from a leader. Bounded by the
  /// platform's longest hold; see docs/CONFIGURATION.md.
  Millis run_lease{6000};
  /// Longest wait of a look that watches what disturbs what, in a small cell.
  /// Trials on quiet-1 without charge for processors, 5 and 3 seeds: 0.677 and
  /// 0.658 (two deployments) at 500 ms, 0.712 and 0.666 at 250 ms.
  Millis short_wait{250};
  /// Longest wait of any other look.
  Millis long_wait{1200};
  /// Pause between looks while ends wait to be recorded.
  Millis unrecorded_pause{150};
  /// Pause after a look that was not answered.
  Millis retry_pause{150};
  /// Pause where another life answers and this one never has. A mended entry
  /// ends it at once; without one each copy of an entry is asked twice in 10 s.
  Millis stranger_pause{8000};
  /// A worker not heard of for so long gets no new work.
  Millis silence{1500};
  /// How long a stop may stay without a listed end before it is sent again.
  Millis stop_patience{1200};
};

class WorkerSession;

/// What a session tells its leader, on the control thread.
class WorkerSessionListener {
 public:
  virtual ~WorkerSessionListener() = default;

  /// The run is over: `end` is the worker's word, or kLapsed where only its
  /// lease or the worker's death proves it. `run` is gone from the session.
  virtual void OnRunEnded(WorkerSession& session,
                          const Run& run,
                          RunEnd end,
                          bool told_by_worker) = 0;
  /// All runs there are over without the worker's word, and are about to be
  /// told as ended one by one: it is dead, or was silent until its lease was
  /// over.
  virtual void OnWorkerLost(WorkerSession& session) = 0;
  /// A look was not answered; the one before was, or there was none.
  virtual void OnLookFailed(WorkerSession& session) = 0;
  /// A look was answered after one that was not.
  virtual void OnAnswersAgain(WorkerSession& session) = 0;
  /// The worker lists the end of a run that this session did not know.
  virtual void OnUnknownEnd(WorkerSession& session, const EndedRun& end) = 0;
  /// The worker runs something this session did not know. Returns the run to
  /// adopt, or nothing: it is stopped.
  virtual std::optional<Run> OnUnknownRun(WorkerSession& session,
                                          const ActiveRun& run) = 0;
  /// The start surely did not take place.
  virtual void OnStartRefused(WorkerSession& session,
                              const Run& run,
                              std::error_code error) = 0;
  /// A report was taken in.
  virtual void OnReport(WorkerSession& session) = 0;
  /// The worker has seen a higher token.
  virtual void OnFenced(WorkerSession& session) = 0;
};

/// Owned by its leader and by its own open calls. After `Close` it tells
/// nothing more.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
 public:
  WorkerSession(Executor& executor,
                RunWorkers& workers,
                EventLog& log,
                WorkerSessionListener& listener,
                const WorkerSessionOptions& options,
                WorkerLife life,
                uint64_t token);

  /// Sends the first look, which fences off all lower tokens.
  void Open();
  void Close();

  /// Of a run that is `held` only its room is taken.
  void Start(Run run, std::string payload, std::string ticket);
  /// Orders a run that was held.
  void Release(const std::string& task);
  void Stop(const std::string& task);
  void SetPace(const std::string& task, int percent);

  /// Longest wait of a look that watches what disturbs what, from now on.
  void SetShortWait(Millis wait) { short_wait_ = wait; }
  /// Nothing is prolonged from then on, and no order carries a later lease end
  /// than one that is sent then: a successor counts on it. A moment and not a
  /// flag, so that a process that stood still needs nobody to tell it.
  void SetExtendUntil(Instant until) { extend_until_ = until; }
  /// Looks at once, beside a look under way that may have been sent before it
  /// was allowed to prolong anything.
  void LookNow();
  /// Nobody else can have prolonged anything there before then, so that a lease
  /// that ran out earlier, or another life that answered earlier, proves runs
  /// over. What comes later proves nothing yet: a successor may have adopted
  /// the runs, kept them, or started them again.
  void SetLedUntil(Instant until) { led_until_ = until; }
  /// This life, or all that runs there, is over if nobody else had led before;
  /// the lead's proof does not reach so far yet.
  bool awaits_proof() const { return OverSince() >= led_until_; }
  /// This life is over, and nobody else led before that was heard.
  bool proved_dead() const { return dead_ && died_at_ < led_until_; }
  /// Ends what the lead's proof allows to be called over.
  void Conclude();
  /// Lists what has ended up to here; only these may be forgotten.
  void MarkRecorded(uint64_t end_number);
  /// Newer word from the directory; `life.id` stays. Where this life has
  /// answered, another address is taken once it has answered there as well.
  void Update(const WorkerLife& life);
  /// This life has answered an earlier leader at the address it is called at.
  void TrustAddress();
  /// To be called a few times a second: proves runs over, sends orders again.
  void Tick();

  const WorkerLife& life() const { return life_; }
  const std::map<std::string, Run>& runs() const { return runs_; }
  Run* FindRun(const std::string& task);
  /// Rises with each change of what runs there and with each report.
  uint64_t version() const { return version_; }
  uint64_t last_end() const { return last_end_; }
  bool has_unrecorded_ends() const { return last_end_ > recorded_end_; }
  /// Tasks that may run there, and those whose ends there are not recorded: all
  /// that a successor has to reckon with, once this leader is heard there and
  /// starts nothing more. In order, each once.
  std::vector<std::string> TasksToReckonWith() const;
  /// Something runs there that this leader is stopping and does not count: how
  /// much of the worker it takes is not known.
  bool has_unwanted() const { return !unwanted_.empty(); }
  /// Rises with each change of them.
  uint64_t tasks_version() const { return tasks_version_; }
  /// The worker has answered this leader at least once.
  bool fenced() const { return fenced_; }
  /// It has listed all its ends to this leader: a report lists only so many.
  bool told_all() const { return told_all_; }
  /// This life is over: another one answers at its address.
  bool dead() const { return dead_; }
  /// Heard of lately, or idle and not asked since it last answered.
  bool responsive() const;
  Instant heard_at() const { return heard_at_; }
  /// The newest look has failed, so nothing is prolonged there.
  bool look_failed() const { return look_failed_; }
  /// When the latest order was sent that may have prolonged anything there;
  /// zero: none was.
  Instant promised_at() const { return promised_at_; }
  /// Since when it answers again after a silence; zero: it was not silent.
  Instant answers_since() const { return answers_since_; }
  /// Reserved processors, memory and accelerators. Filling work reserves no
  /// processors.
  const Resources& reserved() const { return reserved_; }
  int64_t fill_cpu() const { return fill_cpu_; }
  int serving() const { return serving_; }
  /// Processors that serving work reserves.
  int64_t serving_cpu() const { return serving_cpu_; }
  int fills() const { return fills_; }
  int CountOfStep(const std::string& step) const;
  /// For how long the worker was heard of after it had confirmed the run.
  Millis SeenAtWork(const Run& run) const;

 private:
  /// An address that the directory names, at which this life hasn't answered.
  struct NextAddress {
    std::string address;
    bool asked = false;
    bool failure_told = false;
  };

  void Look(Millis wait);
  void OnLook(uint64_t sequence,
              Instant sent,
              std::error_code error,
              WorkerReport report);
  void ScheduleLook(Millis delay);
  void TakeReport(Instant sent, WorkerReport report);
  void TakeEnds(const std::vector<EndedRun>& ended);
  void TakeActive(const std::vector<ActiveRun>& active);
  void ResolveMissing(Instant sent, const std::vector<ActiveRun>& active);
  void OnStartAnswer(const std::string& task,
                     uint32_t number,
                     std::error_code error,
                     int64_t clock);
  /// What a start carries beside its run.
  struct StartWords {
    std::string payload;
    std::string ticket;
  };

  void SendStart(Run* run, StartWords words);
  void SendStop(const std::string& task, uint32_t number);
  void SendPace(Run* run);
  void Die();
  void AskNextAddress();
  void OnNextAddress(const std::string& address, std::error_code error);
  void NoteStranger(const std::string& address);
  /// What the answer to a call to `address` means: another life's is none
  /// where this life has not answered.
  std::error_code JudgeAnswer(const std::string& address,
                              std::error_code error);
  void TakeClock(int64_t clock);
  /// The lease end that an order of that moment carries, on the worker's clock.
  int64_t LeaseEnd(Instant at);
  /// When, on this clock, all leases there are over if nobody else prolongs
  /// them; nothing: the worker's clock is not known.
  std::optional<Instant> LapsedAt() const;
  /// Since when this life, or all that runs there, is over if this leader still
  /// leads.
  std::optional<Instant> OverSince() const;
  Millis NextWait() const;
  /// Adds (1) or takes off (-1) what the run reserves.
  void Count(const Run& run, int sign);
  void Insert(Run run);
  std::optional<Run> TakeOut(const std::string& task);
  void EndRun(const std::string& task, RunEnd end, bool told_by_worker);
  void EndAll();

  Executor& executor_;
  RunWorkers& workers_;
  EventLog& log_;
  WorkerSessionListener& listener_;
  const WorkerSessionOptions options_;
  WorkerLife life_;
  const uint64_t token_;
  /// Where this life has answered; nothing: nowhere yet. Then `life_` names it.
  std::optional<std::string> answered_at_;
  std::optional<NextAddress> next_address_;
  /// Another life answers where this one, never heard, is said to be.
  bool stranger_answers_ = false;

  Millis short_wait_;
  Instant extend_until_{};
  Instant led_until_{};
  bool closed_ = false;
  bool dead_ = false;
  /// When another life was heard of.
  Instant died_at_{};
  bool fenced_ = false;
  bool fence_told_ = false;
  bool told_all_ = false;
  bool silent_told_ = false;
  std::map<std::string, Run> runs_;
  /// Of the runs that are held.
  std::map<std::string, StartWords> held_;
  Resources reserved_;
  int64_t fill_cpu_ = 0;
  int serving_ = 0;
  int64_t serving_cpu_ = 0;
  int fills_ = 0;

  uint64_t version_ = 0;
  uint64_t tasks_version_ = 0;
  uint64_t last_end_ = 0;
  uint64_t recorded_end_ = 0;
  /// Tasks of the ends that are not recorded, by the ends' numbers.
  std::map<uint64_t, std::string> unrecorded_;
  /// Tasks that the newest report lists and this leader doesn't want there.
  std::vector<std::string> unwanted_;
  bool look_under_way_ = false;
  /// The newest answered or failed look failed.
  bool look_failed_ = false;
  uint64_t look_sequence_ = 0;
  Executor::TimerId look_timer_ = 0;
  /// When the look was sent whose report was taken in last.
  Instant report_sent_{};
  Instant heard_at_{};
  Instant answers_since_{};
  /// The worker's clock as last told, and when that was heard.
  int64_t clock_ = 0;
  Instant clock_at_{};
  /// The latest lease end that any order has carried.
  int64_t longest_until_ = 0;
  Instant promised_at_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_WORKER_SESSION_H_
