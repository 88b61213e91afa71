// SPDX-License-Identifier: Apache-2.0

// The walk of cell_returning_walk_test with workers that are replaced: one
// joins, another says that it leaves or does not, serves on, and goes; its
// entry goes later. Leaders follow each other, planned or not, some twice at
// once, and stops of tasks take a while. Beside tasks that last there are short
// ones, so that also a task that is done and started again is seen.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "libdoorwood/cell/lasting_walk_fixture.h"

namespace doorwood {
namespace {

using fakes::WorldInstance;

constexpr int kSeeds = 400;
constexpr int kSteps = 70;
// Of answers that are lost, and of what is done late.
constexpr double kShare = 0.35;
constexpr unsigned kMostShortJobs = 40;
constexpr unsigned kMostLongJobs = 12;

class ReplacingWalk : public fakes::LastingWalk {
 public:
  explicit ReplacingWalk(uint64_t seed) : LastingWalk(seed) {
    for (const auto& [id, worker] : world_.workers()) {
      worker->model.SetStopTakes(Between(0, 3000));
    }
  }

  int replaced() const { return replaced_; }

 private:
  void Step() override {
    const uint64_t trouble = Pick(36);
    switch (trouble) {
      case 14:
      case 15:
      case 16:
      case 17:
        return ReplaceOne();
      case 18:
        return StopLeader();
      case 19:
        return KillLeader();
      case 20:
        StopLeader();
        world_.Run(Between(300, 3500));
        return KillLeader();
      case 21:
        LeaderOrOther().store_faults.late = kShare;
        return;
      case 22:
        LeaderOrOther().store_faults.answer_lost = kShare;
        return;
      case 23:
        LeaderOrOther().late_orders = kShare;
        LeaderOrOther().orders_late_by = Between(300, 6000);
        return;
      case 24:
        LeaderOrOther().order_answers_lost = kShare;
        return;
      case 25:
        return TurnBack();
      case 26:
        return CutServing();
      case 27:
      case 28:
      case 29:
      case 30:
        return SubmitShort();
      case 32:
        return TakeBackAndGo();
      case 33:
        return StartUnansweredAndGo();
      case 31:
        for (const auto& [name, instance] : world_.instances()) {
          instance->order_answers_lost = 0;
        }
        return;
      default:
        Play(trouble);
    }
  }

  Millis Between(int64_t least, int64_t most) {
    return Millis(least + static_cast<int64_t>(
                              Pick(static_cast<uint64_t>(most - least))));
  }

  /// One of those that have not gone.
  std::string AServingWorker() {
    std::vector<std::string> serving;
    for (const auto& [id, worker] : world_.workers()) {
      if (worker->up) {
        serving.push_back(id);
      }
    }
    return serving[Pick(serving.size())];
  }

  void ReplaceOne() {
    ++replaced_;
    const std::string leaves = AServingWorker();
    auto& joins = world_.AddWorker("r" + std::to_string(replaced_), 4000);
    joins.model.SetStopTakes(Between(0, 3000));
    auto& worker = *world_.workers().at(leaves);
    const Instant now = world_.time().now();
    const Instant gone = now + Between(200, 8000);
    const Instant unlisted = gone + Between(0, 2500);
    if (Pick(3) == 0) {
      // Without a word: its entry goes first, if at all.
      worker.listed = Pick(2) == 0;
    } else {
      worker.life.draining = true;
      worker.life.remaining = Between(0, 6000);
    }
    world_.time().At(gone, [this, leaves] {
      const auto found = world_.workers().find(leaves);
      if (found != world_.workers().end()) {
        const bool listed = found->second->listed;
        world_.TakeAway(leaves);
        found->second->listed = listed;
      }
    });
    world_.time().At(unlisted, [this, leaves] {
      const auto found = world_.workers().find(leaves);
      if (found != world_.workers().end()) {
        found->second->listed = false;
      }
    });
  }

  // An entry says for a while that its worker leaves, or is away.
  void TurnBack() {
    const std::string id = AServingWorker();
    auto& worker = *world_.workers().at(id);
    if (worker.life.draining || !worker.listed) {
      return;
    }
    const bool drains = Pick(2) == 0;
    worker.life.draining = drains;
    worker.listed = drains;
    world_.time().At(world_.time().now() + Between(300, 5000), [this, id] {
      const auto found = world_.workers().find(id);
      if (found != world_.workers().end() && found->second->up) {
        found->second->life.draining = false;
        found->second->listed = true;
      }
    });
  }

  // A worker that was about to leave gets new work while the leader's writes
  // are not answered; then the leader goes, and nobody else reaches that
  // worker.
  void TakeBackAndGo() {
    auto* leader = world_.Leader();
    const std::string id = AServingWorker();
    if (leader == nullptr || world_.workers().at(id)->life.draining) {
      return;
    }
    CutOthersFrom(id, leader);
    world_.workers().at(id)->life.draining = true;
    world_.Run(Between(100, 2500));
    if (Pick(2) == 0) {
      leader->store_faults.late = 1;
    } else {
      leader->store_faults.answer_lost = 1;
    }
    world_.Run(Between(50, 1000));
    const auto found = world_.workers().find(id);
    if (found != world_.workers().end()) {
      found->second->life.draining = false;
    }
    SubmitLong();
    world_.Run(Between(200, 2500));
    KillLeader();
  }

  // Starts are carried out, but the leader never hears so; then it goes, and
  // nobody else reaches the worker.
  void StartUnansweredAndGo() {
    auto* leader = world_.Leader();
    if (leader == nullptr) {
      return;
    }
    const std::string id = AServingWorker();
    CutOthersFrom(id, leader);
    leader->order_answers_lost = 1;
    SubmitLong();
    leader->cut_from.insert(id);
    world_.Run(Between(1000, 4000));
    KillLeader();
  }

  // Goes on for longer than a leader's successor waits.
  void SubmitLong() {
    if (long_jobs_ == kMostLongJobs) {
      return;
    }
    char id[17];
    std::snprintf(id, sizeof(id), "6%015x", ++long_jobs_);
    JobPlan plan = fakes::MakePlan(id, 1, 3, "ms=15000");
    plan.steps[0].size.cpu_millis = 400;
    plan.steps[0].most_per_worker = 1;
    world_.Submit(plan);
  }

  void CutOthersFrom(const std::string& id, const WorldInstance* keeps) {
    for (const auto& [name, instance] : world_.instances()) {
      if (instance != keeps) {
        instance->cut_from.insert(id);
      }
    }
  }

  // None but the leader, or none at all, reaches it.
  void CutServing() {
    const std::string worker = AServingWorker();
    const WorldInstance* keeps = Pick(3) == 0 ? nullptr : world_.Leader();
    for (const auto& [name, instance] : world_.instances()) {
      if (instance == keeps) {
        instance->cut_from.erase(worker);
      } else {
        instance->cut_from.insert(worker);
      }
    }
  }

  // The next one reaches whom the last one reached.
  void Succeed(fakes::WorldInstance* before) {
    const std::string name = before->name;
    const auto cut_from = before->cut_from;
    world_.Kill(name);
    const std::string next =
        name.substr(0, 1) + "s" + std::to_string(++successors_);
    world_.AddInstance(next, fakes::LeadTrial::CentreOf(name)).cut_from =
        cut_from;
  }

  void StopLeader() {
    auto* leader = world_.Leader();
    if (leader == nullptr) {
      return;
    }
    leader->live->AnnounceLeaving();
    leader->cell->Leave([] {});
    world_.Run(Between(50, 1200));
    Succeed(leader);
  }

  void KillLeader() {
    auto* leader = world_.Leader();
    if (leader != nullptr) {
      Succeed(leader);
    }
  }

  void SubmitShort() {
    if (short_jobs_ == kMostShortJobs) {
      return;
    }
    char id[17];
    std::snprintf(id, sizeof(id), "5%015x", ++short_jobs_);
    const int steps = static_cast<int>(1 + Pick(2));
    const int count = static_cast<int>(1 + Pick(3));
    const auto takes = Between(100, 4000).count();
    world_.Submit(
        fakes::MakePlan(id, steps, count, "ms=" + std::to_string(takes)));
  }

  int replaced_ = 0;
  int successors_ = 0;
  unsigned short_jobs_ = 0;
  unsigned long_jobs_ = 0;
};

BOOST_AUTO_TEST_CASE(Cells_WorkersReplacedAmongTroubles_NothingRunsTwice) {
  const char* only = std::getenv("DOORWOOD_SEED");
  const int first = only == nullptr ? 1 : std::atoi(only);
  const char* until = std::getenv("DOORWOOD_SEEDS_TO");
  const int last = until != nullptr  ? std::atoi(until)
                   : only == nullptr ? kSeeds
                                     : first;
  fakes::Tally tally;
  int started_done = 0;
  for (int seed = first; seed <= last; ++seed) {
    ReplacingWalk walk(static_cast<uint64_t>(seed));
    walk.Run(kSteps);
    tally.Take("seed " + std::to_string(seed), walk.world());
    for (const std::string& rule : walk.world().started_done()) {
      ++started_done;
      BOOST_ERROR("seed " << seed << ": " << rule);
    }
  }
  BOOST_TEST(started_done == 0);
}

}  // namespace
}  // namespace doorwood
