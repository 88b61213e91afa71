// SPDX-License-Identifier: Apache-2.0

/// \file
/// Directory of the live entry instances and of the leaders of the cells, kept
/// as leased keys in the store. All leased keys of a process share one lease.

#ifndef DOORWOOD_LIVE_DIRECTORY_H_
#define DOORWOOD_LIVE_DIRECTORY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/record_store.h"

namespace doorwood {

/// Prefix of the directory's keys in the store.
inline constexpr std::string_view kLivePrefix = "doorwood/live/";
std::string InstanceKey(std::string_view instance);
/// Key that records that the instance has registered. It has no lease, so it
/// stays in the store when the instance's own key expires.
std::string KnownInstanceKey(std::string_view instance);
std::string LeadKey(std::string_view cell);
/// Key that the leader writes in the same transaction as a record in which a
/// worker has a `KnownWorker::deductible_wait` above zero. Instances watch only
/// the directory's keys, in a large deployment only those that begin like a
/// lead key's; through this one they learn when the store reached the revision
/// of the record. A later leader computes the record's age from that
/// time, see LiveDirectory::TimeRevisionReached.
std::string DeductibleWaitsKey(std::string_view cell);

struct LiveInstance {
  std::string name;
  std::string data_centre;
  /// IP address and port for calls between instances.
  std::string address;
  /// CPU share available to the instance, in processors.
  double cpu_share = 1.0;
  bool leaving = false;
  /// In a record read from the store: the value of
  /// `LiveDirectory::no_agreement_since` when the instance wrote the record or,
  /// if that was 0, the store revision of the write.
  int64_t no_agreement_since = 0;
  /// The instance knows when it last stated that it cannot reach the store.
  /// False for earlier versions.
  bool remembers_statements = true;
};

/// Statements of all instances that may take a lead that they cannot reach the
/// store.
struct StatedOutage {
  /// When the oldest of them was asked for; each was given later.
  Instant asked{};
  /// Until when no other instance can take a lead: `answer_validity` after
  /// `asked`. Zero: there are no such statements.
  Instant valid_until{};
  /// See `LiveInstance::remembers_statements`.
  bool all_remember = false;
};

struct CellLead {
  std::string cell;
  std::string instance;
  std::string address;
  /// Store revision at which the lead was taken; serves as epoch and as fencing
  /// token.
  int64_t epoch = 0;
  /// Random number that the `CellLeader` drew once, when it was created. All
  /// its attempts to take the lead write the same number.
  uint64_t nonce = 0;
  /// `LiveDirectory::NewestKnownEpochs` of the leader when it took the lead, of
  /// which the key holds the first `kMaxPredecessors`. Empty if the key is of a
  /// version that gives orders before it has stored a batch of its own.
  std::vector<int64_t> predecessors;
  /// `LiveInstance::cpu_share` of the leader; 0 if the key does not state it.
  double cpu_share = 0;
};

/// The value of the lead's key. Its epoch is the revision of the write.
std::string EncodeLead(const CellLead& lead);

/// Maximum number of epochs in `CellLead::predecessors`.
inline constexpr size_t kMaxPredecessors = 8;

/// Port to other instances: queries how long ago the store last answered them,
/// asks them to agree to starts that are not recorded in the store, and hands
/// over a lead when this instance can no longer reach the store.
class StoreAnswerPort {
 public:
  using Callback = std::function<void(std::error_code, Millis age)>;

  virtual ~StoreAnswerPort() = default;

  /// Queries how long ago the store last answered the instance.
  virtual void QueryTimeSinceStoreAnswer(const LiveInstance& instance,
                                         Callback done) = 0;
  /// Asks the instance to agree that a leader which cannot reach the store
  /// starts long-running tasks without recording their workers. `done` gets an
  /// error if the instance does not agree or does not answer.
  virtual void RequestUnrecordedStartsAgreement(
      const LiveInstance& instance,
      std::function<void(std::error_code)> done) = 0;
  /// Asks the instance to remove the lead key of this epoch from the store: its
  /// leader has stepped down and cannot reach the store. The caller ignores the
  /// reply; if the request is lost, the key stays until its lease expires.
  virtual void HandOverLead(const LiveInstance& instance,
                            const std::string& cell,
                            int64_t epoch) = 0;
};

struct LiveOptions {
  /// Time to live of the lease: without renewal for this long the store removes
  /// this process's keys. A successor detects a failure after this time.
  Millis lease_ttl{2000};
  Millis lease_renewal_interval{500};
  /// While renewals fail, the next one is sent this long after the last, also
  /// if that one is not answered yet, so that an instance soon learns that the
  /// store is back. Then the instances learn of it within this time of each
  /// other.
  Millis failing_renewal_interval{250};
  Millis watch_wait{5000};
  /// Interval at which an instance reads which revision the store has reached.
  /// A new leader counts the leases that earlier leaders granted from the time
  /// at which it knew that the store had reached their newest record, so this
  /// interval is added to its wait for workers that it cannot contact.
  Millis revision_read_interval{200};
  /// A watch call that took at least this long is followed by a full read,
  /// which finds changes that watches have missed.
  Millis min_watch_before_full_read{2500};
  Millis retry_pause{150};
  /// Limit of the watch calls and of the full reads that all instances together
  /// begin, per second each. A registration ends the watch of every instance,
  /// so when all register at once the calls grow with the square of their
  /// number. The store refuses calls beyond its rate, and among them those by
  /// which the leader keeps its lead.
  int max_reads_per_second = 2000;
  /// In a larger deployment, only leaders follow the registrations of all
  /// instances; the others follow the leads only. What one registration causes,
  /// and what one instance reads, then does not grow with their number.
  size_t max_followed_instances = 64;
  /// Once the store has not answered for `store_unresponsive_threshold`, or as
  /// soon as a renewal of the lease has failed, the other instances are queried
  /// every `query_interval` whether they reach it.
  Millis store_unresponsive_threshold{800};
  Millis query_interval{400};
  /// How long another instance's answer that it cannot reach the store, or its
  /// agreement to unrecorded starts, is valid, from when it was asked.
  Millis answer_validity{1500};
  /// How long an instance whose key has disappeared is still queried, because
  /// the store may serve it again and let it lead. As long as an instance that
  /// never returns is queried, an outage of the store cannot be confirmed
  /// for all instances.
  Millis missing_retention{60'000};
  /// The store counts as refusing this instance but serving others if it has
  /// not answered this instance for this long, a renewal has failed, and
  /// another instance reaches the store. Longer than `lease_renewal_interval`,
  /// so that a renewal is due in it.
  Millis isolation_threshold{600};
  /// Another instance counts as reaching the store if the store answered it
  /// more than this long after this instance sent the first of its consecutive
  /// failed renewals. The margin allows for the transit time of the reply.
  Millis store_answer_margin{60};
};

class LiveDirectory {
 public:
  using ChangeHandler = std::function<void()>;

  LiveDirectory(Executor& executor,
                RecordStore& store,
                StoreAnswerPort& store_answer_port,
                EventLog& log,
                const LiveOptions& options,
                LiveInstance self);

  /// Starts reading the directory and requests a lease. `on_change` runs after
  /// each full read that is not outdated and each watch call that returned
  /// events, even if nothing changed; when a lease is granted or lost; and when
  /// `registered_since` is set. It does not run for SetLead, RemoveLead,
  /// AgreeToUnrecordedStarts or Stop, nor when the lease expires by the clock.
  void Start(ChangeHandler on_change);
  /// Announces in the store that this instance is leaving, as soon as it has a
  /// lease. From then on, the lease is not renewed while this instance holds a
  /// lead, so that the lead ends with the process even if the store is away
  /// until then; and a lease that is lost is not replaced.
  void AnnounceLeaving();
  /// Ends the periodic work and asks the store to end the lease, which removes
  /// all keys that are attached to it. Does not wait for the answer.
  void Stop();

  /// The lease to which keys of this process are attached; empty if there is
  /// none.
  std::optional<int64_t> lease() const { return lease_; }
  /// True if there is a lease and less than `lease_ttl` has passed since its
  /// last successful request or renewal was sent, so that it has not expired.
  bool IsLeaseValid() const;
  /// When the store first confirmed the current registration; empty while this
  /// instance's key is not known to be in the store, and from
  /// AgreeToUnrecordedStarts to the next registration.
  std::optional<Instant> registered_since() const { return registered_since_; }
  /// When the store first confirmed a registration of this process; zero: it
  /// has not.
  Instant first_registered_at() const { return first_registered_at_; }
  /// Whether no renewal has succeeded since the last one that failed.
  bool is_store_failing() const { return failing_since_ != Instant{}; }
  /// When the store last answered this process again after a renewal had
  /// failed; zero: none has failed.
  Instant store_regained_at() const { return store_regained_at_; }
  /// Whether an instance in the directory, or a missing one that may return
  /// (see `MayReturn`), satisfies `predicate`.
  bool KnowsInstance(
      const std::function<bool(const LiveInstance&)>& predicate) const;
  /// Store revision of a registration of this process. Since then this process
  /// has not agreed to unrecorded starts, and its key has not been missing for
  /// so long that leaders may have stopped querying it. So a leader that has
  /// read the directory up to this revision has made no unrecorded start after
  /// that read: it would have needed this process's agreement. 0: not
  /// registered yet, or not registered again since it agreed.
  int64_t no_agreement_since() const { return no_agreement_since_; }
  /// Agrees to unrecorded starts until this instance registers again. Returns
  /// false, without agreeing, if the store answered this process within
  /// `store_unresponsive_threshold`.
  bool AgreeToUnrecordedStarts();
  /// Sets whether the other instances are to be asked to agree.
  void set_needs_agreement(bool needs) { needs_agreement_ = needs; }
  /// Until when the agreement of all instances that `OutageStatements`
  /// considers is valid. Zero if one of them has not agreed, if there is none,
  /// or if the store answered this process after the oldest of these requests
  /// or less than `store_unresponsive_threshold` before it.
  Instant UnrecordedStartsAgreedUntil() const;
  /// Whether `instances` has all instances that are registered. Otherwise it
  /// has some that were registered when this process read a part of them.
  bool follows_instances() const { return follows_instances_; }
  /// Store revision up to which the directory has all instances; 0 if it does
  /// not (see `follows_instances`).
  int64_t revision() const { return is_complete_ ? revision_ : 0; }
  /// Earliest time in `revision_times_` by which the store had reached the
  /// revision; empty if none is known.
  std::optional<Instant> TimeRevisionReached(int64_t revision) const;
  /// The largest `no_agreement_since` of all instances in the directory, this
  /// one included; 0 if the directory has none.
  int64_t NewestNoAgreementSince() const;
  /// Epoch of the newest leader of the cell that this process knows of; 0 if
  /// there is none.
  int64_t NewestKnownEpoch(const std::string& cell) const;
  /// `CellLead::cpu_share` of that leader; 0 if it is not known.
  double NewestKnownShare(const std::string& cell) const;
  /// Epochs of the newest leader of the cell that this process knows of and of
  /// its `CellLead::predecessors`, newest first; empty if it knows of none.
  std::vector<int64_t> NewestKnownEpochs(const std::string& cell) const;
  /// The statements of every other instance in the directory, and of every
  /// missing one that may return (see `MayReturn`), that it cannot reach the
  /// store either. Empty if the statement of one is missing, if no such
  /// instance is known, or if the store answered this process after the oldest
  /// of these queries or less than `store_unresponsive_threshold` before it.
  StatedOutage OutageStatements() const;
  /// Of the instances that are not leaving and whose answer that they reach the
  /// store (see `store_answer_margin`) arrived less than
  /// `store_unresponsive_threshold` ago, the one with the largest `cpu_share`.
  /// Null if there is none, if no renewal of this instance has failed since the
  /// last successful one, or if the store answered this instance within
  /// `isolation_threshold`.
  const LiveInstance* FindInstanceReachingStore() const;
  void HandOverLead(const LiveInstance& instance,
                    const std::string& cell,
                    int64_t epoch) {
    store_answer_port_.HandOverLead(instance, cell, epoch);
  }
  /// Calls the process at the lead's address, to find out whether it is there.
  void CallLeader(const CellLead& lead,
                  std::function<void(std::error_code)> done);
  /// True if the store has not answered this process for
  /// `store_unresponsive_threshold`.
  bool IsStoreUnresponsive(Instant now) const;
  /// When the store last answered a lease call, full read or watch call of this
  /// object; its other calls do not count.
  Instant last_store_answer_at() const { return last_store_answer_at_; }

  const LiveInstance& self() const { return self_; }
  const std::map<std::string, LiveInstance>& instances() const {
    return instances_;
  }
  const std::map<std::string, CellLead>& leads() const { return leads_; }
  /// True once the directory has been read.
  bool loaded() const { return loaded_; }
  /// Starts a full read of the directory unless one is running or due.
  void Refresh();
  /// Calls to other instances that asked whether they reach the store.
  uint64_t queries() const { return queries_; }
  /// Refused watch calls, because all instances together exceeded the rate that
  /// the store accepts.
  uint64_t watches_over_budget() const { return watches_over_budget_; }
  /// Adds a lead that this process has just taken.
  void SetLead(const CellLead& lead);
  /// Removes a lead that this process has just released.
  void RemoveLead(const std::string& cell);

 private:
  /// An instance that has registered but whose own key is no longer in the
  /// store; `since` is when this process noticed this.
  struct MissingInstance {
    LiveInstance instance;
    Instant since{};
  };

  void RequestLease();
  void ScheduleRenewal(Millis delay);
  /// Renews the lease or, if a lead that depends on it is being given up, only
  /// finds out whether the store answers.
  void RenewLease();
  struct Renewal {
    uint64_t number = 0;
    int64_t lease = 0;
    Instant sent{};
    /// False: the call only finds out whether the store answers.
    bool renews = true;
  };
  void OnRenewalAnswer(const Renewal& renewal, std::error_code error);
  void Register();
  void RecordRevisionTime(int64_t revision);
  void OnRegistered(int64_t revision);
  void OnLeaseLost(std::string_view reason);
  void List();
  /// Starts a full read even if one is running: that one may have been sent
  /// while the store was away, and never be answered.
  void ListAgain();
  void BeginList();
  /// Reads all instances.
  void ListAll(uint64_t number);
  /// Reads the first page of the instances, and all if that is all.
  void ListFirstPage(uint64_t number);
  /// Reads the leads, and whether this instance is registered.
  void ListLeads(uint64_t number);
  /// Whether the answer of the read with this number may be used.
  bool EndList(uint64_t number, std::error_code error);
  /// Begins or ends following the instances, as their number and the leads of
  /// this instance require. Returns whether that began.
  bool UpdateFollowing();
  std::string WatchedPrefix() const;
  void Watch();
  void OnWatchFailed(std::error_code error);
  /// Minimum time between two watch calls, or two full reads, of this instance;
  /// see `LiveOptions::max_reads_per_second`.
  Millis MinReadInterval() const;
  /// Watches again, `MinReadInterval` after the last watch began at the
  /// earliest.
  void WatchAgain(Instant last_began);
  /// Reads the store's revision every `revision_read_interval`.
  void ReadRevisionPeriodically();
  void Apply(const StoreItem& item);
  void Replace(const StoreItems& items);
  void ReplaceLeads(const StoreItems& items);
  /// Whether the list was read before something that this process knows.
  bool IsOutdated(const StoreItems& items) const;
  void ReregisterIfMissing();
  void RegisterAgain();
  void QueryOthers();
  /// Queries when the store last answered the instance and, if agreement is
  /// needed and `IsStoreUnresponsive`, asks the instance to agree.
  void QueryInstance(const LiveInstance& instance);
  void RequestAgreement(const LiveInstance& instance);
  /// Earliest time in `answers` of all other instances in the directory and of
  /// the missing ones that may return (see `MayReturn`); zero if the answer of
  /// one is missing, or if there is no such instance.
  Instant EarliestAnswer(const std::map<std::string, Instant>& answers) const;
  /// Until when the answers to queries sent at `sent_at` are valid; zero if the
  /// store answered this process later, or less than
  /// `store_unresponsive_threshold` before.
  Instant AnswersValidUntil(Instant sent_at) const;
  void MarkMissing(const LiveInstance& instance);
  void ApplyKnownInstance(const std::string& name, const StoreItem& item);
  /// True until `missing_retention` after `missing.since`: the instance may
  /// still return and take a lead.
  bool MayReturn(const MissingInstance& missing) const;
  void RemoveOneStaleKnownInstanceKey();
  /// Number of leads that this instance holds according to the directory.
  size_t CountOwnLeads() const;

  Executor& executor_;
  RecordStore& store_;
  StoreAnswerPort& store_answer_port_;
  EventLog& log_;
  const LiveOptions options_;
  LiveInstance self_;
  ChangeHandler on_change_;

  bool stopped_ = false;
  std::optional<int64_t> lease_;
  Instant lease_valid_until_{};
  Instant last_store_answer_at_{};
  std::optional<Instant> registered_since_;
  Instant first_registered_at_{};
  bool loaded_ = false;
  /// The newest full read, whose number is `lists_`, is running or due once
  /// `MinReadInterval` has passed.
  bool listing_ = false;
  uint64_t lists_ = 0;
  Instant list_began_{};
  uint64_t queries_ = 0;
  uint64_t watches_over_budget_ = 0;
  int64_t revision_ = 0;
  bool follows_instances_ = true;
  /// All instances were read since this process follows them.
  bool is_complete_ = false;
  /// Number of the watch call whose answer continues the watch.
  uint64_t watches_ = 0;
  /// Revision at which the store confirmed the current registration.
  int64_t registered_revision_ = 0;
  /// Store revisions, each with the time at which this process learned that the
  /// store had reached it; both in ascending order.
  std::deque<std::pair<int64_t, Instant>> revision_times_;
  std::map<std::string, LiveInstance> instances_;
  std::map<std::string, MissingInstance> missing_instances_;
  /// By instance, this one included, that has a `KnownInstanceKey` in the
  /// store: the revision of that key.
  std::map<std::string, int64_t> known_instances_;
  bool known_instance_removal_pending_ = false;
  std::map<std::string, CellLead> leads_;
  /// The newest known lead, by cell; kept after the lead has ended.
  std::map<std::string, CellLead> newest_leads_;
  /// By instance whose newest answer was that it cannot reach the store: when
  /// the query was sent.
  std::map<std::string, Instant> not_reaching_store_at_;
  /// By instance that agreed to the newest request of `RequestAgreement`: when
  /// the request was sent.
  std::map<std::string, Instant> agreed_at_;
  bool needs_agreement_ = false;
  int64_t no_agreement_since_ = 0;
  /// Number of times that this instance has agreed to unrecorded starts.
  uint64_t agreement_count_ = 0;
  /// When the store was last known to have this instance's key.
  Instant registered_at_{};
  /// By instance whose newest answer was that it reaches the store: when the
  /// answer arrived.
  std::map<std::string, Instant> reaching_store_at_;
  /// When the first of the consecutive failed renewals was sent; zero if none
  /// has failed since the last successful renewal or grant of a lease.
  Instant failing_since_{};
  Instant store_regained_at_{};
  /// Number of renewals scheduled; the newest one replaces the earlier ones.
  uint64_t renewals_ = 0;
  /// When the last successful renewal was sent.
  Instant renewed_at_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_LIVE_DIRECTORY_H_
