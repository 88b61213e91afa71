// SPDX-License-Identifier: Apache-2.0

// doorwood-soak: runs entry instances as real processes against simulated
// workers and a simulated store, with network partitions, signals and store
// faults. Violations are printed as they are detected.

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <vector>

#include "loop.adapter/loop_executor.h"
#include "soak/callers.h"
#include "soak/config_probe.h"
#include "soak/fault_player.h"
#include "soak/scenario.h"
#include "soak/world.h"

namespace doorwood::soak {
namespace {

struct Options {
  WorldOptions world;
  uint64_t seed = 1;
  int seconds = 40;
  std::string scenario = "random";
  /// The next three are in milliseconds.
  std::vector<int> worker_partition_time = {2000};
  std::vector<int> cuts = {4000};
  int resume_delay = 0;
  int long_running_jobs = 18;
  bool crashing_jobs = false;
};

constexpr int kLongRunningTasks = 4;
constexpr int kLongRunningCpu = 1500;
constexpr Millis kBetweenJobs{200};
constexpr Millis kBetweenJobsAtStops{50};
constexpr Millis kBetweenCrashingJobs{3000};
constexpr Millis kSettleTime{40'000};
// Bound of the age of the configuration after connections have gone silent; see
// docs/OPERATIONS.md.
constexpr Millis kMaxConfigAge{2500};
// Workers are replaced from the middle of the fault plan until this long after
// its end.
constexpr Millis kReplacementsAfterFaults{20'000};

std::vector<StepwiseRecovery> RecoveriesOf(const Options& options) {
  std::vector<StepwiseRecovery> recoveries;
  for (const int partition_time : options.worker_partition_time) {
    for (const int cut : options.cuts) {
      StepwiseRecovery recovery;
      recovery.worker_partition_time = Millis(partition_time);
      recovery.full_partition_time = Millis(cut);
      recovery.resume_delay = Millis(options.resume_delay);
      recoveries.push_back(recovery);
    }
  }
  return recoveries;
}

class Soak {
 public:
  Soak(boost::asio::io_context& context, const Options& options)
      : options_(options),
        executor_(context),
        world_(context, executor_, options.world),
        callers_(world_, options.seed),
        config_probe_(world_),
        faults_(world_) {}

  void Begin() {
    world_.StartAll();
    config_probe_.Start();
    callers_.AddLongRunning(options_.long_running_jobs, kLongRunningTasks,
                            kLongRunningCpu);
    const Millis length = std::chrono::seconds(options_.seconds);
    if (options_.scenario == "random") {
      PlayFaults(MakePlan(length), kBetweenJobs);
    } else if (options_.scenario == "planned-stops") {
      callers_.ExpectAnswers();
      PlayFaults(MakeStopPlan(length), kBetweenJobsAtStops);
    } else if (options_.scenario == "changes") {
      PlayFaults(MakeChangePlan(options_.seed, length), kBetweenJobs);
    } else if (options_.scenario == "silent-connections") {
      config_probe_.ExpectNewestWithin(kMaxConfigAge);
      PlayFaults(MakeSilencePlan(options_.seed, length), kBetweenJobs);
    } else if (options_.scenario == "replaced-workers") {
      PlayFaults(MakeReplacePlan(options_.seed, Millis(0), length),
                 kBetweenJobs);
    } else {
      RunRecoveries(RecoveriesOf(options_), 0);
    }
  }

  World& world() { return world_; }

  void Summarize() const {
    std::cout << "seed " << options_.seed << ": " << callers_.accepted()
              << " jobs accepted, " << callers_.not_accepted()
              << " not accepted, " << world_.task_checker().starts()
              << " starts, " << world_.violations()
              << " violations; long-running tasks down for up to "
              << world_.task_checker().longest_downtime() << " ms; logs in "
              << options_.world.folder << std::endl;
  }

 private:
  std::vector<Fault> MakePlan(Millis length) const {
    auto plan = MakeFaultPlan(options_.seed, length);
    const auto changes = MakeChangePlan(options_.seed, length);
    plan.insert(plan.end(), changes.begin(), changes.end());
    const auto replaced = MakeReplacePlan(options_.seed, length / 2,
                                          length + kReplacementsAfterFaults);
    plan.insert(plan.end(), replaced.begin(), replaced.end());
    return plan;
  }

  void PlayFaults(const std::vector<Fault>& plan, Millis between_jobs) {
    AwaitSteadyState(world_, callers_, [this, plan, between_jobs] {
      callers_.Start(between_jobs);
      if (options_.crashing_jobs) {
        callers_.StartCrashingJobs(kBetweenCrashingJobs);
      }
      faults_.Play(plan, [this] { Finish(); });
    });
  }

  void RunRecoveries(const std::vector<StepwiseRecovery>& recoveries,
                     size_t next) {
    if (next == recoveries.size()) {
      Finish();
      return;
    }
    const StepwiseRecovery recovery = recoveries[next];
    PartitionLeaderDataCentre(
        world_, callers_, recovery,
        [this, recoveries, next, recovery](size_t violations) {
          std::cout << "regained-store: workers elsewhere unreachable for "
                    << recovery.worker_partition_time.count()
                    << " ms, then everything outside for "
                    << recovery.full_partition_time.count()
                    << " ms, surviving connections transfer again after "
                    << recovery.resume_delay.count() << " ms; " << violations
                    << " violations" << std::endl;
          RunRecoveries(recoveries, next + 1);
        });
  }

  void Finish() {
    callers_.Stop();
    callers_.AwaitAll(kSettleTime, [this] {
      config_probe_.AwaitNewest(kSettleTime, [this] {
        world_.StopAll([this] { world_.context().stop(); });
      });
    });
  }

  const Options& options_;
  LoopExecutor executor_;
  World world_;
  Callers callers_;
  ConfigProbe config_probe_;
  FaultPlayer faults_;
};

int Run(const Options& options) {
  std::filesystem::create_directories(options.world.folder);
  boost::asio::io_context context(1);
  Soak soak(context, options);
  soak.Begin();
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) {
    soak.world().ReportViolation("stopped by a signal before the end");
    context.stop();
  });
  context.run();
  soak.Summarize();
  return soak.world().violations() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace doorwood::soak

int main(int argc, char** argv) {
  CLI::App app{"doorwood-soak: real entry instances under faults"};
  doorwood::soak::Options options;
  app.add_option("--celld", options.world.program,
                 "program of the entry instances")
      ->required();
  app.add_option("--logs", options.world.folder, "folder for logs")->required();
  app.add_option("--seed", options.seed);
  app.add_option("--seconds", options.seconds, "duration of the fault plan");
  app.add_option("--instances", options.world.instances);
  app.add_option("--workers", options.world.workers);
  app.add_option("--block", options.world.block,
                 "third octet of all addresses");
  app.add_option("--scenario", options.scenario,
                 "random, planned-stops, replaced-workers, changes, "
                 "silent-connections or "
                 "regained-store")
      ->check(
          CLI::IsMember({"random", "planned-stops", "replaced-workers",
                         "changes", "silent-connections", "regained-store"}));
  app.add_option("--silent-before", options.worker_partition_time,
                 "ms each, from the loss of the workers in other data centres "
                 "to the full partition")
      ->delimiter(',');
  app.add_option(
         "--cut", options.cuts,
         "ms each, from the full partition until the store is reachable again")
      ->delimiter(',');
  app.add_option("--old-after", options.resume_delay,
                 "ms after a cut until surviving connections transfer again");
  app.add_option("--lasting-jobs", options.long_running_jobs);
  app.add_flag("--crashing-jobs", options.crashing_jobs,
               "also submit jobs whose tasks crash their workers");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  return doorwood::soak::Run(options);
}
