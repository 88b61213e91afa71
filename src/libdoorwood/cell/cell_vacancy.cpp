// SPDX-License-Identifier: Apache-2.0

// Leads whose holder's process is gone although the lead key stands. Removing
// the key is safe also if the holder is wrongly taken for gone: every batch of
// a leader expects its key, workers refuse the older fencing token, and a
// successor waits for the orders that a leader may still give, as after a key
// that the store took away.

#include <algorithm>
#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

LeadCallResult ResultOf(std::error_code error) {
  if (error == make_error_code(PeerErrc::kRefused)) {
    return LeadCallResult::kRefused;
  }
  const bool no_answer = error == make_error_code(PeerErrc::kNotSent) ||
                         error == make_error_code(PeerErrc::kNoAnswer);
  return no_answer ? LeadCallResult::kNoAnswer : LeadCallResult::kAnswered;
}

}  // namespace

void CellLeader::OnLeaderCalled(const CellLead& lead,
                                Instant sent,
                                std::error_code error) {
  vacancy_.OnCall(lead.epoch, lead.address, ResultOf(error), sent);
  CheckVacancy();
}

void CellLeader::CheckVacancy() {
  const auto lead = live_.leads().find(options_.cell);
  if (stage_ != Stage::kStandby || lead == live_.leads().end() ||
      live_.self().leaving || lead->second.instance == live_.self().name) {
    return;
  }
  const Instant now = executor_.Now();
  const int64_t epoch = lead->second.epoch;
  if (const auto call_at = vacancy_.NextCallAt(epoch)) {
    if (*call_at > now) {
      ScheduleVacancyCheck(*call_at);
    } else if (!calling_leader_) {
      CallLeader(lead->second);
    }
    return;
  }
  const auto removal = vacancy_.RemovalTime(epoch, RankForRemoval(lead->second),
                                            live_.store_regained_at(), now);
  if (!removal || live_.IsStoreUnresponsive(now) || live_.is_store_failing()) {
    return;
  }
  if (*removal > now) {
    ScheduleVacancyCheck(*removal);
    return;
  }
  vacancy_.OnRemovalTried(now);
  ScheduleVacancyCheck(now + options_.vacancy.removal_retry);
  // The leader's registration ends with its lead, or others would wait for it
  // to campaign. A process that is there after all registers again.
  RemoveLeadKeyOf(epoch, {InstanceKey(lead->second.instance)},
                  "tried to remove the lead key of a leader that is gone",
                  [this](std::error_code error) {
                    counters_.leads_removed += error ? 0 : 1;
                  });
}

void CellLeader::ScheduleVacancyCheck(Instant at) {
  if (vacancy_timer_ != 0) {
    executor_.Cancel(vacancy_timer_);
  }
  vacancy_timer_ = executor_.Schedule(
      std::chrono::ceil<Millis>(at - executor_.Now()), [this] {
        vacancy_timer_ = 0;
        CheckVacancy();
      });
}

void CellLeader::CallLeader(const CellLead& lead) {
  calling_leader_ = true;
  live_.CallLeader(
      lead, [this, lead = lead, sent = executor_.Now()](std::error_code error) {
        calling_leader_ = false;
        OnLeaderCalled(lead, sent, error);
      });
}

int CellLeader::RankForRemoval(const CellLead& lead) const {
  const LiveInstance& self = live_.self();
  return static_cast<int>(std::count_if(
      live_.instances().begin(), live_.instances().end(),
      [&](const auto& entry) {
        const LiveInstance& other = entry.second;
        const bool comes_first =
            other.cpu_share > self.cpu_share ||
            (other.cpu_share == self.cpu_share && other.name < self.name);
        return comes_first && !other.leaving && other.name != lead.instance;
      }));
}

void CellLeader::RemoveLeadKeyOf(int64_t epoch,
                                 const std::vector<std::string>& also,
                                 const std::string& message,
                                 std::function<void(std::error_code)> done) {
  StoreTransaction transaction;
  transaction.expected.push_back({LeadKey(options_.cell), epoch});
  transaction.removes.push_back(LeadKey(options_.cell));
  transaction.removes.insert(transaction.removes.end(), also.begin(),
                             also.end());
  removing_lead_ = true;
  store_.Commit(transaction, [this, epoch, message, done = std::move(done)](
                                 std::error_code error, const StoreCommit&) {
    removing_lead_ = false;
    log_.Write("info", "cell", message,
               {{"cell", options_.cell},
                {"epoch", epoch},
                {"outcome", error ? error.message() : "removed"}});
    done(error);
    const auto lead = live_.leads().find(options_.cell);
    if (!error && lead != live_.leads().end() && lead->second.epoch == epoch) {
      live_.RemoveLead(options_.cell);
    }
    if (error) {
      live_.Refresh();
    } else {
      // Campaigns only after the delay for its rank: the strongest instance
      // that can reach the store should lead.
      OnLiveChange();
    }
  });
}

bool CellLeader::IsOfEarlierProcess(const CellLead& lead) const {
  return lead.instance == live_.self().name &&
         lead.address == live_.self().address && lead.nonce != nonce_;
}

// Only once this instance may campaign: it may be the strongest one, and the
// others would take the lead before it.
void CellLeader::RemoveLeadOfEarlierProcess(const CellLead& lead) {
  if (!live_.registered_since()) {
    return;
  }
  const Instant now = executor_.Now();
  const Instant may_campaign_at = EndOfRegistrations();
  if (may_campaign_at > now) {
    executor_.Schedule(std::chrono::ceil<Millis>(may_campaign_at - now),
                       [this] { OnLiveChange(); });
    return;
  }
  if (!removing_lead_) {
    RemoveLeadKeyOf(lead.epoch, {},
                    "tried to remove the lead key of an earlier process of "
                    "this instance",
                    [this](std::error_code error) {
                      counters_.leads_removed += error ? 0 : 1;
                    });
  }
}

}  // namespace doorwood
