// SPDX-License-Identifier: Apache-2.0

#include "doorwood/live_directory.h"

#include <algorithm>
#include <utility>

#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr std::string_view kInstanceFolder = "instance/";
constexpr std::string_view kLeadFolder = "lead/";
constexpr const char* kOrdersAfterBatchField = "orders_after_batch";
// Begin of the keys that every instance follows.
constexpr std::string_view kLeadPrefix = "lead";
// Each instance that registers also writes a key here that has no lease. From
// these keys a process that starts later learns which instances the store may
// serve again.
constexpr std::string_view kKnownInstanceFolder = "seen/";
// Limit of the reads of the store's revision that all instances together send,
// per second.
constexpr int kMaxRevisionReadsPerSecond = 100;
// Longer than any leader waits for a worker that is not yet contacted.
constexpr Millis kRevisionTimesMaxAge{30'000};
constexpr size_t kRevisionTimesMaxCount = 256;
// An instance assumes that the others no longer query it once its key has been
// missing for `missing_retention` divided by this number, which is earlier than
// they stop.
constexpr int kMissingRetentionDivisor = 2;

std::string EncodeInstance(const LiveInstance& instance) {
  return Json{{"data_centre", instance.data_centre},
              {"address", instance.address},
              {"cpu_share", instance.cpu_share},
              {"leaving", instance.leaving},
              {"remembers_statements", true},
              {"agreeing_since", instance.no_agreement_since}}
      .dump();
}

std::optional<LiveInstance> DecodeInstance(const std::string& name,
                                           const StoreItem& item) {
  if (item.deleted || !IsVisibleAscii(name)) {
    return std::nullopt;
  }
  return DecodeObject(item.value, [&](const Json& json) {
    LiveInstance instance{name,
                          ReadNonEmptyString(json, "data_centre"),
                          ReadNonEmptyString(json, "address"),
                          json.value("cpu_share", 1.0),
                          json.value("leaving", false),
                          ReadIntegerOr(json, "agreeing_since", 0),
                          json.value("remembers_statements", false)};
    if (instance.no_agreement_since == 0) {
      instance.no_agreement_since = item.revision;  // as OnRegistered sets it
    }
    if (!IsVisibleAscii(instance.address)) {
      throw FieldError("address");
    }
    return instance;
  });
}

// Returns an empty list, which means that the predecessors are not known, if
// the field is missing or not of the form that leaders write, or if the leader
// is of a version that gives orders before its first batch is stored.
std::vector<int64_t> DecodePredecessors(const Json& lead) {
  const auto found = lead.find("predecessors");
  const auto orders_after_batch = lead.find(kOrdersAfterBatchField);
  if (orders_after_batch == lead.end() || *orders_after_batch != true ||
      found == lead.end() || !found->is_array() ||
      found->size() > kMaxPredecessors) {
    return {};
  }
  std::vector<int64_t> epochs;
  for (const Json& epoch : *found) {
    if (!epoch.is_number_unsigned() ||
        epoch.get<uint64_t>() > static_cast<uint64_t>(kMaxExactInteger)) {
      return {};
    }
    epochs.push_back(epoch.get<int64_t>());
  }
  return epochs;
}

std::optional<CellLead> DecodeLead(const std::string& cell,
                                   const StoreItem& item) {
  if (item.deleted || !IsVisibleAscii(cell)) {
    return std::nullopt;
  }
  return DecodeObject(item.value, [&](const Json& json) {
    CellLead lead{cell,
                  ReadNonEmptyString(json, "instance"),
                  ReadNonEmptyString(json, "address"),
                  item.created,
                  json.at("nonce").get<uint64_t>(),
                  DecodePredecessors(json),
                  json.value("cpu_share", 0.0)};
    if (!json.at("nonce").is_number_unsigned() ||
        !IsVisibleAscii(lead.address)) {
      throw FieldError("nonce");
    }
    return lead;
  });
}

}  // namespace

std::string EncodeLead(const CellLead& lead) {
  return Json{
      {"instance", lead.instance},    {"address", lead.address},
      {"nonce", lead.nonce},          {"predecessors", lead.predecessors},
      {kOrdersAfterBatchField, true}, {"cpu_share", lead.cpu_share}}
      .dump();
}

std::string KnownInstanceKey(std::string_view instance) {
  return std::string(kLivePrefix) + std::string(kKnownInstanceFolder) +
         std::string(instance);
}

std::string InstanceKey(std::string_view instance) {
  return std::string(kLivePrefix) + std::string(kInstanceFolder) +
         std::string(instance);
}

std::string DeductibleWaitsKey(std::string_view cell) {
  return std::string(kLivePrefix) + std::string(kLeadPrefix) + "-waits/" +
         std::string(cell);
}

std::string LeadKey(std::string_view cell) {
  return std::string(kLivePrefix) + std::string(kLeadFolder) +
         std::string(cell);
}

LiveDirectory::LiveDirectory(Executor& executor,
                             RecordStore& store,
                             StoreAnswerPort& store_answer_port,
                             EventLog& log,
                             const LiveOptions& options,
                             LiveInstance self)
    : executor_(executor),
      store_(store),
      store_answer_port_(store_answer_port),
      log_(log),
      options_(options),
      self_(std::move(self)) {}

void LiveDirectory::Start(ChangeHandler on_change) {
  on_change_ = std::move(on_change);
  RequestLease();
  List();
  Watch();
  QueryOthers();
  ReadRevisionPeriodically();
}

void LiveDirectory::AnnounceLeaving() {
  self_.leaving = true;
  if (lease_) {
    Register();
  }
}

void LiveDirectory::Stop() {
  stopped_ = true;
  if (lease_) {
    store_.RevokeLease(*lease_, [](std::error_code, int64_t) {});
    lease_.reset();
  }
}

bool LiveDirectory::IsLeaseValid() const {
  return lease_.has_value() && executor_.Now() < lease_valid_until_;
}

bool LiveDirectory::IsStoreUnresponsive(Instant now) const {
  return now - last_store_answer_at_ >= options_.store_unresponsive_threshold;
}

// --- Lease of this process ---

void LiveDirectory::RequestLease() {
  if (stopped_) {
    return;
  }
  const Instant sent = executor_.Now();
  store_.GrantLease(
      options_.lease_ttl, [this, sent](std::error_code error, int64_t lease) {
        if (stopped_) {
          return;
        }
        if (error) {
          executor_.Schedule(options_.retry_pause, [this] { RequestLease(); });
          return;
        }
        lease_ = lease;
        failing_since_ = Instant{};
        last_store_answer_at_ = executor_.Now();
        lease_valid_until_ = sent + options_.lease_ttl;
        log_.Write("info", "live", "lease granted",
                   {{"lease", lease}, {"own_leads", CountOwnLeads()}});
        Register();
        if (loaded_) {
          ListAgain();  // The directory may be as old as the lost lease.
        }
        ScheduleRenewal(options_.lease_renewal_interval);
        on_change_();
      });
}

void LiveDirectory::Register() {
  StoreTransaction transaction;
  self_.no_agreement_since = no_agreement_since_;
  transaction.puts.push_back(
      {InstanceKey(self_.name), EncodeInstance(self_), *lease_});
  transaction.puts.push_back(
      {KnownInstanceKey(self_.name), EncodeInstance(self_), 0});
  const int64_t lease = *lease_;
  store_.Commit(
      transaction, [this, lease, agreements = agreement_count_](
                       std::error_code error, const StoreCommit& commit) {
        // A registration that was sent before this instance agreed to an
        // unrecorded start does not inform leaders of that agreement.
        if (stopped_ || lease_ != lease || agreements != agreement_count_) {
          return;
        }
        if (error) {
          registered_since_.reset();
        }
        if (error == make_error_code(KvErrc::kNotFound)) {
          OnLeaseLost("the store does not know the lease");
        }
        if (!error) {
          OnRegistered(commit.revision);
        }
      });
}

// Leaders no longer ask an instance to agree once its key has been missing for
// `missing_retention`. If this instance was not registered for more than that
// time divided by `kMissingRetentionDivisor`, leaders may have made unrecorded
// starts without asking it, so `no_agreement_since_` restarts at this
// registration.
void LiveDirectory::OnRegistered(int64_t revision) {
  const Instant now = executor_.Now();
  const bool was_unregistered_for_long =
      now - registered_at_ >
      options_.missing_retention / kMissingRetentionDivisor;
  if (no_agreement_since_ == 0 || was_unregistered_for_long) {
    no_agreement_since_ = revision;
  }
  registered_at_ = now;
  registered_revision_ = revision;
  if (!registered_since_) {
    registered_since_ = now;
    first_registered_at_ =
        first_registered_at_ == Instant{} ? now : first_registered_at_;
    on_change_();
  }
}

bool LiveDirectory::AgreeToUnrecordedStarts() {
  if (!IsStoreUnresponsive(executor_.Now())) {
    return false;
  }
  ++agreement_count_;
  no_agreement_since_ = 0;
  registered_since_.reset();  // registers again once the store answers
  return true;
}

int64_t LiveDirectory::NewestNoAgreementSince() const {
  int64_t newest = 0;
  for (const auto& [name, instance] : instances_) {
    newest = std::max(newest, instance.no_agreement_since);
  }
  return newest;
}

double LiveDirectory::NewestKnownShare(const std::string& cell) const {
  const auto known = newest_leads_.find(cell);
  return known == newest_leads_.end() ? 0 : known->second.cpu_share;
}

int64_t LiveDirectory::NewestKnownEpoch(const std::string& cell) const {
  const auto known = newest_leads_.find(cell);
  return known == newest_leads_.end() ? 0 : known->second.epoch;
}

std::vector<int64_t> LiveDirectory::NewestKnownEpochs(
    const std::string& cell) const {
  const auto known = newest_leads_.find(cell);
  if (known == newest_leads_.end()) {
    return {};
  }
  std::vector<int64_t> epochs{known->second.epoch};
  epochs.insert(epochs.end(), known->second.predecessors.begin(),
                known->second.predecessors.end());
  return epochs;
}

void LiveDirectory::ScheduleRenewal(Millis delay) {
  executor_.Schedule(delay, [this, number = ++renewals_] {
    if (number == renewals_) {
      RenewLease();
    }
  });
}

void LiveDirectory::RenewLease() {
  if (stopped_ || !lease_) {
    return;
  }
  const bool gives_lead_up = self_.leaving && CountOwnLeads() > 0;
  // Replaced by a renewal after the answer, if that comes first.
  ScheduleRenewal(failing_since_ == Instant{}
                      ? options_.lease_renewal_interval
                      : options_.failing_renewal_interval);
  const Renewal renewal{renewals_, *lease_, executor_.Now(), !gives_lead_up};
  if (gives_lead_up) {
    store_.Get(InstanceKey(self_.name), [this, renewal](std::error_code error,
                                                        const StoreItem&) {
      const bool answered = error == make_error_code(KvErrc::kNotFound);
      OnRenewalAnswer(renewal, answered ? std::error_code() : error);
    });
    return;
  }
  store_.RenewLease(*lease_, [this, renewal](std::error_code error, int64_t) {
    OnRenewalAnswer(renewal, error);
  });
}

void LiveDirectory::OnRenewalAnswer(const Renewal& renewal,
                                    std::error_code error) {
  if (stopped_ || lease_ != renewal.lease) {
    return;
  }
  const Instant now = executor_.Now();
  if (error == make_error_code(KvErrc::kNotFound)) {
    store_regained_at_ = failing_since_ == Instant{} ? store_regained_at_ : now;
    last_store_answer_at_ = now;
    OnLeaseLost("the store does not know the lease");
    return;
  }
  if (error) {
    // A later renewal may have succeeded already.
    if (renewal.sent > renewed_at_ && failing_since_ == Instant{}) {
      failing_since_ = renewal.sent;
    }
    if (renewal.number == renewals_) {
      ScheduleRenewal(options_.retry_pause);
    }
    return;
  }
  const bool regained = std::exchange(failing_since_, Instant{}) != Instant{};
  reaching_store_at_.clear();  // answers given during an earlier failure
  last_store_answer_at_ = now;
  renewed_at_ = std::max(renewed_at_, renewal.sent);
  if (renewal.renews) {
    lease_valid_until_ =
        std::max(lease_valid_until_, renewal.sent + options_.lease_ttl);
  }
  if (registered_since_) {
    registered_at_ = renewal.sent;
  } else {
    Register();
  }
  if (regained) {
    store_regained_at_ = now;
    ListAgain();  // A watch call that was sent before may still wait.
  }
  ScheduleRenewal(options_.lease_renewal_interval);
}

void LiveDirectory::OnLeaseLost(std::string_view reason) {
  log_.Write("warn", "live", "lease lost",
             {{"reason", reason},
              {"lease", lease_.value_or(0)},
              {"own_leads", CountOwnLeads()}});
  lease_.reset();
  registered_since_.reset();
  // The store removed the leads with the lease; none is attached to the next
  // lease.
  std::erase_if(leads_, [this](const auto& lead) {
    return lead.second.instance == self_.name;
  });
  on_change_();
  if (!self_.leaving) {
    RequestLease();
  }
}

void LiveDirectory::RecordRevisionTime(int64_t revision) {
  const Instant now = executor_.Now();
  while (!revision_times_.empty() &&
         (now - revision_times_.front().second > kRevisionTimesMaxAge ||
          revision_times_.size() >= kRevisionTimesMaxCount)) {
    revision_times_.pop_front();
  }
  if (revision_times_.empty() || revision > revision_times_.back().first) {
    revision_times_.emplace_back(revision, now);
  }
}

std::optional<Instant> LiveDirectory::TimeRevisionReached(
    int64_t revision) const {
  const auto found = std::find_if(
      revision_times_.begin(), revision_times_.end(),
      [revision](const auto& entry) { return entry.first >= revision; });
  return found == revision_times_.end() ? std::nullopt
                                        : std::optional(found->second);
}

// --- Contents of the directory ---

void LiveDirectory::Refresh() {
  List();
}

void LiveDirectory::List() {
  if (!listing_) {
    ListAgain();
  }
}

void LiveDirectory::ListAgain() {
  if (stopped_) {
    return;
  }
  listing_ = true;
  const Millis pause = std::chrono::ceil<Millis>(
      list_began_ + MinReadInterval() - executor_.Now());
  if (list_began_ == Instant{} || pause <= Millis(0)) {
    BeginList();
  } else {
    executor_.Schedule(pause, [this] { BeginList(); });
  }
}

void LiveDirectory::BeginList() {
  if (stopped_) {
    return;
  }
  list_began_ = executor_.Now();
  const uint64_t number = ++lists_;
  if (!follows_instances_) {
    ListLeads(number);
  } else if (CountOwnLeads() > 0) {
    ListAll(number);
  } else {
    ListFirstPage(number);
  }
}

bool LiveDirectory::EndList(uint64_t number, std::error_code error) {
  listing_ = listing_ && number != lists_;
  if (stopped_ || error) {
    return false;
  }
  last_store_answer_at_ = executor_.Now();
  return true;
}

void LiveDirectory::ListAll(uint64_t number) {
  store_.List(std::string(kLivePrefix),
              [this, number](std::error_code error, const StoreItems& items) {
                if (EndList(number, error)) {
                  Replace(items);
                }
              });
}

void LiveDirectory::ListFirstPage(uint64_t number) {
  store_.ListPage(
      std::string(kLivePrefix), "",
      [this, number](std::error_code error, const StoreItems& page) {
        if (!error && !page.more) {
          if (EndList(number, error)) {
            Replace(page);
          }
          return;
        }
        if (!EndList(number, error)) {
          return;
        }
        if (CountOwnLeads() > 0) {
          ListAgain();
          return;
        }
        for (const StoreItem& item : page.items) {
          Apply(item);
        }
        follows_instances_ = false;
        is_complete_ = false;
        ListLeads(number);
      });
}

void LiveDirectory::ListLeads(uint64_t number) {
  store_.List(std::string(kLivePrefix) + std::string(kLeadPrefix),
              [this, number](std::error_code error, const StoreItems& items) {
                if (EndList(number, error)) {
                  ReplaceLeads(items);
                }
              });
  // The store may remove the key without reporting the lease as ended.
  const int64_t registered = registered_revision_;
  if (!registered_since_) {
    return;
  }
  store_.Get(InstanceKey(self_.name), [this, registered](std::error_code error,
                                                         const StoreItem&) {
    if (!stopped_ && error == make_error_code(KvErrc::kNotFound) && lease_ &&
        registered_since_ && registered == registered_revision_) {
      RegisterAgain();
    }
  });
}

bool LiveDirectory::UpdateFollowing() {
  const bool follows =
      CountOwnLeads() > 0 ||
      (is_complete_ && instances_.size() <= options_.max_followed_instances);
  if (follows == follows_instances_) {
    return false;
  }
  follows_instances_ = follows;
  is_complete_ = false;
  if (follows) {
    ListAgain();
    Watch();  // The watch that is waiting follows the leads only.
  }
  return follows;
}

std::string LiveDirectory::WatchedPrefix() const {
  std::string prefix(kLivePrefix);
  if (!follows_instances_) {
    prefix += kLeadPrefix;
  }
  return prefix;
}

void LiveDirectory::Watch() {
  if (stopped_) {
    return;
  }
  if (!loaded_) {
    List();
    executor_.Schedule(options_.retry_pause, [this] { Watch(); });
    return;
  }
  const Instant sent = executor_.Now();
  store_.Watch(
      WatchedPrefix(), revision_, options_.watch_wait,
      [this, sent, number = ++watches_](std::error_code error,
                                        const StoreItems& events) {
        if (stopped_ || number != watches_) {
          return;
        }
        if (error) {
          OnWatchFailed(error);
          return;
        }
        last_store_answer_at_ = executor_.Now();
        RecordRevisionTime(events.revision);
        if (events.revision > revision_) {
          revision_ = events.revision;
          for (const StoreItem& item : events.items) {
            Apply(item);
          }
          ReregisterIfMissing();
        }
        const bool begins = !events.items.empty() && UpdateFollowing();
        if (!events.items.empty()) {
          on_change_();
        }
        if (begins || number != watches_) {
          return;  // Another watch has begun.
        }
        if (executor_.Now() - sent >= options_.min_watch_before_full_read) {
          List();
        }
        WatchAgain(sent);
      });
}

// A refused watch misses nothing, since the next one continues from the same
// revision, and a full read would cost the store further calls.
void LiveDirectory::OnWatchFailed(std::error_code error) {
  if (error == make_error_code(KvErrc::kOverBudget)) {
    ++watches_over_budget_;
  } else {
    List();
  }
  executor_.Schedule(std::max(options_.retry_pause, MinReadInterval()),
                     [this] { Watch(); });
}

Millis LiveDirectory::MinReadInterval() const {
  constexpr int64_t kMillisPerSecond = 1000;
  const size_t instances = std::max(instances_.size(), known_instances_.size());
  return Millis(static_cast<int64_t>(instances) * kMillisPerSecond /
                options_.max_reads_per_second);
}

void LiveDirectory::WatchAgain(Instant last_began) {
  const Millis pause = std::chrono::ceil<Millis>(
      last_began + MinReadInterval() - executor_.Now());
  if (pause <= Millis(0)) {
    Watch();
  } else {
    executor_.Schedule(pause, [this] { Watch(); });
  }
}

// The call may be answered from an old state, so it does not count as an answer
// of the store.
void LiveDirectory::ReadRevisionPeriodically() {
  if (stopped_) {
    return;
  }
  executor_.Schedule(
      std::max(options_.revision_read_interval,
               MinReadInterval() * (options_.max_reads_per_second /
                                    kMaxRevisionReadsPerSecond)),
      [this] { ReadRevisionPeriodically(); });
  // A leader has no successor's wait to shorten, and while the store does not
  // answer, renewals find out when it does again.
  if (!registered_since_ || CountOwnLeads() > 0 ||
      failing_since_ != Instant{}) {
    return;
  }
  store_.ReadRevision(InstanceKey(self_.name),
                      [this](std::error_code error, int64_t revision) {
                        if (!stopped_ && !error) {
                          RecordRevisionTime(revision);
                        }
                      });
}

void LiveDirectory::Apply(const StoreItem& item) {
  if (!item.key.starts_with(kLivePrefix)) {
    return;
  }
  const std::string_view rest =
      std::string_view(item.key).substr(kLivePrefix.size());
  if (rest.starts_with(kInstanceFolder)) {
    const std::string name(rest.substr(kInstanceFolder.size()));
    if (auto instance = DecodeInstance(name, item)) {
      instances_[name] = std::move(*instance);
      missing_instances_.erase(name);
    } else if (const auto known = instances_.extract(name)) {
      MarkMissing(known.mapped());
    }
    return;
  }
  if (rest.starts_with(kKnownInstanceFolder)) {
    ApplyKnownInstance(std::string(rest.substr(kKnownInstanceFolder.size())),
                       item);
    return;
  }
  if (rest.starts_with(kLeadFolder)) {
    const std::string cell(rest.substr(kLeadFolder.size()));
    const auto known = leads_.find(cell);
    if (known != leads_.end() && item.revision < known->second.epoch) {
      return;  // event of an earlier lead
    }
    if (auto lead = DecodeLead(cell, item)) {
      newest_leads_[cell] = *lead;
      leads_[cell] = std::move(*lead);
    } else {
      leads_.erase(cell);
    }
  }
}

void LiveDirectory::ApplyKnownInstance(const std::string& name,
                                       const StoreItem& item) {
  const auto instance = DecodeInstance(name, item);
  if (!instance) {
    known_instances_.erase(name);
    return;
  }
  known_instances_[name] = item.revision;
  if (!instances_.contains(name)) {
    MarkMissing(*instance);
  }
}

// The instance is kept in `missing_instances_`, because the store may serve it
// again at any time and let it lead, without this process learning of it.
void LiveDirectory::MarkMissing(const LiveInstance& instance) {
  if (instance.name != self_.name) {
    missing_instances_.try_emplace(instance.name,
                                   MissingInstance{instance, executor_.Now()});
  }
}

bool LiveDirectory::IsOutdated(const StoreItems& items) const {
  return items.revision < revision_ ||
         std::any_of(leads_.begin(), leads_.end(), [&](const auto& entry) {
           return items.revision < entry.second.epoch;
         });
}

void LiveDirectory::Replace(const StoreItems& items) {
  if (IsOutdated(items)) {
    return;
  }
  RecordRevisionTime(items.revision);
  revision_ = items.revision;
  const bool was_complete = std::exchange(is_complete_, true);
  const auto before = std::move(instances_);
  instances_.clear();
  leads_.clear();
  known_instances_.clear();
  for (const StoreItem& item : items.items) {
    Apply(item);
  }
  for (const auto& [name, instance] : before) {
    // What was read before this process followed the instances may be old.
    if (!instances_.contains(name) &&
        (was_complete || known_instances_.contains(name))) {
      MarkMissing(instance);
    }
  }
  loaded_ = true;
  ReregisterIfMissing();
  UpdateFollowing();
  on_change_();
}

void LiveDirectory::ReplaceLeads(const StoreItems& items) {
  if (IsOutdated(items) || follows_instances_) {
    return;
  }
  RecordRevisionTime(items.revision);
  revision_ = items.revision;
  leads_.clear();
  for (const StoreItem& item : items.items) {
    Apply(item);
  }
  loaded_ = true;
  UpdateFollowing();
  on_change_();
}

void LiveDirectory::ReregisterIfMissing() {
  // The store may remove keys without reporting the lease as ended. A list that
  // was read before the registration does not show that.
  if (lease_ && registered_since_ && is_complete_ &&
      revision_ >= registered_revision_ && !instances_.contains(self_.name)) {
    RegisterAgain();
  }
}

void LiveDirectory::RegisterAgain() {
  registered_since_.reset();
  log_.Write("warn", "live",
             "instance key is missing from the store; registering again",
             Json::object());
  Register();
}

size_t LiveDirectory::CountOwnLeads() const {
  return std::count_if(leads_.begin(), leads_.end(), [this](const auto& lead) {
    return lead.second.instance == self_.name;
  });
}

void LiveDirectory::SetLead(const CellLead& lead) {
  newest_leads_[lead.cell] = lead;
  leads_[lead.cell] = lead;
  UpdateFollowing();
}

void LiveDirectory::RemoveLead(const std::string& cell) {
  leads_.erase(cell);
}

}  // namespace doorwood
