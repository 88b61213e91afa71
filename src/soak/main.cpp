// SPDX-License-Identifier: Apache-2.0

// doorwood-soak: entry instances as real processes on a world of this one's
// making, with cuts, signals and a store that forgets; whoever sees a rule
// broken says so at once.

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <vector>

#include "soak/callers.h"
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
  /// Milliseconds.
  std::vector<int> silent_before = {2000};
  std::vector<int> cuts = {4000};
  int old_after = 0;
  int lasting_jobs = 18;
};

constexpr int kLastingTasks = 4;
constexpr int kLastingCpu = 1500;
constexpr Millis kBetweenJobs{200};
constexpr Millis kSettleTime{40'000};

Task<> PlayRegainedStore(World& world,
                         Callers& callers,
                         const Options& options) {
  for (const int silent : options.silent_before) {
    for (const int cut : options.cuts) {
      RegainedStore course;
      course.silent_before = Millis(silent);
      course.cut = Millis(cut);
      course.old_after = Millis(options.old_after);
      const size_t broken = co_await Play(world, callers, course);
      std::cout << "regained-store silent " << silent << " cut " << cut
                << " old_after " << options.old_after << ": " << broken
                << " broken" << std::endl;
    }
  }
}

Task<> PlayAll(World& world, Callers& callers, const Options& options) {
  world.StartAll();
  callers.AddLasting(options.lasting_jobs, kLastingTasks, kLastingCpu);
  if (options.scenario == "regained-store") {
    co_await PlayRegainedStore(world, callers, options);
  } else if (co_await AwaitCalm(world, callers)) {
    callers.Start(kBetweenJobs);
    FaultPlayer player(world);
    co_await player.Play(
        MakeFaultPlan(options.seed, std::chrono::seconds(options.seconds)));
  } else {
    world.Break("no calm to begin with");
  }
  callers.Stop();
  co_await callers.AwaitAll(kSettleTime);
  co_await world.StopAll();
  world.context().stop();
}

int Run(const Options& options) {
  std::filesystem::create_directories(options.world.folder);
  boost::asio::io_context context(1);
  World world(context, options.world);
  Callers callers(world, options.seed);
  Spawn(context, PlayAll(world, callers, options));
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) {
    world.Break("asked to stop before the end");
    context.stop();
  });
  context.run();
  std::cout << "seed " << options.seed << ": " << callers.accepted()
            << " jobs accepted, " << callers.refused() << " refused, "
            << world.watch().starts() << " starts, " << world.broken()
            << " broken; logs in " << options.world.folder << std::endl;
  return world.broken() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace doorwood::soak

int main(int argc, char** argv) {
  CLI::App app{"doorwood-soak: real entry instances under faults"};
  doorwood::soak::Options options;
  app.add_option("--celld", options.world.program, "the program to play")
      ->required();
  app.add_option("--logs", options.world.folder, "folder for logs")->required();
  app.add_option("--seed", options.seed);
  app.add_option("--seconds", options.seconds, "of random faults");
  app.add_option("--instances", options.world.instances);
  app.add_option("--workers", options.world.workers);
  app.add_option("--block", options.world.block,
                 "third number of all addresses");
  app.add_option("--scenario", options.scenario, "random or regained-store");
  app.add_option("--silent-before", options.silent_before, "ms, each")
      ->delimiter(',');
  app.add_option("--cut", options.cuts, "ms, each")->delimiter(',');
  app.add_option("--old-after", options.old_after,
                 "ms until connections that lived through a cut move again");
  app.add_option("--lasting-jobs", options.lasting_jobs);
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  return doorwood::soak::Run(options);
}
