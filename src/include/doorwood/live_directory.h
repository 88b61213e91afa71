// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which entry instances are alive and which of them leads which cell, by
/// leased keys in the store. One lease a process carries all of its keys.

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

/// Keys of doorwood in the store.
inline constexpr std::string_view kLivePrefix = "doorwood/live/";
std::string InstanceKey(std::string_view instance);
/// Stays when the instance's own key goes with its lease.
std::string SeenKey(std::string_view instance);
std::string LeadKey(std::string_view cell);
/// Changes with each record of unheard workers, so that all instances hear how
/// old that record is.
std::string UnheardKey(std::string_view cell);

struct LiveInstance {
  std::string name;
  std::string data_centre;
  /// IP number and port for calls between instances.
  std::string address;
  /// Share of a processor that the machine has.
  double cpu_share = 1.0;
  bool leaving = false;
  /// See LiveDirectory::agreeing_since.
  int64_t agreeing_since = 0;
};

struct CellLead {
  std::string cell;
  std::string instance;
  std::string address;
  /// Revision at which the lead was taken; serves as epoch and as fencing
  /// token.
  int64_t epoch = 0;
  /// Drawn by the winner for this one try.
  uint64_t nonce = 0;
};

/// Port to other instances: how long ago they last heard the store, and the
/// handing over of a lead by one that no longer hears it.
class StoreHearing {
 public:
  using Callback = std::function<void(std::error_code, Millis age)>;

  virtual ~StoreHearing() = default;

  virtual void Ask(const LiveInstance& instance, Callback done) = 0;
  /// Asks it to agree that a leader which does not hear the store starts
  /// lasting work without recording where. Error: it does not agree.
  virtual void AskToAgree(const LiveInstance& instance,
                          std::function<void(std::error_code)> done) = 0;
  /// Tells the instance that the lead of this epoch is given up and may be
  /// taken from the store. Not answered; if lost, the lead's lease runs out.
  virtual void HandOver(const LiveInstance& instance,
                        const std::string& cell,
                        int64_t epoch) = 0;
};

struct LiveOptions {
  /// After so long without renewal the store drops this process's keys. A
  /// successor needs this time to see a death.
  Millis lifetime{2000};
  Millis keep_interval{500};
  Millis watch_wait{5000};
  /// Full reads, against watches that hear nothing.
  Millis list_interval{2500};
  Millis retry_pause{150};
  /// After this silence of the store the others are asked whether they hear
  /// it, this often.
  Millis silence_to_ask{800};
  Millis ask_interval{400};
  /// How long an answer counts.
  Millis answer_counts{1500};
  /// How long an instance whose key is gone is still asked, since the store may
  /// serve it again and let it lead. While one that is gone for good counts, no
  /// outage of the store is taken for one for all.
  Millis gone_counts{60'000};
  /// After this silence, and a renewal that failed, an instance is turned away
  /// by the store if another one hears it: two renewals' time.
  Millis turned_away_after{600};
  /// Another instance hears the store if it did so this long after this one's
  /// renewals began to fail: room for the way of the answer.
  Millis hears_margin{60};
};

class LiveDirectory {
 public:
  using ChangeHandler = std::function<void()>;

  LiveDirectory(Executor& executor,
                RecordStore& store,
                StoreHearing& hearing,
                EventLog& log,
                const LiveOptions& options,
                LiveInstance self);

  /// `on_change` runs whenever instances, leads or the own lease changed.
  void Start(ChangeHandler on_change);
  /// Tells the others that this instance is leaving.
  void AnnounceLeaving();
  /// Gives all keys up.
  void Stop();

  /// The lease that keys of this process go with; nothing while there is none.
  std::optional<int64_t> lease() const { return lease_; }
  /// The store has confirmed the lease so lately that it can't have run out.
  bool IsLeaseSure() const;
  /// Since when the store has had this instance's key, as far as it has said;
  /// nothing while it has not.
  std::optional<Instant> registered_since() const { return registered_since_; }
  /// Revision of the registration since when this process remembers whether it
  /// has agreed to starts that are not recorded, and every leader that had read
  /// that far asks it; 0: none yet.
  int64_t agreeing_since() const { return agreeing_since_; }
  /// Agrees to starts that are not recorded, for as long as this instance does
  /// not hear the store; false: it hears the store.
  bool Agree();
  /// Whether the others are to be asked to agree.
  void SetNeedsAgreement(bool needs) { needs_agreement_ = needs; }
  /// Until when all that `OutageUntil` counts have agreed; zero: they have not.
  Instant AgreedUntil() const;
  /// The store's revision up to which the directory is complete.
  int64_t at() const { return at_; }
  /// A moment by which the store had reached the revision, the earliest that is
  /// known of the last while; nothing: none is.
  std::optional<Instant> ReachedBefore(int64_t revision) const;
  /// The newest `agreeing_since` of an instance; 0: there is none.
  int64_t NewestAgreeingSince() const;
  /// Epoch of the cell's newest leader that this process has heard of; 0: none.
  int64_t LastEpoch(const std::string& cell) const;
  /// Until when nobody can take a lead: every other instance that is known, or
  /// was lately, said that it does not hear the store either, and its word
  /// counts from when it was asked. Zero: not so.
  Instant OutageUntil() const;
  /// An instance that said lately that it hears the store, while this one does
  /// not; null: this one does, or nobody is known to.
  const LiveInstance* FindInstanceThatHears() const;
  void HandOver(const LiveInstance& instance,
                const std::string& cell,
                int64_t epoch) {
    hearing_.HandOver(instance, cell, epoch);
  }
  /// The store has been silent here for so long that the others are asked.
  bool IsDeaf(Instant now) const;
  /// When the store last answered anything here.
  Instant store_heard_at() const { return store_heard_at_; }

  const LiveInstance& self() const { return self_; }
  const std::map<std::string, LiveInstance>& instances() const {
    return instances_;
  }
  const std::map<std::string, CellLead>& leads() const { return leads_; }
  /// The directory has been read at least once.
  bool known() const { return known_; }
  /// Reads the directory anew, soon.
  void Refresh();
  /// Enters a lead that this process has just won or given up.
  void SetLead(const CellLead& lead);
  void DropLead(const std::string& cell);

 private:
  /// An instance whose key is gone, and since when.
  struct GoneInstance {
    LiveInstance instance;
    Instant since{};
  };

  void Grant();
  void Keep();
  void Register();
  void NoteReached(int64_t revision);
  void NoteRegistered(int64_t revision);
  void Lose(std::string_view reason);
  void List();
  void Watch();
  void Apply(const StoreItem& item);
  void Replace(const StoreItems& items);
  void ReturnIfGone();
  void AskOthers();
  void Ask(const LiveInstance& instance);
  void AskToAgree(const LiveInstance& instance);
  /// The earliest of the words of all that may take a lead; zero: one is
  /// missing, or there is nobody.
  Instant EarliestWord(const std::map<std::string, Instant>& words) const;
  /// Until when words that were asked for then count.
  Instant WordsUntil(Instant asked) const;
  void NoteGone(const LiveInstance& instance);
  void ApplySeen(const std::string& name, const StoreItem& item);
  /// It went so lately that it may be back, and lead.
  bool Counts(const GoneInstance& gone) const;
  void ForgetOneSeen();
  /// Leads that are taken to be this instance's.
  size_t CountOwnLeads() const;

  Executor& executor_;
  RecordStore& store_;
  StoreHearing& hearing_;
  EventLog& log_;
  const LiveOptions options_;
  LiveInstance self_;
  ChangeHandler on_change_;

  bool stopped_ = false;
  std::optional<int64_t> lease_;
  Instant lease_sure_until_{};
  Instant store_heard_at_{};
  std::optional<Instant> registered_since_;
  bool known_ = false;
  bool listing_ = false;
  int64_t at_ = 0;
  /// Revisions that the store had reached, and when that was heard; both rise.
  std::deque<std::pair<int64_t, Instant>> reached_;
  std::map<std::string, LiveInstance> instances_;
  std::map<std::string, GoneInstance> gone_;
  /// Instances that have ever registered, but those gone for good: the revision
  /// of the key that says so.
  std::map<std::string, int64_t> seen_;
  bool forgetting_ = false;
  std::map<std::string, CellLead> leads_;
  /// By cell; stays when the lead is gone.
  std::map<std::string, int64_t> last_epochs_;
  /// By instance: when it last said that it does not hear the store.
  std::map<std::string, Instant> deaf_at_;
  /// By instance: when it was last asked and agreed, see `AskToAgree`.
  std::map<std::string, Instant> agreed_at_;
  bool needs_agreement_ = false;
  int64_t agreeing_since_ = 0;
  /// How often this instance has agreed to starts that are not recorded.
  uint64_t agreements_ = 0;
  /// When the store was last known to have this instance's key.
  Instant registered_at_{};
  /// By instance: when it last said that it hears the store.
  std::map<std::string, Instant> hears_at_;
  /// When the first of the renewals was sent that have failed since one did
  /// not; zero: the newest one did not fail.
  Instant failing_since_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_LIVE_DIRECTORY_H_
