// SPDX-License-Identifier: Apache-2.0

// The workers of a cell: which workers belong to it, and when they may get
// work.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

bool Differs(const std::string& known, const std::string& reported) {
  return !known.empty() && !reported.empty() && known != reported;
}

// Returns which field of a directory entry contradicts the known incarnation;
// empty: none. An id names one incarnation of a worker, and none of these
// fields changes within an incarnation, so such an entry was written by another
// process.
std::string_view FindContradiction(const WorkerLife& known,
                                   const WorkerLife& reported) {
  if (Differs(known.address, reported.address)) {
    return "another address";
  }
  if (Differs(known.service, reported.service)) {
    return "another service";
  }
  if (Differs(known.data_centre, reported.data_centre)) {
    return "another data centre";
  }
  return Differs(known.machine, reported.machine) ? "another machine" : "";
}

}  // namespace

void CellLeader::ReadWorkers() {
  if (reading_workers_) {
    return;
  }
  reading_workers_ = true;
  directory_.ListWorkers(
      [this, generation = generation_](std::error_code error,
                                       std::vector<WorkerLife> lives) {
        reading_workers_ = false;
        if (generation != generation_ || !leading() || error) {
          return;
        }
        workers_read_ = executor_.Now();
        OnWorkers(std::move(lives));
      });
}

void CellLeader::ReadClosed() {
  if (reading_closed_) {
    return;
  }
  reading_closed_ = true;
  directory_.ListClosed(
      [this, generation = generation_](std::error_code error,
                                       std::set<std::string> closed) {
        if (generation != generation_ || !leading()) {
          return;
        }
        reading_closed_ = false;
        if (!error) {
          closed_read_ = executor_.Now();
          OnClosed(std::move(closed));
        }
      });
}

void CellLeader::OnClosed(std::set<std::string> closed) {
  if (closed != closed_) {
    log_.Write("info", "cell", "data centres closed to new work",
               {{"cell", options_.cell}, {"before", closed_}, {"now", closed}});
    closed_ = std::move(closed);
  }
  WakeScheduler();
}

bool CellLeader::IsClosed(const Member& member) const {
  return closed_.contains(member.session->life().data_centre);
}

bool CellLeader::IsClosedEverywhere(const std::string& queue) const {
  const auto known = known_queues_.find(queue);
  if (closed_.empty() || known == known_queues_.end()) {
    return false;
  }
  bool any = false;
  for (const auto& [id, member] : members_) {
    if (member.session->life().service == known->second.service) {
      any = true;
      if (!IsClosed(member)) {
        return false;
      }
    }
  }
  return any;
}

void CellLeader::OnWorkers(std::vector<WorkerLife> lives) {
  for (auto& [id, member] : members_) {
    member.listed = false;
    member.doubted = false;
  }
  bool to_record = false;
  for (const WorkerLife& life : lives) {
    const auto found = members_.find(life.id);
    if (found != members_.end()) {
      TakeEntry(life, &found->second);
      to_record |=
          found->second.noted.address != found->second.session->life().address;
    } else if (MayJoin(life)) {
      AddMember(life, /*from_takeover=*/false);
      to_record = true;
    }
  }
  ForgetOver(lives);
  NoteUnlisted();
  DropMembers();
  if (to_record) {
    RecordMembers();
  }
  EvacuateLeaving();
  WakeScheduler();
}

// Only the worker itself proves that it is gone, by an expired lease or by
// another incarnation's answer. An entry that the worker did not write proves
// nothing. Its runs therefore continue, at the known address, and it gets no
// new work.
void CellLeader::TakeEntry(const WorkerLife& life, Member* member) {
  const WorkerLife& known = member->session->life();
  if (life.readable) {
    // A session that was never answered uses the address at once; any other
    // session uses it once this incarnation has answered there.
    WorkerLife readdressed = known;
    readdressed.address = life.address;
    member->session->Update(readdressed);
  }
  const bool usable = life.readable && IsOfCell(life.data_centre);
  const std::string_view doubt =
      usable ? FindContradiction(known, life) : "unreadable";
  member->unlisted_since = Instant{};
  member->doubted = !doubt.empty();
  if (member->doubted) {
    refused_.Note(life.id, doubt);
    return;
  }
  if (life.draining && !known.draining) {
    log_.Write("info", "cell", "a worker is leaving",
               {{"worker", life.id}, {"remaining_ms", life.remaining.count()}});
  }
  member->session->Update(life);
  member->listed = true;
}

bool CellLeader::MayJoin(const WorkerLife& life) {
  if (!life.readable || !IsOfCell(life.data_centre)) {
    return false;
  }
  if (!IsNamedService(life.service)) {
    refused_.Note(life.id, "no queue names its service");
    return false;
  }
  const auto over = over_.find(life.id);
  return over == over_.end() || over->second != life.address;
}

bool CellLeader::IsNamedService(const std::string& service) const {
  return std::any_of(known_queues_.begin(), known_queues_.end(),
                     [&service](const auto& entry) {
                       return entry.second.service == service;
                     });
}

void CellLeader::ForgetOver(const std::vector<WorkerLife>& lives) {
  if (over_.empty()) {
    return;
  }
  std::set<std::string_view> listed;
  for (const WorkerLife& life : lives) {
    listed.insert(life.id);
  }
  std::erase_if(over_, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
}

void CellLeader::NoteUnlisted() {
  for (auto& [id, member] : members_) {
    if (!member.listed && !member.doubted &&
        member.unlisted_since == Instant{}) {
      member.unlisted_since = executor_.Now();
      log_.Write("info", "cell", "a worker is no longer listed",
                 {{"worker", id}, {"runs", member.session->runs().size()}});
    }
  }
}

void CellLeader::AddMember(const WorkerLife& life, bool from_takeover) {
  Member member;
  member.session = std::make_shared<WorkerSession>(
      executor_, workers_, log_, *this, options_.sessions, life,
      static_cast<uint64_t>(epoch_));
  member.listed = !from_takeover;
  // A worker that only the directory names may still run what an earlier leader
  // ordered, but not a leader of this cell: those record a worker under the
  // workers' key before they send it orders.
  member.from_takeover = from_takeover;
  TellSession(member, OrdersUntil());
  if (from_takeover) {
    member.noted.address = life.address;
    member.recorded_at = life.address;
    member.session->TrustAddress();
  }
  const auto session = member.session;
  members_.emplace(life.id, std::move(member));
  session->Open();
}

void CellLeader::DropMembers() {
  bool dropped = false;
  for (auto it = members_.begin(); it != members_.end();) {
    const WorkerSession& session = *it->second.session;
    const bool over = session.dead() || !it->second.listed;
    // A successor still has to learn of an end that is not recorded.
    const bool still_counts = !session.runs().empty() ||
                              session.has_unrecorded_ends() ||
                              IsUnheard(it->second);
    if (over && !still_counts) {
      log_.Write("info", "cell", "a worker is gone",
                 {{"worker", it->first}, {"dead", session.dead()}});
      if (session.dead()) {
        over_[it->first] = session.life().address;
      }
      it->second.session->Close();
      trust_.Forget(it->first);
      it = members_.erase(it);
      dropped = true;
    } else {
      ++it;
    }
  }
  if (dropped) {
    RecordMembers();
  }
}

}  // namespace doorwood
