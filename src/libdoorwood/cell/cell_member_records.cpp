// SPDX-License-Identifier: Apache-2.0

// What a leader records of its workers for a successor: how long each has been
// out of contact, and which tasks may run on those that get no new work.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// The key is written as a whole. To bound the load on a small machine's network
// link, the next write waits this long for each worker and each task in the
// value.
constexpr std::chrono::microseconds kWriteDelayPerEntry{250};

size_t CountTasks(const KnownWorker& worker) {
  return worker.tasks ? worker.tasks->size() : 0;
}

size_t CountNameBytes(const KnownWorker& worker) {
  constexpr size_t kQuotesAndComma = 3;
  size_t bytes = 0;
  if (worker.tasks) {
    for (const std::string& task : *worker.tasks) {
      bytes += task.size() + kQuotesAndComma;
    }
  }
  return bytes;
}

// If the task names exceed `most_bytes`, drops the lists of the workers with
// the most names: any task may then run there.
void LimitNameBytes(size_t most_bytes, std::vector<KnownWorker>* workers) {
  std::vector<std::pair<size_t, KnownWorker*>> fewest_first;
  for (KnownWorker& worker : *workers) {
    fewest_first.emplace_back(CountNameBytes(worker), &worker);
  }
  std::stable_sort(
      fewest_first.begin(), fewest_first.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  size_t total = 0;
  for (const auto& [bytes, worker] : fewest_first) {
    total += bytes;
    if (total > most_bytes) {
      worker->tasks.reset();
    }
  }
}

}  // namespace

std::vector<KnownWorker> CellLeader::DescribeMembers() const {
  std::vector<KnownWorker> known;
  known.reserve(members_.size());
  for (const auto& [id, member] : members_) {
    KnownWorker worker;
    worker.id = id;
    worker.address = member.session->life().address;
    worker.unheard = UnheardFor(member);
    worker.tasks = TasksToRecord(member);
    known.push_back(std::move(worker));
  }
  LimitNameBytes(options_.most_name_bytes, &known);
  return known;
}

void CellLeader::RecordMembers() {
  std::vector<KnownWorker> known = DescribeMembers();
  size_t entries = known.size();
  for (const KnownWorker& worker : known) {
    Member& member = members_.at(worker.id);
    entries += CountTasks(worker);
    if (worker.unheard > Millis(0)) {
      member.told_unheard = true;
      member.heard_recorded = false;
      member.session->SetExtendUntil(Instant{});
    }
    member.told_tasks = member.told_tasks || worker.tasks.has_value();
    member.noted = worker;
    member.noted_closed =
        IsUnheard(member) ? worker.tasks.has_value() : GetsNothingNew(member);
    member.noted_version =
        IsUnheard(member) ? kNeverNoted : member.session->tasks_version();
  }
  next_tasks_record_ = executor_.Now() + entries * kWriteDelayPerEntry;
  journal_.SetWorkers(std::move(known));
}

// A successor that cannot reach a worker holds back every task that may run
// there. For a worker that gets no new work, those tasks are known and can only
// become fewer: a task whose end there is recorded need not be held back.
std::optional<std::vector<std::string>> CellLeader::TasksToRecord(
    const Member& member) const {
  if (IsUnheard(member) || HasMoreToTell(member)) {
    return member.tasks_before;
  }
  if (!GetsNothingNew(member)) {
    return std::nullopt;
  }
  return member.session->TasksToReckonWith();
}

bool CellLeader::GetsNothingNew(const Member& member) const {
  const WorkerSession& session = *member.session;
  const Instant now = executor_.Now();
  // Nothing was started on a worker that this leader has not contacted, and
  // what earlier leaders may have left there is accounted for.
  if (session.dead() || IsLongSilent(member) || !session.fenced()) {
    return true;
  }
  if (member.listed) {
    return session.life().draining;
  }
  const bool gone = member.unlisted_since != Instant{} &&
                    now - member.unlisted_since >= options_.unlisted_patience;
  return gone || member.told_tasks;
}

bool CellLeader::HasNewsToRecord(const Member& member) const {
  if (IsUnheard(member)) {
    return false;
  }
  const bool closed = GetsNothingNew(member);
  const bool changed = member.session->tasks_version() != member.noted_version;
  return closed != member.noted_closed || (closed && changed);
}

void CellLeader::RecordTasks() {
  if (!IsSure() || executor_.Now() < next_tasks_record_) {
    return;
  }
  const bool needs_record = std::any_of(
      members_.begin(), members_.end(),
      [this](const auto& entry) { return HasNewsToRecord(entry.second); });
  if (needs_record) {
    RecordMembers();
  }
}

// If another incarnation answers at the recorded address, a successor takes the
// worker to be dead. That address therefore has to be one at which this
// incarnation has answered.
bool CellLeader::IsRecorded(const Member& member) {
  return member.recorded_at == member.session->life().address;
}

bool CellLeader::IsUnheard(const Member& member) const {
  return member.from_takeover && !accounted_ && !member.session->fenced() &&
         !member.session->proved_dead();
}

bool CellLeader::IsLongSilent(const Member& member) const {
  const WorkerSession& session = *member.session;
  return session.fenced() && session.look_failed() &&
         executor_.Now() - session.promised_at() >= options_.silence_recorded;
}

Millis CellLeader::UnheardFor(const Member& member) const {
  if (IsUnheard(member)) {
    return member.unheard_before + LedFor();
  }
  if (!IsLongSilent(member)) {
    return Millis(0);
  }
  // A successor counts from when it leads, as if orders had been sent until
  // then and for `unsure_patience` after that. This leader sends no more orders
  // there.
  return std::chrono::duration_cast<Millis>(executor_.Now() -
                                            member.session->promised_at()) +
         options_.unsure_patience;
}

Millis CellLeader::LedFor() const {
  return std::chrono::duration_cast<Millis>(executor_.Now() - led_since_);
}

// Lets the next leader skip a wait that has already passed. Without the record,
// with three workers permanently lost, two takeovers in ten seconds held all
// stopped long-running tasks back for 18 s; with workers lost 6 s before their
// leader, a single takeover held them back for 20 s.
void CellLeader::RecordUnheard() {
  const Instant now = executor_.Now();
  if (!IsSure() || now - unheard_recorded_ < options_.unheard_interval) {
    return;
  }
  unheard_recorded_ = now;
  // If nothing runs there, the time makes no difference to a successor.
  const bool any =
      std::any_of(members_.begin(), members_.end(), [this](const auto& entry) {
        const Member& member = entry.second;
        return IsUnheard(member) ||
               (IsLongSilent(member) && !member.session->runs().empty());
      });
  if (any) {
    RecordMembers();
  }
}

void CellLeader::OnWorkersRecorded(const std::vector<KnownWorker>& workers) {
  bool changed = false;
  for (const KnownWorker& worker : workers) {
    const auto found = members_.find(worker.id);
    if (found == members_.end()) {
      continue;
    }
    Member& member = found->second;
    // A record in the store also applies to a worker that was added after the
    // record was sent.
    member.told_tasks = member.told_tasks || worker.tasks.has_value();
    if (worker.unheard > Millis(0) && !member.told_unheard) {
      member.told_unheard = true;
      TellSession(member, OrdersUntil());
    }
    // A newer record that states otherwise may be under way.
    const KnownWorker& newest = member.noted;
    if (!worker.tasks && !newest.tasks && member.told_tasks) {
      member.told_tasks = false;
      changed = true;
    }
    if (worker.unheard == Millis(0) && newest.unheard == Millis(0) &&
        member.told_unheard) {
      member.told_unheard = false;
      TellSession(member, OrdersUntil());
      member.session->LookNow();
      changed = true;
    }
    if (member.recorded_at != worker.address) {
      member.recorded_at = worker.address;
      changed = true;
    }
  }
  if (changed) {
    WakeScheduler();
  }
}

}  // namespace doorwood
