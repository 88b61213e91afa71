// SPDX-License-Identifier: Apache-2.0

/// \file
/// Measuring programs: load on entry instances, a bare forwarding hop to
/// compare with, the speed of placement decisions, and the cost of a cell's
/// leader.

#ifndef DOORWOOD_BENCH_BENCH_H_
#define DOORWOOD_BENCH_BENCH_H_

#include <string>
#include <vector>

namespace doorwood::bench {

struct LoadOptions {
  /// Addresses, tried in turn as a balancer does.
  std::vector<std::string> targets;
  /// What stands before each path, as "/svc/stream"; empty for a backend
  /// server itself.
  std::string prefix;
  int connections = 1;
  /// Each connection ends after so many requests or seconds.
  int requests = 1000;
  int seconds = 10;
  /// How long each request runs, asked of the backend server; -1: its own.
  int run_ms = -1;
  bool repeatable = true;
  /// Sends an idempotency key with each request.
  bool keys = false;
  int deadline_ms = 5000;
  /// Pause between two requests of a connection.
  int pause_ms = 0;
  /// File for one JSON line a request; empty: none.
  std::string record;
};

struct HopOptions {
  std::string listen;
  std::string target;
  int lifetime_s = 120;
};

/// Prints one JSON object with the figures.
int RunLoad(const LoadOptions& options);
/// Serves until the end of its lifetime or SIGTERM.
int RunHop(const HopOptions& options);
/// Prints decisions a second at several sizes.
int RunDecisions();

struct CellBenchOptions {
  int workers = 350;
  double jobs_per_second = 32;
  /// Of virtual time.
  int seconds = 20;
};

/// Plays a fleet of fakes under one leader and prints the real time it took.
int RunCell(const CellBenchOptions& options);

}  // namespace doorwood::bench

#endif  // DOORWOOD_BENCH_BENCH_H_
