// SPDX-License-Identifier: Apache-2.0

/// \file
/// Common parts of the stand-ins: small programs that take the place of the
/// platform's services in tests and in the demo. Each keeps a record of what
/// really happened, which tests trust rather than doorwood's own word.

#ifndef DOORWOOD_STANDIN_STANDIN_H_
#define DOORWOOD_STANDIN_STANDIN_H_

#include <httplib.h>

#include <fstream>
#include <functional>
#include <mutex>
#include <string>

#include "doorwood/json_codec.h"

namespace doorwood::standin {

/// Where to listen, and how long to live.
struct ServerOptions {
  std::string listen = "127.0.0.1:0";
  /// Ends by itself after this long, so that nothing outlives a test.
  int lifetime_s = 900;
  /// File for the record, one JSON line an event; empty: none.
  std::string record;
  size_t threads = 64;
};

/// Milliseconds of the clock that all processes of a machine share.
int64_t MonotonicMillis();

/// Appends events to a file.
class Recorder {
 public:
  explicit Recorder(const std::string& file);

  /// Adds the time and writes the line at once.
  void Write(Json event);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// Answer to a JSON call.
struct Reply {
  int status = 200;
  Json body = Json::object();
};

using Handler = std::function<Reply(const Json&)>;

/// An HTTP server with JSON calls.
class Server {
 public:
  explicit Server(const ServerOptions& options);

  httplib::Server& http() { return http_; }
  void AddCall(const std::string& path, Handler handler);
  /// Called when the server is about to stop, to end calls that wait.
  void set_on_stop(std::function<void()> on_stop) {
    on_stop_ = std::move(on_stop);
  }
  /// Serves until SIGTERM or the end of the lifetime. The exit code.
  int Run();

 private:
  ServerOptions options_;
  std::function<void()> on_stop_;
  httplib::Server http_;
};

/// Roles; each runs until told to stop and gives the exit code.
struct KvRole {
  ServerOptions server;
};
struct WorkerRole {
  ServerOptions server;
  std::string name = "worker";
  Resources capacity{32000, 125 * 1024, 0};
  bool fences = true;
};
struct BackendRole {
  ServerOptions server;
  std::string name = "backend";
  int slots = 8;
  int latency_ms = 2;
};
struct InstancesRole {
  ServerOptions server;
  std::string file;
  int lag_ms = 200;
};

/// A way between two addresses that can be cut.
struct LinkRole {
  ServerOptions server;
  /// IP number and port that connections lead to.
  std::string target;
  /// Port of the calls that switch faults; `server.listen` is the way itself.
  std::string control = "127.0.0.1:0";
};

int RunLink(const LinkRole& role);
int RunKv(const KvRole& role);
int RunWorker(const WorkerRole& role);
int RunBackend(const BackendRole& role);
int RunInstances(const InstancesRole& role);

}  // namespace doorwood::standin

#endif  // DOORWOOD_STANDIN_STANDIN_H_
