// SPDX-License-Identifier: Apache-2.0

/// \file
/// Common parts of the stand-ins: small programs that replace the platform's
/// services in tests and in the demo. The key-value store, workers and backend
/// servers record the events they observe, so that tests can check them
/// independently of what doorwood reports.

#ifndef DOORWOOD_STANDIN_STANDIN_H_
#define DOORWOOD_STANDIN_STANDIN_H_

#include <httplib.h>

#include <fstream>
#include <functional>
#include <mutex>
#include <string>

#include "doorwood/json_codec.h"

namespace doorwood::standin {

/// Options that all stand-ins share.
struct ServerOptions {
  /// IP address and port; port 0 picks a free one.
  std::string listen = "127.0.0.1:0";
  /// Seconds after which the process exits, so that none outlives its test.
  int lifetime_s = 900;
  /// File for the recorded events, one JSON object per line; empty: none.
  std::string record;
  /// Threads that handle calls.
  size_t threads = 64;
};

/// Milliseconds of the steady clock, which all processes of a machine share.
int64_t MonotonicMillis();

/// Appends events to a file; thread-safe.
class Recorder {
 public:
  explicit Recorder(const std::string& file);

  /// Adds the time as `t`, writes the line, and flushes it.
  void Write(Json event);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// Reply to a JSON call.
struct Reply {
  int status = 200;
  Json body = Json::object();
};

using Handler = std::function<Reply(const Json&)>;

/// HTTP server for JSON calls.
class Server {
 public:
  explicit Server(const ServerOptions& options);

  httplib::Server& http() { return http_; }
  /// Handles POST requests to `path`. The reply is 400 if the body is not JSON,
  /// or if a field that the handler needs is missing or has the wrong type.
  void AddCall(const std::string& path, Handler handler);
  /// Sets a callback that runs just before the server stops; it ends blocked
  /// calls.
  void set_on_stop(std::function<void()> on_stop) {
    on_stop_ = std::move(on_stop);
  }
  /// Serves until SIGTERM, SIGINT, or the end of the lifetime. Returns the exit
  /// code.
  int Run();

 private:
  ServerOptions options_;
  std::function<void()> on_stop_;
  httplib::Server http_;
};

// Options of the roles that a stand-in process can take.

struct KvRole {
  ServerOptions server;
};
struct WorkerRole {
  ServerOptions server;
  std::string name = "worker";
  Resources capacity{32000, 125 * 1024, 0};
  /// Rejects orders of other epochs and after the control lease has expired.
  bool fences = true;
};
struct BackendRole {
  ServerOptions server;
  std::string name = "backend";
  /// Requests that run at the same time; further ones are refused.
  int slots = 8;
  /// Run time of a request that sets none.
  int latency_ms = 2;
};
struct InstancesRole {
  ServerOptions server;
  /// JSON array of the initial instances.
  std::string file;
  /// Delay until a change becomes visible.
  int lag_ms = 200;
};

/// TCP proxy in front of one address that can simulate a network partition.
struct LinkRole {
  ServerOptions server;
  /// IP address and port that connections are forwarded to.
  std::string target;
  /// Address of the calls that set faults; `server.listen` is the proxy's own.
  std::string control = "127.0.0.1:0";
};

// Each runs the role until SIGTERM, SIGINT, or the end of the lifetime, and
// returns the exit code of the process.
int RunLink(const LinkRole& role);
int RunKv(const KvRole& role);
int RunWorker(const WorkerRole& role);
int RunBackend(const BackendRole& role);
int RunInstances(const InstancesRole& role);

}  // namespace doorwood::standin

#endif  // DOORWOOD_STANDIN_STANDIN_H_
