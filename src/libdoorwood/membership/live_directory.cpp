// SPDX-License-Identifier: Apache-2.0

#include "doorwood/live_directory.h"

#include <algorithm>
#include <utility>

#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr std::string_view kInstanceFolder = "instance/";
constexpr std::string_view kLeadFolder = "lead/";
// Whoever registers leaves a key there that no lease takes away: a process that
// starts later learns from it whom the store may serve again.
constexpr std::string_view kSeenFolder = "seen/";
// Longer than anybody waits for an unheard worker.
constexpr Millis kReachedKept{30'000};
constexpr size_t kMostReached = 256;
// An instance reckons with having been forgotten after this part of the time
// after which others forget it.
constexpr int kForgottenMargin = 2;

std::string EncodeInstance(const LiveInstance& instance) {
  return Json{{"data_centre", instance.data_centre},
              {"address", instance.address},
              {"cpu_share", instance.cpu_share},
              {"leaving", instance.leaving},
              {"agreeing_since", instance.agreeing_since}}
      .dump();
}

std::optional<LiveInstance> DecodeInstance(const std::string& name,
                                           const StoreItem& item) {
  if (item.gone || !IsPlainWord(name)) {
    return std::nullopt;
  }
  return DecodeObject(item.value, [&](const Json& json) {
    LiveInstance instance{name,
                          ReadText(json, "data_centre"),
                          ReadText(json, "address"),
                          json.value("cpu_share", 1.0),
                          json.value("leaving", false),
                          ReadWholeOr(json, "agreeing_since", 0)};
    if (instance.agreeing_since == 0) {
      instance.agreeing_since =
          item.revision;  // it registers for the first time
    }
    if (!IsPlainWord(instance.address)) {
      throw FieldError("address");
    }
    return instance;
  });
}

std::optional<CellLead> DecodeLead(const std::string& cell,
                                   const StoreItem& item) {
  if (item.gone || !IsPlainWord(cell)) {
    return std::nullopt;
  }
  return DecodeObject(item.value, [&](const Json& json) {
    CellLead lead{cell, ReadText(json, "instance"), ReadText(json, "address"),
                  item.created, json.at("nonce").get<uint64_t>()};
    if (!json.at("nonce").is_number_unsigned() || !IsPlainWord(lead.address)) {
      throw FieldError("nonce");
    }
    return lead;
  });
}

}  // namespace

std::string SeenKey(std::string_view instance) {
  return std::string(kLivePrefix) + std::string(kSeenFolder) +
         std::string(instance);
}

std::string InstanceKey(std::string_view instance) {
  return std::string(kLivePrefix) + std::string(kInstanceFolder) +
         std::string(instance);
}

std::string UnheardKey(std::string_view cell) {
  return std::string(kLivePrefix) + "unheard/" + std::string(cell);
}

std::string LeadKey(std::string_view cell) {
  return std::string(kLivePrefix) + std::string(kLeadFolder) +
         std::string(cell);
}

LiveDirectory::LiveDirectory(Executor& executor,
                             RecordStore& store,
                             StoreHearing& hearing,
                             EventLog& log,
                             const LiveOptions& options,
                             LiveInstance self)
    : executor_(executor),
      store_(store),
      hearing_(hearing),
      log_(log),
      options_(options),
      self_(std::move(self)) {}

void LiveDirectory::Start(ChangeHandler on_change) {
  on_change_ = std::move(on_change);
  Grant();
  List();
  Watch();
  AskOthers();
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
    store_.EndLease(*lease_, [](std::error_code, int64_t) {});
    lease_.reset();
  }
}

bool LiveDirectory::IsLeaseSure() const {
  return lease_.has_value() && executor_.Now() < lease_sure_until_;
}

bool LiveDirectory::IsDeaf(Instant now) const {
  return now - store_heard_at_ >= options_.silence_to_ask;
}

// --- The own lease ---

void LiveDirectory::Grant() {
  if (stopped_) {
    return;
  }
  const Instant sent = executor_.Now();
  store_.GrantLease(
      options_.lifetime, [this, sent](std::error_code error, int64_t lease) {
        if (stopped_) {
          return;
        }
        if (error) {
          executor_.Schedule(options_.retry_pause, [this] { Grant(); });
          return;
        }
        lease_ = lease;
        failing_since_ = Instant{};
        store_heard_at_ = executor_.Now();
        lease_sure_until_ = sent + options_.lifetime;
        log_.Write("info", "live", "lease granted",
                   {{"lease", lease}, {"own_leads", CountOwnLeads()}});
        Register();
        executor_.Schedule(options_.keep_interval, [this] { Keep(); });
        on_change_();
      });
}

void LiveDirectory::Register() {
  StoreTransaction transaction;
  self_.agreeing_since = agreeing_since_;
  transaction.puts.push_back(
      {InstanceKey(self_.name), EncodeInstance(self_), *lease_});
  transaction.puts.push_back({SeenKey(self_.name), EncodeInstance(self_), 0});
  const int64_t lease = *lease_;
  store_.Commit(
      transaction, [this, lease, agreements = agreements_](
                       std::error_code error, const StoreCommit& commit) {
        // One that was sent before this instance agreed to anything tells
        // leaders nothing of that.
        if (stopped_ || lease_ != lease || agreements != agreements_) {
          return;
        }
        if (error) {
          registered_since_.reset();
        }
        if (error == make_error_code(KvErrc::kNotFound)) {
          Lose("the store does not know the lease");
        }
        if (!error) {
          NoteRegistered(commit.revision);
        }
      });
}

// A leader forgets an instance whose key was gone for long, and asks it no
// more.
void LiveDirectory::NoteRegistered(int64_t revision) {
  const Instant now = executor_.Now();
  const bool was_forgotten =
      now - registered_at_ > options_.gone_counts / kForgottenMargin;
  if (agreeing_since_ == 0 || was_forgotten) {
    agreeing_since_ = revision;
  }
  registered_at_ = now;
  if (!registered_since_) {
    registered_since_ = now;
    on_change_();
  }
}

bool LiveDirectory::Agree() {
  if (!IsDeaf(executor_.Now())) {
    return false;
  }
  ++agreements_;
  agreeing_since_ = 0;
  registered_since_.reset();  // registers again once the store answers
  return true;
}

int64_t LiveDirectory::NewestAgreeingSince() const {
  int64_t newest = 0;
  for (const auto& [name, instance] : instances_) {
    newest = std::max(newest, instance.agreeing_since);
  }
  return newest;
}

int64_t LiveDirectory::LastEpoch(const std::string& cell) const {
  const auto known = last_epochs_.find(cell);
  return known == last_epochs_.end() ? 0 : known->second;
}

void LiveDirectory::Keep() {
  if (stopped_ || !lease_) {
    return;
  }
  const Instant sent = executor_.Now();
  const int64_t lease = *lease_;
  store_.KeepLease(lease, [this, sent, lease](std::error_code error, int64_t) {
    if (stopped_ || lease_ != lease) {
      return;
    }
    if (error == make_error_code(KvErrc::kNotFound)) {
      store_heard_at_ = executor_.Now();
      Lose("the store does not know the lease");
      return;
    }
    if (error && failing_since_ == Instant{}) {
      failing_since_ = sent;
    }
    if (!error) {
      failing_since_ = Instant{};
      hears_at_.clear();  // told during a failure that is over
      store_heard_at_ = executor_.Now();
      lease_sure_until_ = sent + options_.lifetime;
    }
    if (!error && registered_since_) {
      registered_at_ = sent;
    }
    if (!error && !registered_since_) {
      Register();
    }
    executor_.Schedule(error ? options_.retry_pause : options_.keep_interval,
                       [this] { Keep(); });
  });
}

void LiveDirectory::Lose(std::string_view reason) {
  log_.Write("warn", "live", "lease lost",
             {{"reason", reason},
              {"lease", lease_.value_or(0)},
              {"own_leads", CountOwnLeads()}});
  lease_.reset();
  registered_since_.reset();
  // The leads went with the lease; what is granted next holds none of them.
  std::erase_if(leads_, [this](const auto& lead) {
    return lead.second.instance == self_.name;
  });
  on_change_();
  Grant();
}

void LiveDirectory::NoteReached(int64_t revision) {
  const Instant now = executor_.Now();
  while (!reached_.empty() && (now - reached_.front().second > kReachedKept ||
                               reached_.size() >= kMostReached)) {
    reached_.pop_front();
  }
  if (reached_.empty() || revision > reached_.back().first) {
    reached_.emplace_back(revision, now);
  }
}

std::optional<Instant> LiveDirectory::ReachedBefore(int64_t revision) const {
  const auto found = std::find_if(
      reached_.begin(), reached_.end(),
      [revision](const auto& entry) { return entry.first >= revision; });
  return found == reached_.end() ? std::nullopt : std::optional(found->second);
}

// --- The others ---

void LiveDirectory::Refresh() {
  List();
}

void LiveDirectory::List() {
  if (stopped_ || listing_) {
    return;
  }
  listing_ = true;
  store_.List(std::string(kLivePrefix),
              [this](std::error_code error, const StoreItems& items) {
                listing_ = false;
                if (stopped_) {
                  return;
                }
                if (!error) {
                  store_heard_at_ = executor_.Now();
                  Replace(items);
                }
              });
}

void LiveDirectory::Watch() {
  if (stopped_) {
    return;
  }
  if (!known_) {
    List();
    executor_.Schedule(options_.retry_pause, [this] { Watch(); });
    return;
  }
  const Instant sent = executor_.Now();
  store_.Watch(std::string(kLivePrefix), at_, options_.watch_wait,
               [this, sent](std::error_code error, const StoreItems& events) {
                 if (stopped_) {
                   return;
                 }
                 if (error) {
                   List();
                   executor_.Schedule(options_.retry_pause,
                                      [this] { Watch(); });
                   return;
                 }
                 store_heard_at_ = executor_.Now();
                 NoteReached(events.at);
                 if (events.at > at_) {
                   at_ = events.at;
                   for (const StoreItem& item : events.items) {
                     Apply(item);
                   }
                   ReturnIfGone();
                 }
                 if (!events.items.empty()) {
                   on_change_();
                 }
                 if (executor_.Now() - sent >= options_.list_interval) {
                   List();
                 }
                 Watch();
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
      gone_.erase(name);
    } else if (const auto known = instances_.extract(name)) {
      NoteGone(known.mapped());
    }
    return;
  }
  if (rest.starts_with(kSeenFolder)) {
    ApplySeen(std::string(rest.substr(kSeenFolder.size())), item);
    return;
  }
  if (rest.starts_with(kLeadFolder)) {
    const std::string cell(rest.substr(kLeadFolder.size()));
    const auto known = leads_.find(cell);
    if (known != leads_.end() && item.revision < known->second.epoch) {
      return;  // tells of an earlier lead
    }
    if (auto lead = DecodeLead(cell, item)) {
      last_epochs_[cell] = lead->epoch;
      leads_[cell] = std::move(*lead);
    } else {
      leads_.erase(cell);
    }
  }
}

void LiveDirectory::ApplySeen(const std::string& name, const StoreItem& item) {
  const auto instance = DecodeInstance(name, item);
  if (!instance) {
    seen_.erase(name);
    return;
  }
  seen_[name] = item.revision;
  if (!instances_.contains(name)) {
    NoteGone(*instance);
  }
}

// It may be served again at any time, and lead, without this process hearing of
// it.
void LiveDirectory::NoteGone(const LiveInstance& instance) {
  if (instance.name != self_.name) {
    gone_.try_emplace(instance.name, GoneInstance{instance, executor_.Now()});
  }
}

void LiveDirectory::Replace(const StoreItems& items) {
  // Read before a lead that this process has won since.
  const bool too_old = std::any_of(
      leads_.begin(), leads_.end(),
      [&](const auto& entry) { return items.at < entry.second.epoch; });
  if (items.at < at_ || too_old) {
    return;
  }
  NoteReached(items.at);
  at_ = items.at;
  const auto before = std::move(instances_);
  instances_.clear();
  leads_.clear();
  seen_.clear();
  for (const StoreItem& item : items.items) {
    Apply(item);
  }
  for (const auto& [name, instance] : before) {
    if (!instances_.contains(name)) {
      NoteGone(instance);
    }
  }
  known_ = true;
  ReturnIfGone();
  on_change_();
}

void LiveDirectory::ReturnIfGone() {
  // The store may take keys away without a word about the lease.
  if (lease_ && registered_since_ && !instances_.contains(self_.name)) {
    registered_since_.reset();
    log_.Write("warn", "live", "own key is gone; registering again",
               Json::object());
    Register();
  }
}

size_t LiveDirectory::CountOwnLeads() const {
  return std::count_if(leads_.begin(), leads_.end(), [this](const auto& lead) {
    return lead.second.instance == self_.name;
  });
}

void LiveDirectory::SetLead(const CellLead& lead) {
  last_epochs_[lead.cell] = lead.epoch;
  leads_[lead.cell] = lead;
}

void LiveDirectory::DropLead(const std::string& cell) {
  leads_.erase(cell);
}

}  // namespace doorwood
