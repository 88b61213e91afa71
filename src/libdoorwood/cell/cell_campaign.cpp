// SPDX-License-Identifier: Apache-2.0

// Becoming a cell's leader: campaigning for the lead key, and reading the
// records of earlier leaders.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// Added to a task's recorded run number at a takeover. The leader that wrote
// the record may have started further runs without recording them. New run
// numbers differ from those of up to this many such runs. Two later leaders
// that read the same record may still use the same numbers.
constexpr uint32_t kRunNumberGap = 16;

// Order of the campaigns in a deployment whose instances do not know each
// other: equal instances campaign in one of these slots, chosen by name, and
// weaker ones after them. A slot is longer than the store takes to answer and
// to tell the others.
constexpr int kCampaignSlots = 16;
constexpr Millis kCampaignSlot{10};
constexpr Millis kWeakerCampaignDelay{250};
// The same on the first start: machines start within 0.3 s of each other, and
// the strongest may register last.
constexpr Millis kWeakerFirstCampaignDelay{700};
// Of instances that may not rely on recorded placements, others being equal.
constexpr Millis kUnreliablePlacementsDelay{60};

}  // namespace

bool CellLeader::MayCampaign() const {
  return stage_ == Stage::kStandby && table_ && live_.loaded() &&
         live_.IsLeaseValid() && live_.registered_since() &&
         !live_.self().leaving && BelongsToCell(live_.self().data_centre) &&
         !live_.leads().contains(options_.cell);
}

bool CellLeader::BelongsToCell(std::string_view data_centre) const {
  return options_.data_centre.empty() || options_.data_centre == data_centre;
}

// Among many instances, the order is by class and by slot, so that the wait has
// a bound whatever their number.
Millis CellLeader::CampaignDelayByClass() const {
  const LiveInstance& self = live_.self();
  double strongest = live_.NewestKnownShare(options_.cell);
  for (const auto& [name, other] : live_.instances()) {
    if (BelongsToCell(other.data_centre)) {
      strongest = std::max(strongest, other.cpu_share);
    }
  }
  const auto slot =
      static_cast<int>(std::hash<std::string>{}(self.name) % kCampaignSlots);
  Millis delay = slot * kCampaignSlot;
  if (self.cpu_share < strongest) {
    delay += live_.NewestKnownEpoch(options_.cell) == 0
                 ? kWeakerFirstCampaignDelay
                 : kWeakerCampaignDelay;
  }
  const int64_t agreement = live_.no_agreement_since();
  if (agreement == 0 || agreement > live_.NewestKnownEpoch(options_.cell)) {
    delay += kUnreliablePlacementsDelay;
  }
  return delay;
}

Instant CellLeader::EarliestCampaignTime() const {
  if (!live_.follows_instances()) {
    return std::max(vacant_since_, EndOfRegistrations()) +
           CampaignDelayByClass();
  }
  // Instances on stronger machines come first; among equally strong ones, those
  // that may rely on recorded placements; among otherwise equal ones, by name.
  Millis delay{0};
  const LiveInstance& self = live_.self();
  const int64_t last_epoch = live_.NewestKnownEpoch(options_.cell);
  const bool must_ignore_placements = live_.no_agreement_since() == 0 ||
                                      live_.no_agreement_since() > last_epoch;
  for (const auto& [name, other] : live_.instances()) {
    if (!BelongsToCell(other.data_centre) || other.leaving ||
        name == self.name) {
      continue;
    }
    const bool stronger = other.cpu_share > self.cpu_share;
    const bool equal = other.cpu_share == self.cpu_share;
    const bool other_must_ignore_placements =
        other.no_agreement_since > last_epoch;
    const bool ranks_first =
        must_ignore_placements == other_must_ignore_placements
            ? name < self.name
            : must_ignore_placements;
    if (stronger) {
      delay += options_.campaign_delay_per_stronger;
    } else if (equal && ranks_first) {
      delay += options_.campaign_delay_per_equal;
    }
  }
  return std::max(vacant_since_ + delay, EndOfRegistrations());
}

// If all instances register at once, on the first start or after a store outage
// that removed their keys, the first one does not know the others yet. One that
// knows the others from before, none of them stronger, need not wait for them.
Instant CellLeader::EndOfRegistrations() const {
  const double own_share = live_.self().cpu_share;
  const bool knows_others = live_.KnowsInstance([&](const LiveInstance& other) {
    return other.name != live_.self().name;
  });
  const bool knows_stronger =
      live_.KnowsInstance([&](const LiveInstance& other) {
        return BelongsToCell(other.data_centre) && other.cpu_share > own_share;
      });
  const bool registered_for_long =
      executor_.Now() - live_.first_registered_at() >=
      options_.campaign_registration_delay;
  if (registered_for_long && knows_others && !knows_stronger) {
    return Instant{};
  }
  return std::max(*live_.registered_since(), live_.store_regained_at()) +
         options_.campaign_registration_delay;
}

void CellLeader::OnLiveChange() {
  const auto lead = live_.leads().find(options_.cell);
  const bool led = stage_ == Stage::kLeading || stage_ == Stage::kReading;
  NoteLeaderKnown(led || lead != live_.leads().end());
  if (led && lead != live_.leads().end() && lead->second.epoch > epoch_) {
    StepDown("another instance leads");
    return;
  }
  if (led && live_.loaded() && lead == live_.leads().end()) {
    StepDown("the lead key no longer exists");
  }
  // The key may be from any campaign of this process: a write that got no
  // answer may take effect seconds later.
  const bool own_key =
      lead != live_.leads().end() && lead->second.nonce == nonce_;
  const bool newer = own_key && lead->second.epoch > epoch_;
  if (newer && stage_ == Stage::kStandby) {
    OnCampaignWon(lead->second.epoch);  // The answer to the write was lost.
    return;
  }
  if (newer && stage_ == Stage::kShutDown) {
    epoch_ = lead->second.epoch;
    log_.Write("info", "cell",
               "releasing a lead that was taken during the shutdown",
               {{"cell", options_.cell}, {"epoch", epoch_}});
    ReleaseLeadKey();
    return;
  }
  if (own_key && stage_ == Stage::kStandby) {
    ReleaseLeadKey();  // The key is left from a term that has ended.
    return;
  }
  if (lead != live_.leads().end() && stage_ == Stage::kStandby &&
      IsOfEarlierProcess(lead->second)) {
    RemoveLeadOfEarlierProcess(lead->second);
    return;
  }
  CheckVacancy();
  ScheduleCampaign();
}

void CellLeader::NoteLeaderKnown(bool known) {
  const Instant now = executor_.Now();
  if (!known && without_leader_since_ == Instant{}) {
    without_leader_since_ = now;
  } else if (known && without_leader_since_ != Instant{}) {
    counters_.without_leader +=
        std::chrono::duration_cast<Millis>(now - without_leader_since_);
    without_leader_since_ = Instant{};
  }
}

// The delay for the rank counts from when this instance may campaign for the
// vacant lead. If it counted while another instance led, this instance could
// campaign before stronger ones at the next vacancy.
void CellLeader::ScheduleCampaign() {
  if (campaign_timer_ != 0) {
    executor_.Cancel(campaign_timer_);
    campaign_timer_ = 0;
  }
  if (!MayCampaign()) {
    vacant_since_ = Instant{};
    return;
  }
  const Instant now = executor_.Now();
  const bool first = vacant_since_ == Instant{};
  if (first) {
    vacant_since_ = now;
  }
  const Millis left = std::chrono::ceil<Millis>(EarliestCampaignTime() - now);
  if (first) {
    log_.Write("info", "cell", "no leader; campaigning after a delay",
               {{"cell", options_.cell},
                {"delay_ms", left.count()},
                {"instances", live_.instances().size()}});
  }
  if (left <= Millis(0)) {
    Campaign();
    return;
  }
  campaign_timer_ = executor_.Schedule(left, [this] {
    campaign_timer_ = 0;
    ScheduleCampaign();
  });
}

void CellLeader::Campaign() {
  stage_ = Stage::kCampaigning;
  predecessors_ = live_.NewestKnownEpochs(options_.cell);
  predecessors_.resize(std::min(predecessors_.size(), kMaxPredecessors));
  const uint64_t generation = ++generation_;
  StoreTransaction transaction;
  const std::string key = LeadKey(options_.cell);
  transaction.expected.push_back({key, 0});
  transaction.puts.push_back({key, EncodeLead(OwnLead(0)), *live_.lease()});
  store_.Commit(transaction, [this, generation](std::error_code error,
                                                const StoreCommit& commit) {
    if (generation != generation_) {
      return;
    }
    if (!error) {
      OnCampaignWon(commit.revision);
      return;
    }
    // If the write was not answered, it may have taken effect. The refreshed
    // live directory shows who holds the key.
    stage_ = Stage::kStandby;
    live_.Refresh();
    executor_.Schedule(options_.retry_pause, [this] { OnLiveChange(); });
  });
}

CellLead CellLeader::OwnLead(int64_t epoch) const {
  const LiveInstance& self = live_.self();
  return {options_.cell, self.name,     self.address,  epoch,
          nonce_,        predecessors_, self.cpu_share};
}

void CellLeader::OnCampaignWon(int64_t epoch) {
  stage_ = Stage::kReading;
  epoch_ = epoch;
  ++counters_.takeovers;
  live_.SetLead(OwnLead(epoch));
  log_.Write("info", "cell", "took the lead",
             {{"cell", options_.cell},
              {"epoch", epoch},
              {"lease", live_.lease().value_or(0)}});
  NoteLeaderKnown(true);
  proof_.Open(epoch);
  won_at_ = executor_.Now();
  early_workers_.reset();
  early_closed_.reset();
  reading_closed_ = false;
  ReadRecords();
  ReadWorkers();
  ReadClosedDataCentres();
}

void CellLeader::ReadRecords() {
  struct Reading {
    StoreItems items;
    size_t lists_left = 0;
    std::error_code error;
  };
  const uint64_t generation = ++generation_;
  const std::vector<std::string> prefixes = {
      ChainKey(options_.cell, 0), WorkersKey(options_.cell),
      PlanKey(options_.cell, ""), StateKey(options_.cell, "")};
  const auto reading = std::make_shared<Reading>();
  reading->lists_left = prefixes.size();
  for (const std::string& prefix : prefixes) {
    store_.List(prefix, [this, generation, reading](std::error_code error,
                                                    const StoreItems& list) {
      if (generation != generation_) {
        return;
      }
      reading->error = error ? error : reading->error;
      reading->items.items.insert(reading->items.items.end(),
                                  list.items.begin(), list.items.end());
      if (--reading->lists_left > 0) {
        return;
      }
      if (!reading->error) {
        Restore(reading->items);
        return;
      }
      executor_.Schedule(options_.retry_pause, [this, generation] {
        if (generation == generation_) {
          ReadRecords();
        }
      });
    });
  }
}

int CellLeader::RestoreJobs(const StoreItems& items) {
  const std::string plans = PlanKey(options_.cell, "");
  const std::string states = StateKey(options_.cell, "");
  jobs_.Clear();
  for (const StoreItem& item : items.items) {
    if (!item.key.starts_with(plans)) {
      continue;
    }
    auto plan = ParsePlan(item.value);
    if (plan) {
      jobs_.Add(std::move(*plan));
    } else {
      log_.Write("error", "cell",
                 "cannot parse a recorded job plan; ignoring the job",
                 {{"key", item.key}});
    }
  }
  for (const StoreItem& item : items.items) {
    if (!item.key.starts_with(states)) {
      continue;
    }
    Job* job = jobs_.Find(item.key.substr(states.size()));
    if (job == nullptr || !DecodeJobState(item.value, job)) {
      log_.Write("error", "cell",
                 "recorded job state has no job plan or cannot be parsed",
                 {{"key", item.key}});
    }
  }
  AddRecordedPolicies();
  UpdateRepetitions();
  const std::vector<Job*>& open = jobs_.OpenJobs();
  for (Job* job : open) {
    // Earlier leaders may also have started tasks of repetitions that no record
    // names, and that are due later by this process's clock.
    job->first_last_run = kRunNumberGap;
    job->new_tasks_may_still_run = true;
    ForEachTask(job, [this](Task* task) {
      task->last_run += kRunNumberGap;
      task->may_still_run = !task->done;
      task->recorded_run = task->counted_run;
      task->may_have_unconfirmed_crash = MayHaveUnconfirmedCrash(*task);
      task->ready_since = executor_.Now();
    });
  }
  return static_cast<int>(open.size());
}

std::map<size_t, ChainLink> CellLeader::ReadChains(
    const StoreItems& items,
    const StoreItem** newest) const {
  std::map<size_t, ChainLink> chains;
  *newest = nullptr;
  for (const StoreItem& item : items.items) {
    const auto lane = LaneOfChainKey(options_.cell, item.key);
    if (!lane) {
      continue;
    }
    chains[*lane] = {item.revision, DecodeSequence(item.value)};
    if (*newest == nullptr || item.revision > (*newest)->revision) {
      *newest = &item;
    }
  }
  return chains;
}

std::vector<KnownWorker> CellLeader::ReadKnownWorkers(
    const StoreItems& items) const {
  for (const StoreItem& item : items.items) {
    if (item.key == WorkersKey(options_.cell)) {
      std::vector<KnownWorker> known = DecodeWorkers(item.value);
      // Since this record was written, no leader has extended a lease on the
      // workers whose deductible wait in the record is above zero.
      const Millis age = AgeOfRecord(item.revision);
      for (KnownWorker& worker : known) {
        worker.deductible_wait +=
            worker.deductible_wait > Millis(0) ? age : Millis(0);
      }
      return known;
    }
  }
  return {};
}

Millis CellLeader::AgeOfRecord(int64_t revision) const {
  const auto reached_at = live_.TimeRevisionReached(revision);
  return reached_at
             ? std::chrono::duration_cast<Millis>(executor_.Now() - *reached_at)
             : Millis(0);
}

TakeoverWait::Evidence CellLeader::ReadWaitEvidence(
    const StoreItem* newest) const {
  TakeoverWait::Evidence evidence;
  if (newest == nullptr) {
    evidence.leases_bounded = true;
    return evidence;
  }
  // The epochs of the leaders since the one that wrote the batch, and its own.
  // Those in between have stored no batch, so they have ordered nothing. A
  // leader of a version that does not wait names no predecessors, so that
  // `predecessors_` reaches no further back than to it.
  const auto is_in_succession = [this](int64_t epoch) {
    return std::find(predecessors_.begin(), predecessors_.end(), epoch) !=
           predecessors_.end();
  };
  const Millis age = AgeOfRecord(newest->revision);
  evidence.leases_bounded =
      is_in_succession(DecodeBoundedLeasesEpoch(newest->value));
  evidence.since_newest_batch = age;
  evidence.since_outage_statement = std::chrono::duration_cast<Millis>(
      executor_.Now() - stated_store_unreachable_at_);
  const auto term_end = DecodeTermEnd(newest->value);
  if (term_end && is_in_succession(term_end->epoch)) {
    evidence.since_term_end = term_end->since_lease_extension + age;
  }
  return evidence;
}

void CellLeader::Restore(const StoreItems& items) {
  const StoreItem* newest = nullptr;
  const std::map<size_t, ChainLink> chains = ReadChains(items, &newest);
  std::vector<KnownWorker> known = ReadKnownWorkers(items);
  placements_valid_to_ =
      newest == nullptr ? 0 : DecodePlacementsValidTo(newest->value);
  placements_valid_at_takeover_ =
      live_.no_agreement_since() != 0 &&
      live_.no_agreement_since() <= placements_valid_to_;
  if (newest == nullptr || !KeepsToTaskLists(newest->value)) {
    // A leader of an older version may have started tasks on these workers that
    // the recorded task lists do not name.
    for (KnownWorker& worker : known) {
      worker.tasks.reset();
    }
  }
  led_since_ = executor_.Now();
  takeover_.Begin(ReadWaitEvidence(newest), led_since_);
  leases_bounded_ = takeover_.wait().evidence().leases_bounded;
  groups_kept_at_takeover_ = newest == nullptr || KeepsToGroups(newest->value);
  const int open = RestoreJobs(items);
  stage_ = Stage::kLeading;
  takeover_awaits_proof_ = false;
  unaccounted_.reset();
  last_tick_ = led_since_;
  unreachable_recorded_ = led_since_ + options_.first_unreachable_record -
                          options_.unreachable_record_interval;
  next_tasks_record_ = Instant{};
  workers_record_requested_ = false;
  wait_logged_ = Instant{};
  order_limits_.Begin();
  workers_read_ = Instant{};
  workers_read_began_ = Instant{};
  workers_reads_failed_ = 0;
  closed_read_ = Instant{};
  long_running_admission_.clear();
  trials_.Clear();
  mass_crash_detector_.Clear();
  unrecorded_placements_.clear();
  starts_awaiting_record_.clear();
  summarized_ = Instant{};
  ++generation_;
  const auto read_time =
      std::chrono::duration_cast<Millis>(led_since_ - won_at_);
  counters_.takeover_read_ms = static_cast<uint64_t>(read_time.count());
  const TakeoverWait::Evidence& evidence = takeover_.wait().evidence();
  log_.Write("info", "cell", "read the records of earlier leaders",
             {{"cell", options_.cell},
              {"epoch", epoch_},
              {"after_ms", read_time.count()},
              {"jobs", jobs_.jobs().size()},
              {"open", open},
              {"chains", chains.size()},
              {"workers", known.size()},
              {"places_hold_to", placements_valid_to_},
              {"planned_stop", evidence.since_term_end.has_value()},
              {"leases_bounded", evidence.leases_bounded},
              {"newest_batch_ms_ago", evidence.since_newest_batch.count()},
              {"waited_ms", takeover_.wait().DeductibleFor(Millis(0)).count()},
              {"full_wait_ms", takeover_.wait().full().count()},
              {"agreeing_since", live_.no_agreement_since()}});
  journal_.Open(epoch_, chains);
  journal_.Hold();
  ended_jobs_.Open();
  for (const auto& [id, job] : jobs_.jobs()) {
    if (job->outcome_recorded) {
      to_archive_.push_back(id);
    }
  }
  RestoreReliability(known);
  SortForContact(&known);
  for (const KnownWorker& worker : known) {
    WorkerIncarnation incarnation;
    incarnation.id = worker.id;
    incarnation.address = worker.address;
    incarnation.started_at = worker.started_at;
    // Gets no new work until the directory lists it.
    incarnation.draining = true;
    AddWorker(incarnation, &worker);
    CellWorker& cell_worker = cell_workers_.at(worker.id);
    cell_worker.group = worker.group;
    cell_worker.recorded_group = worker.group;
    groups_.Restore(worker.group);
    cell_worker.predecessors_waited =
        takeover_.wait().DeductibleFor(worker.deductible_wait);
    cell_worker.renewals_blocked = worker.deductible_wait > Millis(0);
    cell_worker.inherited_tasks = worker.tasks;
    cell_worker.starts_blocked = worker.tasks.has_value();
    cell_worker.submitted_record = worker;
    cell_worker.submitted_as_closed = worker.tasks.has_value();
  }
  jobs_to_spread_.clear();
  for (Job* job : jobs_.OpenJobs()) {
    if (!groups_kept_at_takeover_ && job->plan.worker_group != 0 &&
        job->spread == SpreadRecord::kConfined) {
      job->was_spread = true;
      jobs_to_spread_.insert(job->plan.id);
      SpreadJob(job);
    }
  }
  RecordDroppedPolicies();
  upkeep_waves_.Open(live_.self().name, epoch_);
  executor_.Schedule(options_.first_contact_time, [this, epoch = epoch_] {
    if (leading() && epoch == epoch_) {
      SendFirstBatchIfDue();
    }
  });
  ApplyEarlyReads();
  Tick();
}

void CellLeader::ApplyEarlyReads() {
  const Instant now = executor_.Now();
  if (early_closed_ && now - early_closed_->at < options_.closed_interval) {
    closed_read_ = early_closed_->at;
    OnClosedDataCentres(std::move(early_closed_->value));
  }
  if (early_workers_ && now - early_workers_->at < options_.list_interval) {
    workers_read_ = early_workers_->at;
    OnWorkers(std::move(early_workers_->value), early_workers_->began);
  }
  early_closed_.reset();
  early_workers_.reset();
}

}  // namespace doorwood
