// SPDX-License-Identifier: Apache-2.0

/// \file
/// Benchmarks: request load on entry instances, a minimal forwarding hop as a
/// baseline, the rate of placement decisions, and the cost of a cell's leader.

#ifndef DOORWOOD_BENCH_BENCH_H_
#define DOORWOOD_BENCH_BENCH_H_

#include <string>
#include <vector>

namespace doorwood::bench {

/// Options of the closed-loop load generator.
struct LoadOptions {
  /// Addresses, tried in round-robin order as by a load balancer. A connection
  /// moves to the next one after it fails.
  std::vector<std::string> targets;
  /// Prefix of each request path, such as "/svc/stream"; empty to call a
  /// backend server directly.
  std::string prefix;
  int connections = 1;
  /// Each connection stops after this many requests or seconds, whichever comes
  /// first.
  int requests = 1000;
  int seconds = 10;
  /// Run time in milliseconds requested from the backend server; -1: the
  /// server's default.
  int run_ms = -1;
  bool repeatable = true;
  /// Sends an idempotency key with each request.
  bool keys = false;
  int deadline_ms = 5000;
  /// Pause in milliseconds between two requests of a connection.
  int pause_ms = 0;
  /// File that gets one JSON line per request; empty: none.
  std::string record;
};

/// Options of the minimal forwarding hop.
struct HopOptions {
  std::string listen;
  std::string target;
  int lifetime_s = 120;
};

/// Sends the load and prints one JSON object with the results.
int RunLoad(const LoadOptions& options);
/// Forwards requests until SIGTERM, SIGINT, or the end of the lifetime.
int RunHop(const HopOptions& options);
/// Prints placement decisions per second for several fleet sizes.
int RunDecisions();

/// Options of the benchmark of a cell's leader.
struct CellBenchOptions {
  int workers = 350;
  double jobs_per_second = 32;
  /// Duration in virtual time.
  int seconds = 20;
};

/// Simulates a fleet of fake workers under one leader in virtual time, and
/// prints the real time that this took.
int RunCell(const CellBenchOptions& options);

}  // namespace doorwood::bench

#endif  // DOORWOOD_BENCH_BENCH_H_
