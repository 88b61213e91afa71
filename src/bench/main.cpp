// SPDX-License-Identifier: Apache-2.0

// doorwood-bench: benchmark programs, used by `make bench`, `make capacity`,
// and the scripts under testsuite/.

#include <CLI/CLI.hpp>

#include "bench/bench.h"

int main(int argc, char** argv) {
  CLI::App app{"Measures doorwood"};
  app.require_subcommand(1);
  int code = 0;

  doorwood::bench::LoadOptions load;
  CLI::App* load_app = app.add_subcommand("load", "requests in closed loops");
  load_app->add_option("--targets", load.targets)->required()->delimiter(',');
  load_app->add_option("--prefix", load.prefix);
  load_app->add_option("--connections", load.connections)
      ->check(CLI::Range(1, 512));
  load_app->add_option("--requests", load.requests, "per connection");
  load_app->add_option("--seconds", load.seconds)->check(CLI::Range(1, 600));
  load_app->add_option("--run-ms", load.run_ms);
  load_app->add_flag("!--once", load.repeatable,
                     "mark the requests as not repeatable");
  load_app->add_flag("--keys", load.keys, "send idempotency keys");
  load_app->add_option("--deadline-ms", load.deadline_ms);
  load_app->add_option("--pause-ms", load.pause_ms);
  load_app->add_option("--record", load.record);
  load_app->callback([&]() { code = RunLoad(load); });

  doorwood::bench::HopOptions hop;
  CLI::App* hop_app = app.add_subcommand("hop", "a bare forwarding hop");
  hop_app->add_option("--listen", hop.listen)->required();
  hop_app->add_option("--target", hop.target)->required();
  hop_app->add_option("--lifetime-s", hop.lifetime_s)
      ->check(CLI::Range(1, 3600));
  hop_app->callback([&]() { code = RunHop(hop); });

  CLI::App* decisions_app =
      app.add_subcommand("decisions", "speed of placement decisions");
  decisions_app->callback([&]() { code = doorwood::bench::RunDecisions(); });

  doorwood::bench::CellBenchOptions cell;
  CLI::App* cell_app = app.add_subcommand(
      "cell", "real time that simulating a cell under one leader takes");
  cell_app->add_option("--workers", cell.workers)->check(CLI::Range(1, 3000));
  cell_app->add_option("--jobs-per-second", cell.jobs_per_second);
  cell_app->add_option("--seconds", cell.seconds)->check(CLI::Range(1, 600));
  cell_app->callback([&]() { code = RunCell(cell); });

  CLI11_PARSE(app, argc, argv);
  return code;
}
